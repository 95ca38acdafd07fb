// Import of the state of a ledger group from another member.
#include "core/turn_import.hpp"

#include "base/failure_type.hpp"
#include "base/hash_func.hpp"

#include <cassert>

namespace guavawick::core {
namespace {

bool is_same_content(const content_range& left, const content_range& right)
{
    return left.size == right.size && left.checksum == right.checksum;
}

} // namespace

void begin_import(turn_import& import, const std::string& encoded, const turns::turn_state& own)
{
    import.missing.clear();
    import.queried.clear();
    import.reused_bytes = 0;
    import.state = turns::decode_state(encoded, [](std::string_view) -> content_range {
        throw decode_error("a member of an earlier version offers a state with its contents inside");
    });
    for (auto& [key, turn] : import.state.turns) {
        const auto own_turn = own.turns.find(key);
        const auto copied = import.copied.find(key);
        if (own_turn != own.turns.end() && is_same_content(own_turn->second.content, turn.content)) {
            turn.content = own_turn->second.content;
            import.reused_bytes += turn.content.size;
        }
        else if (copied != import.copied.end() && is_same_content(copied->second, turn.content)) {
            turn.content = copied->second;
            import.reused_bytes += turn.content.size;
        }
        else {
            import.missing.push_back(key);
        }
    }
}

std::vector<content_range> next_missing(turn_import& import)
{
    assert(import.queried.empty());
    std::vector<content_range> ranges;
    std::uint64_t bytes = 0;
    while (!import.missing.empty()) {
        const content_range& range = import.state.turns.at(import.missing.front()).content;
        bytes += range.size;
        if (!ranges.empty() && bytes > import_batch_bytes) {
            break;
        }
        ranges.push_back(range);
        import.queried.push_back(std::move(import.missing.front()));
        import.missing.pop_front();
    }
    return ranges;
}

void add_contents(turn_import& import, std::string_view bytes, const turns::content_writer& write_content)
{
    std::size_t offset = 0;
    for (const turns::turn_key& key : import.queried) {
        content_range& range = import.state.turns.at(key).content;
        if (range.size > bytes.size() - offset) {
            throw decode_error("contents of a snapshot are too short");
        }
        const std::string_view content = bytes.substr(offset, range.size);
        if (crc32c(content) != range.checksum) {
            throw decode_error("a content of a snapshot does not match its checksum");
        }
        range = write_content(content);
        import.copied[key] = range;
        offset += content.size();
    }
    if (offset != bytes.size()) {
        throw decode_error("contents of a snapshot are too long");
    }
    import.queried.clear();
}

turns::turn_state take_state(turn_import& import)
{
    assert(import.missing.empty() && import.queried.empty());
    turns::turn_state state = std::move(import.state);
    import = {};
    return state;
}

} // namespace guavawick::core
