// Conversions between the configuration's structs and wire messages.
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
using changes = std::map<object_key, std::optional<object_fields>>; ///< nullopt: the object was removed

/// Appends the objects of a set to a wire list.
void to_wire(const object_set& from, wire_objects* into);
/// Appends changed and removed objects to a wire list.
void to_wire(const changes& from, wire_objects* into);
/// Converts a wire list of changed and removed objects.
/// @throw decode_error if a kind is unknown.
changes from_wire(const wire_objects& from);
/// Converts a wire list to a set, without its removed objects.
/// @throw decode_error if a kind is unknown.
object_set set_from_wire(const wire_objects& from);
/// Converts a request to publish.
/// @throw decode_error if the kind of an object is unknown.
publish_request from_wire(const wire::apply_request& from);
/// Fills the reply to a request to publish.
void to_wire(const publish_result& from, wire::apply_reply* into);
/// Converts the reply to a request to publish.
publish_result from_wire(const wire::apply_reply& from);

} // namespace guavawick::configuration
