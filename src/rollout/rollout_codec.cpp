// Wire format of rollouts.
#include "rollout/rollout_codec.hpp"

#include "wire.pb.h"

#include <algorithm>

namespace guavawick::rollout {
namespace {

/// Copies counts without the zeros at their end.
template <typename Counts, typename Field>
void encode_counts(const Counts& counts, Field* field)
{
    const auto last = std::find_if(counts.rbegin(), counts.rend(), [](auto count) { return count != 0; });
    field->Add(counts.begin(), last.base());
}

template <typename Field, typename Counts>
void decode_counts(const Field& field, Counts& counts)
{
    const int size = std::min(field.size(), static_cast<int>(counts.size()));
    std::copy_n(field.begin(), size, counts.begin());
}

} // namespace

stage to_stage(std::uint32_t number)
{
    return number > static_cast<std::uint32_t>(stage::rolled_back) ? stage::rolling_back
                                                                   : static_cast<stage>(number);
}

void to_wire(const record& rollout, wire::rollout_record* message)
{
    message->set_service(rollout.service);
    message->set_target(rollout.target);
    message->set_baseline(rollout.baseline);
    message->set_number(rollout.number);
    message->set_changed_at(rollout.changed_at);
    message->set_stage(static_cast<std::uint32_t>(rollout.current));
    message->set_duration_ms(static_cast<std::uint64_t>(to_ms(rollout.length)));
    message->set_age_ms(static_cast<std::uint64_t>(to_ms(rollout.age)));
    for (const std::string& version : rollout.rejected) {
        message->add_rejected(version);
    }
}

record_table from_wire(const google::protobuf::RepeatedPtrField<wire::rollout_record>& messages)
{
    record_table table;
    for (const wire::rollout_record& message : messages) {
        record& rollout = table[message.service()];
        rollout.service = message.service();
        rollout.target = message.target();
        rollout.baseline = message.baseline();
        rollout.number = message.number();
        rollout.changed_at = message.changed_at();
        rollout.current = to_stage(message.stage());
        rollout.length = std::chrono::milliseconds(message.duration_ms());
        rollout.age = std::chrono::milliseconds(message.age_ms());
        rollout.rejected.insert(message.rejected().begin(), message.rejected().end());
    }
    return table;
}

void to_wire(const gateway_report& report, wire::rollout_report* message)
{
    message->set_endpoint(report.endpoint);
    message->set_sequence(report.sequence);
    message->set_revision(report.revision);
    for (const auto& [service, evidence] : report.services) {
        wire::rollout_evidence* encoded = message->add_services();
        encoded->set_service(service);
        encoded->set_number(evidence.number);
        encoded->set_age_ms(static_cast<std::uint64_t>(to_ms(evidence.age)));
        encoded->set_calls(evidence.calls);
        encoded->set_exposed(evidence.exposed);
        encoded->set_running_old(evidence.running_old);
        for (const auto& [key, counters] : evidence.outcomes) {
            wire::rollout_counters* entry = encoded->add_counters();
            entry->set_route(key.first);
            entry->set_target(key.second);
            entry->set_failures(counters.failures);
            encode_counts(counters.durations, entry->mutable_durations());
            encode_counts(counters.running, entry->mutable_running());
        }
    }
}

gateway_report from_wire(const wire::rollout_report& message, time_point now)
{
    gateway_report report;
    report.endpoint = message.endpoint();
    report.sequence = message.sequence();
    report.revision = message.revision();
    report.received_at = now;
    for (const wire::rollout_evidence& encoded : message.services()) {
        service_evidence& evidence = report.services[encoded.service()];
        evidence.number = encoded.number();
        evidence.age = std::chrono::milliseconds(encoded.age_ms());
        evidence.calls = encoded.calls();
        evidence.exposed = encoded.exposed();
        evidence.running_old = encoded.running_old();
        for (const wire::rollout_counters& entry : encoded.counters()) {
            outcome_counters& counters = evidence.outcomes[{entry.route(), entry.target()}];
            counters.failures = entry.failures();
            decode_counts(entry.durations(), counters.durations);
            decode_counts(entry.running(), counters.running);
        }
    }
    return report;
}

} // namespace guavawick::rollout
