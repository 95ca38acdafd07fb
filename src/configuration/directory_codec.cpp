// Conversions between the directory's structs and wire messages, and the control group's snapshot.
#include "configuration/directory_codec.hpp"

#include "configuration/configuration_codec.hpp"
#include "wire.pb.h"

namespace guavawick::configuration {

upstream_record from_wire(const wire::upstream_record& from)
{
    upstream_record record;
    record.name = upstream_name{from.name()};
    record.incarnation = incarnation_id{from.incarnation()};
    record.endpoint = from.endpoint();
    record.data_centre = data_centre_name{from.data_centre()};
    record.kind = from.kind() == static_cast<std::uint32_t>(service_kind::service) ? service_kind::service
                                                                                   : service_kind::model;
    record.serves = from.serves();
    record.leaving = from.leaving();
    record.removed = from.removed();
    record.version = from.version();
    return record;
}

void to_wire(const upstream_record& from, wire::upstream_record* into)
{
    into->set_name(from.name.value);
    into->set_incarnation(from.incarnation.value);
    into->set_endpoint(from.endpoint);
    into->set_data_centre(from.data_centre.value);
    into->set_kind(static_cast<std::uint32_t>(from.kind));
    into->set_serves(from.serves);
    into->set_leaving(from.leaving);
    into->set_removed(from.removed);
    into->set_version(from.version);
}

void to_wire(const audit_entry& from, wire::audit_record* into)
{
    into->set_revision(from.revision);
    into->set_operator_name(from.operator_name);
    into->set_request_id(from.request_id);
    into->set_unix_ms(from.unix_ms);
    for (const std::string& change : from.changes) {
        into->add_changes(change);
    }
}

std::string encode_control_state(const configuration_state& published, const directory_state& directory)
{
    wire::control_snapshot encoded;
    encoded.set_group_time_ms(directory.now.count());
    encoded.set_revision(published.revision);
    to_wire(published.objects, encoded.mutable_objects());
    for (const audit_entry& entry : published.audit) {
        to_wire(entry, encoded.add_audit());
    }
    for (const std::string& request_id : published.answer_order) {
        wire::applied_request* answer = encoded.add_answers();
        answer->set_request_id(request_id);
        to_wire(published.answers.at(request_id), answer->mutable_reply());
    }
    for (const std::string& name : published.withdrawn) {
        encoded.add_withdrawn(name);
    }
    encoded.set_version(directory.version);
    for (const auto& [name, record] : directory.upstreams) {
        to_wire(record, encoded.add_upstreams());
    }
    for (const auto& [body, body_suspicion] : directory.suspicions) {
        wire::quarantine_age* record = encoded.add_ages();
        record->set_body_hash(body.value);
        record->set_since_ms(body_suspicion.last_loss_at.count());
        for (const incarnation_id incarnation : body_suspicion.lost_incarnations) {
            record->add_incarnations(incarnation.value);
        }
    }
    return encoded.SerializeAsString();
}

void decode_control_state(const std::string& bytes, configuration_state& published,
                          directory_state& directory)
{
    wire::control_snapshot encoded;
    if (!encoded.ParseFromString(bytes)) {
        throw decode_error("cannot decode a control snapshot");
    }
    published = configuration_state{};
    directory = directory_state{};
    published.revision = encoded.revision();
    published.objects = set_from_wire(encoded.objects());
    for (const wire::audit_record& entry : encoded.audit()) {
        published.audit.push_back({entry.revision(),
                                   entry.operator_name(),
                                   entry.request_id(),
                                   entry.unix_ms(),
                                   {entry.changes().begin(), entry.changes().end()}});
    }
    for (const wire::applied_request& answer : encoded.answers()) {
        published.answers[answer.request_id()] = from_wire(answer.reply());
        published.answer_order.push_back(answer.request_id());
    }
    published.withdrawn.insert(encoded.withdrawn().begin(), encoded.withdrawn().end());
    directory.now = std::chrono::milliseconds(encoded.group_time_ms());
    directory.version = encoded.version();
    directory.compacted_version = encoded.version();
    for (const wire::upstream_record& upstream : encoded.upstreams()) {
        upstream_record record = from_wire(upstream);
        directory.upstreams[record.name] = record;
    }
    for (const wire::quarantine_age& record : encoded.ages()) {
        suspicion& body_suspicion = directory.suspicions[body_hash{record.body_hash()}];
        body_suspicion.last_loss_at = std::chrono::milliseconds(record.since_ms());
        for (const std::uint64_t incarnation : record.incarnations()) {
            body_suspicion.lost_incarnations.insert(incarnation_id{incarnation});
        }
    }
}

} // namespace guavawick::configuration
