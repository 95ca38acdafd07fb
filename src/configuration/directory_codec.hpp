// Conversions between the directory's structs and wire messages, and the control group's snapshot.
#pragma once

#include "configuration/directory_type.hpp"

namespace guavawick::wire {
class upstream_record;
class audit_record;
} // namespace guavawick::wire

namespace guavawick::configuration {

/// @return the record that a wire message holds.
upstream_record from_wire(const wire::upstream_record& from);
/// Fills a wire message from a record.
void to_wire(const upstream_record& from, wire::upstream_record* into);
/// Fills a wire message from a line of the audit trail.
void to_wire(const audit_entry& from, wire::audit_record* into);
/// Encodes the control group's whole state.
std::string encode_control_state(const configuration_state& published, const directory_state& directory);
/// Decodes the control group's whole state; empty bytes give an empty state.
/// @throw decode_error if the bytes are no control state.
void decode_control_state(const std::string& bytes, configuration_state& published,
                          directory_state& directory);

} // namespace guavawick::configuration
