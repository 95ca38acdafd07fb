// Conversions between the configuration's structs and wire messages.
#include "configuration/configuration_codec.hpp"

#include "configuration/configuration_func.hpp"
#include "wire.pb.h"

namespace guavawick::configuration {
namespace {

wire::config_object* add_object(const object_key& key, wire_objects* into)
{
    wire::config_object* object = into->Add();
    object->set_kind(static_cast<std::uint32_t>(key.kind));
    object->set_name(key.name);
    return object;
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
        wire::config_object* object = add_object(key, into);
        object->set_removed(!fields.has_value());
        if (fields) {
            add_fields(*fields, object);
        }
    }
}

changes from_wire(const wire_objects& from)
{
    changes changed_objects;
    for (const wire::config_object& object : from) {
        if (object.kind() < 1 || object.kind() > static_cast<std::uint32_t>(object_kind::route)) {
            throw decode_error("a configuration object has an unknown kind");
        }
        const object_key key{static_cast<object_kind>(object.kind()), object.name()};
        if (object.removed()) {
            changed_objects[key] = std::nullopt;
            continue;
        }
        object_fields fields;
        for (const wire::object_field& field : object.fields()) {
            fields[field.name()] = field.value();
        }
        changed_objects[key] = std::move(fields);
    }
    return changed_objects;
}

object_set set_from_wire(const wire_objects& from)
{
    object_set objects;
    apply_changes(objects, from_wire(from));
    return objects;
}

publish_request from_wire(const wire::apply_request& from)
{
    publish_request request;
    request.expect_revision = from.expect_revision();
    request.request_id = from.request_id();
    request.operator_name = from.operator_name();
    request.objects = set_from_wire(from.objects());
    return request;
}

void to_wire(const publish_result& from, wire::apply_reply* into)
{
    into->set_failure(static_cast<std::uint32_t>(from.error));
    into->set_revision(from.revision);
    into->set_published_by(from.published_by);
    for (const fault& entry : from.faults) {
        wire::config_fault* added = into->add_faults();
        added->set_object(entry.object);
        added->set_field(entry.field);
        added->set_reason(entry.reason);
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
    for (const wire::config_fault& entry : from.faults()) {
        result.faults.push_back({entry.object(), entry.field(), entry.reason()});
    }
    result.changes.assign(from.changes().begin(), from.changes().end());
    return result;
}

} // namespace guavawick::configuration
