// Conversions between the directory's structs and wire messages, and the control group's snapshot.
#pragma once

#include "configuration/directory_type.hpp"

namespace guavawick::wire {
class upstream_record;
class audit_record;
} // namespace guavawick::wire

namespace guavawick::configuration {

/// Converts the record of an upstream.
upstream_record from_wire(const wire::upstream_record& from);
/// Fills a wire message from the record of an upstream.
void to_wire(const upstream_record& from, wire::upstream_record* into);
/// Fills a wire message from an audit record.
void to_wire(const audit_entry& from, wire::audit_record* into);
/// Encodes the whole state of the control group.
std::string encode_control_state(const configuration_state& published, const directory_state& directory);
/// Decodes the whole state of the control group. Empty bytes give an empty state.
/// @throw decode_error if the bytes are not an encoded control state.
void decode_control_state(const std::string& bytes, configuration_state& published,
                          directory_state& directory);

} // namespace guavawick::configuration
