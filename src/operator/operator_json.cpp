// JSON requests and replies of the operators' API.
#include "operator/operator_json.hpp"

#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "configuration/configuration_codec.hpp"
#include "configuration/configuration_func.hpp"
#include "wire.pb.h"

#include <boost/json.hpp>

namespace guavawick::operators {

namespace json = boost::json;

namespace {

json::object parse_object(const std::string& body)
{
    boost::system::error_code error;
    json::value parsed = json::parse(body, error);
    if (error || !parsed.is_object()) {
        throw refusal_error(failure::bad_request, "the body is not a JSON object");
    }
    return std::move(parsed.as_object());
}

const json::value& require_member(const json::object& body, const char* name)
{
    const json::value* found = body.if_contains(name);
    if (found == nullptr) {
        throw refusal_error(failure::bad_request, std::string("the body lacks \"") + name + "\"");
    }
    return *found;
}

void read_object(const std::string& kind, const json::object& objects, wire::apply_request* into)
{
    const auto object_kind = configuration::to_object_kind(kind);
    if (!object_kind) {
        throw refusal_error(failure::bad_request, "\"" + kind + "\" is not a kind of object");
    }
    for (const auto& [name, fields] : objects) {
        wire::config_object* object = into->add_objects();
        object->set_kind(static_cast<std::uint32_t>(*object_kind));
        object->set_name(std::string(name));
        if (!fields.is_object()) {
            throw refusal_error(failure::bad_request,
                                kind + "." + std::string(name) + ": expected an object of strings");
        }
        for (const auto& [field, value] : fields.as_object()) {
            if (!value.is_string()) {
                throw refusal_error(failure::bad_request, kind + "." + std::string(name) + "." +
                                                              std::string(field) + ": expected a string");
            }
            wire::object_field* field_message = object->add_fields();
            field_message->set_name(std::string(field));
            field_message->set_value(std::string(value.as_string()));
        }
    }
}

std::uint64_t to_number(const json::value& value, const char* name)
{
    if (value.is_uint64()) {
        return value.as_uint64();
    }
    if (value.is_int64() && value.as_int64() >= 0) {
        return static_cast<std::uint64_t>(value.as_int64());
    }
    throw refusal_error(failure::bad_request, std::string("\"") + name + "\": expected a whole number");
}

json::array to_string_array(const google::protobuf::RepeatedPtrField<std::string>& from)
{
    json::array list;
    for (const std::string& text : from) {
        list.emplace_back(text);
    }
    return list;
}

const char* role_name(std::uint32_t role)
{
    constexpr std::array names{"follower", "pre_candidate", "candidate", "leader"};
    return role < names.size() ? names[role] : "unknown";
}

json::object group_json(const wire::group_status& from)
{
    json::array members;
    for (const wire::member& member : from.members()) {
        members.push_back(json::object{{"name", member.name()},
                                       {"endpoint", member.endpoint()},
                                       {"voter", member.voter()},
                                       {"disk", to_hex(member.id())},
                                       {"in_touch", member.in_touch()},
                                       {"match", member.match()}});
    }
    return {{"group", from.group()},   {"role", role_name(from.role())},
            {"leader", from.leader()}, {"term", from.term()},
            {"commit", from.commit()}, {"applied", from.applied()},
            {"last", from.last()},     {"members", members}};
}

} // namespace

void decode_apply_request(const std::string& body, wire::apply_request* into)
{
    const json::object parsed = parse_object(body);
    into->set_expect_revision(to_number(require_member(parsed, "expect_revision"), "expect_revision"));
    const json::value& request_id = require_member(parsed, "request_id");
    if (!request_id.is_string()) {
        throw refusal_error(failure::bad_request, "\"request_id\": expected a string");
    }
    into->set_request_id(std::string(request_id.as_string()));
    const json::value* dry_run = parsed.if_contains("dry_run");
    into->set_dry_run(dry_run != nullptr && dry_run->is_bool() && dry_run->as_bool());
    const json::value& objects = require_member(parsed, "objects");
    if (!objects.is_object()) {
        throw refusal_error(failure::bad_request, "\"objects\": expected an object");
    }
    for (const auto& [kind, objects_by_name] : objects.as_object()) {
        if (!objects_by_name.is_object()) {
            throw refusal_error(failure::bad_request, std::string(kind) + ": expected an object");
        }
        read_object(std::string(kind), objects_by_name.as_object(), into);
    }
}

std::string read_string_member(const std::string& body, const char* name)
{
    const json::object parsed = parse_object(body);
    const json::value& value = require_member(parsed, name);
    if (!value.is_string()) {
        throw refusal_error(failure::bad_request, std::string("\"") + name + "\": expected a string");
    }
    return std::string(value.as_string());
}

std::uint64_t read_number_member(const std::string& body, const char* name)
{
    return to_number(require_member(parse_object(body), name), name);
}

json::value to_json(const wire::apply_reply& from)
{
    json::array faults;
    for (const wire::config_fault& fault : from.faults()) {
        faults.push_back(
            json::object{{"object", fault.object()}, {"field", fault.field()}, {"reason", fault.reason()}});
    }
    return json::object{{"failure", find_failure(to_failure(from.failure())).name},
                        {"revision", from.revision()},
                        {"published_by", from.published_by()},
                        {"faults", faults},
                        {"changes", to_string_array(from.changes())}};
}

json::value to_json(const wire::get_reply& from)
{
    json::object objects;
    for (const auto& [key, fields] : configuration::set_from_wire(from.objects())) {
        json::object object;
        for (const auto& [name, value] : fields) {
            object[name] = value;
        }
        const char* kind = configuration::to_string(key.kind);
        if (!objects.contains(kind)) {
            objects[kind] = json::object{};
        }
        objects[kind].as_object()[key.name] = std::move(object);
    }
    return json::object{{"revision", from.revision()}, {"objects", objects}};
}

json::value to_json(const wire::audit_reply& from)
{
    json::array records;
    for (const wire::audit_record& record : from.records()) {
        records.push_back(json::object{{"revision", record.revision()},
                                       {"operator", record.operator_name()},
                                       {"request_id", record.request_id()},
                                       {"unix_ms", record.unix_ms()},
                                       {"changes", to_string_array(record.changes())}});
    }
    return json::object{{"records", records}};
}

json::value to_json(const wire::status_reply& from)
{
    json::array groups;
    for (const wire::group_status& group : from.groups()) {
        groups.push_back(group_json(group));
    }
    json::array upstreams;
    for (const wire::upstream_record& upstream : from.upstreams()) {
        upstreams.push_back(json::object{{"name", upstream.name()},
                                         {"data_centre", upstream.data_centre()},
                                         {"kind", upstream.kind() == 2 ? "service" : "model"},
                                         {"serves", upstream.serves()},
                                         {"leaving", upstream.leaving()},
                                         {"incarnation", to_hex(upstream.incarnation())}});
    }
    json::array processes;
    for (const wire::process_status& process : from.processes()) {
        processes.push_back(json::object{{"name", process.name()},
                                         {"role", process.role()},
                                         {"revision", process.revision()},
                                         {"silent_ms", process.silent_ms()}});
    }
    return json::object{{"replica", from.name()},
                        {"revision", from.revision()},
                        {"groups", groups},
                        {"upstreams", upstreams},
                        {"processes", processes}};
}

} // namespace guavawick::operators
