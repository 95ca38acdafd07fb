// Import of the state of a ledger group from another member: which contents this member lacks.
#pragma once

#include "turns/turn_func.hpp"

#include <deque>

namespace guavawick::core {

constexpr std::uint64_t import_batch_bytes = 256U << 10U; ///< contents that one query names

/// A state of another member whose contents are being copied. Contents that this member already has, in its
/// own state or from an import that was given up, are not copied again.
struct turn_import {
    turns::turn_state state;                         ///< places of copied contents are this member's
    std::deque<turns::turn_key> missing;             ///< turns whose content is at the other member only
    std::vector<turns::turn_key> queried;            ///< turns of the batch that was named last
    std::map<turns::turn_key, content_range> copied; ///< contents copied so far, over all imports
    std::uint64_t reused_bytes = 0;                  ///< bytes that did not have to be copied
};

/// Starts an import. @param encoded the other member's state. @param own this member's state.
/// @throw decode_error if the state is malformed or holds contents itself.
void begin_import(turn_import& import, const std::string& encoded, const turns::turn_state& own);
/// Names the next batch of contents to copy. @return their places at the other member; empty at the end.
std::vector<content_range> next_missing(turn_import& import);
/// Stores the batch that next_missing() named. @param bytes its contents, one after the other.
/// @throw decode_error if they have another length or checksum.
void add_contents(turn_import& import, std::string_view bytes, const turns::content_writer& write_content);
/// @return the imported state; the import is empty afterwards. @pre no content is missing.
turns::turn_state take_state(turn_import& import);

} // namespace guavawick::core
