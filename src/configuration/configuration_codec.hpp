// Conversions between configuration structs and wire messages.
#pragma once

#include "configuration/configuration_type.hpp"

namespace google::protobuf {
template <typename Element>
class RepeatedPtrField;
}

namespace guavawick::wire {
class config_object;
class apply_request;
class apply_reply;
} // namespace guavawick::wire

namespace guavawick::configuration {

using wire_objects = google::protobuf::RepeatedPtrField<wire::config_object>;
using changes = std::map<object_key, std::optional<object_fields>>;

/// Appends the objects of a set to a wire list.
void to_wire(const object_set& from, wire_objects* into);
/// Appends changed and removed objects to a wire list.
void to_wire(const changes& from, wire_objects* into);
/// @return the changes that a wire list holds. @throw decode_error if a kind is unknown.
changes from_wire(const wire_objects& from);
/// @return the set that a wire list holds; removed objects are left out. @throw decode_error if a kind is
/// unknown.
object_set set_from_wire(const wire_objects& from);
/// @return the publication that a wire message holds. @throw decode_error if a kind is unknown.
publish_request from_wire(const wire::apply_request& from);
/// Fills a wire message from a result.
void to_wire(const publish_result& from, wire::apply_reply* into);
/// @return the result that a wire message holds.
publish_result from_wire(const wire::apply_reply& from);

} // namespace guavawick::configuration
