// Conversions between consensus structs and wire messages.
#pragma once

#include "consensus/consensus_type.hpp"

namespace guavawick::wire {
class log_record;
class snapshot_record;
class consensus_message;
class membership;
} // namespace guavawick::wire

namespace guavawick::replica {

/// Fills a wire message from an entry.
void to_wire(const consensus::log_entry& from, wire::log_record* into);
/// Fills a wire message from a snapshot.
void to_wire(const consensus::snapshot& from, wire::snapshot_record* into);
/// Fills a wire message from a message between members.
void to_wire(const consensus::message& from, std::uint32_t group, wire::consensus_message* into);
/// Fills a wire message from a membership.
void to_wire(const consensus::membership& from, wire::membership* into);
/// @return the entry that a wire message holds.
consensus::log_entry from_wire(const wire::log_record& from);
/// @return the snapshot that a wire message holds.
std::shared_ptr<const consensus::snapshot> from_wire(const wire::snapshot_record& from);
/// @return the message that a wire message holds. @throw decode_error if its kind is unknown.
consensus::message from_wire(const wire::consensus_message& from);

} // namespace guavawick::replica
