// Conversions between configuration structs and wire messages.
#include "configuration/configuration_codec.hpp"

#include "configuration/configuration_func.hpp"
#include "wire.pb.h"

namespace guavawick::configuration {
namespace {

wire::config_object* add_object(const object_key& key, wire_objects* into)
{
    wire::config_object* made = into->Add();
    made->set_kind(static_cast<std::uint32_t>(key.kind));
    made->set_name(key.name);
    return made;
}

void add_fields(const object_fields& fields, wire::config_object* into)
{
    for (const auto& [name, value] : fields) {
        wire::object_field* field = into->add_fields();
        field->set_name(name);
        field->set_value(value);
    }
}

} // namespace

void to_wire(const object_set& from, wire_objects* into)
{
    for (const auto& [key, fields] : from) {
        add_fields(fields, add_object(key, into));
    }
}

void to_wire(const changes& from, wire_objects* into)
{
    for (const auto& [key, fields] : from) {
        wire::config_object* made = add_object(key, into);
        made->set_removed(!fields.has_value());
        if (fields) {
            add_fields(*fields, made);
        }
    }
}

changes from_wire(const wire_objects& from)
{
    changes read;
    for (const wire::config_object& one : from) {
        if (one.kind() < 1 || one.kind() > static_cast<std::uint32_t>(object_kind::route)) {
            throw decode_error("a configuration object has an unknown kind");
        }
        const object_key key{static_cast<object_kind>(one.kind()), one.name()};
        if (one.removed()) {
            read[key] = std::nullopt;
            continue;
        }
        object_fields fields;
        for (const wire::object_field& field : one.fields()) {
            fields[field.name()] = field.value();
        }
        read[key] = std::move(fields);
    }
    return read;
}

object_set set_from_wire(const wire_objects& from)
{
    object_set objects;
    apply_changes(objects, from_wire(from));
    return objects;
}

publish_request from_wire(const wire::apply_request& from)
{
    publish_request wish;
    wish.expect_revision = from.expect_revision();
    wish.request_id = from.request_id();
    wish.operator_name = from.operator_name();
    wish.objects = set_from_wire(from.objects());
    return wish;
}

void to_wire(const publish_result& from, wire::apply_reply* into)
{
    into->set_failure(static_cast<std::uint32_t>(from.error));
    into->set_revision(from.revision);
    into->set_published_by(from.published_by);
    for (const fault& one : from.faults) {
        wire::config_fault* made = into->add_faults();
        made->set_object(one.object);
        made->set_field(one.field);
        made->set_reason(one.reason);
    }
    for (const std::string& change : from.changes) {
        into->add_changes(change);
    }
}

publish_result from_wire(const wire::apply_reply& from)
{
    publish_result result;
    result.error = to_failure(from.failure());
    result.revision = from.revision();
    result.published_by = from.published_by();
    for (const wire::config_fault& one : from.faults()) {
        result.faults.push_back({one.object(), one.field(), one.reason()});
    }
    result.changes.assign(from.changes().begin(), from.changes().end());
    return result;
}

} // namespace guavawick::configuration
