// Conversions between the structs of the consensus algorithm and wire messages.
#pragma once

#include "consensus/consensus_type.hpp"

namespace guavawick::wire {
class log_record;
class snapshot_record;
class consensus_message;
class membership;
} // namespace guavawick::wire

namespace guavawick::replica {

/// Converts a log entry to a wire message.
void to_wire(const consensus::log_entry& from, wire::log_record* into);
/// Converts a snapshot to a wire message.
void to_wire(const consensus::snapshot& from, wire::snapshot_record* into);
/// Converts a message between members to a wire message. @param group number of the group.
void to_wire(const consensus::message& from, std::uint32_t group, wire::consensus_message* into);
/// Converts a membership to a wire message.
void to_wire(const consensus::membership& from, wire::membership* into);
/// Converts a wire message to a log entry and takes its payload.
consensus::log_entry from_wire(wire::log_record&& from);
/// Converts a wire message to a snapshot.
std::shared_ptr<const consensus::snapshot> from_wire(const wire::snapshot_record& from);
/// Converts a wire message to a message between members. @throw decode_error if its kind is unknown.
consensus::message from_wire(const wire::consensus_message& from);

} // namespace guavawick::replica
