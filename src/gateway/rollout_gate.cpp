// The gateway's part in rollouts.
#include "gateway/rollout_gate.hpp"

#include "base/event_type.hpp"
#include "base/hash_func.hpp"
#include "gateway/call_run.hpp"
#include "rollout/decision_func.hpp"
#include "rollout/rollout_codec.hpp"
#include "rollout/rollout_func.hpp"
#include "wire.pb.h"

#include <algorithm>
#include <cmath>

namespace guavawick::gateway {
namespace {

constexpr std::size_t max_pending_reports = 16; ///< older ones are too old to be answered by a valid lease
constexpr double min_exposed_instances =
    4; ///< so that one instance with a fault of its own is not taken for a bad version
constexpr double slack_part =
    0.5; ///< of the further calls, lent in equal parts; the rest covers gateways that restart

rollout::exposure_limits make_limits(const gateway_state& state, const rollout::record& rollout)
{
    return {state.settings.rollout.exposed_share,
            slack_part * state.settings.rollout.exposed_calls / static_cast<double>(state.gateway_count),
            rollout.length};
}

bool has_lease(const tracked_rollout& tracked, time_point now)
{
    return tracked.lent.number == tracked.number && now < tracked.lent.valid_until;
}

/// @return where a route's credit starts at this gateway, between 0 and 1.
double credit_offset(const gateway_state& state, const std::string& route)
{
    constexpr std::uint64_t resolution = 1024;
    return static_cast<double>(hash_bytes(state.settings.node + "\n" + route) % resolution) / resolution;
}

void keep_versions(std::vector<placing::candidate>& candidates, const rollout::record& rollout,
                   bool to_target)
{
    std::erase_if(candidates, [&rollout, to_target](const placing::candidate& candidate) {
        return !rollout::accepts_version(rollout, to_target, candidate.record->version);
    });
}

/// @return whether an instance of the target may get the call. A cold one is slow whatever its version, so it
/// gets no calls by which the version is judged.
bool is_exposable(const active_call& call, const placing::candidate& candidate,
                  const rollout::record& rollout, time_point now)
{
    const directory::instance_record& instance = *candidate.record;
    const bool is_judged = rollout.current == rollout::stage::probing;
    return rollout::accepts_version(rollout, true, instance.version) &&
           !call.tried_instances.contains(instance.id.value) && (!is_judged || instance.cold_until <= now);
}

/// Decides whether a call goes to the target of a rollout that is running, and counts it.
bool exposes(const active_call& call, const rollout::record& rollout, tracked_rollout& tracked,
             bool target_available, time_point now)
{
    const gateway_state& state = *call.context.state;
    const std::string& route = call.route->name.value;
    const bool is_first = call.tried_instances.empty();
    if (rollout.current == rollout::stage::switching) {
        const bool to_target = target_available && has_lease(tracked, now) && tracked.lent.share > 0;
        tracked.use.calls += is_first ? 1 : 0;
        tracked.use.exposed += to_target ? 1 : 0;
        return to_target;
    }
    // Further attempts stay away from the target, so that a bad version costs a call one attempt at most.
    if (!is_first) {
        return false;
    }
    rollout::lease lent = tracked.lent;
    if (!has_lease(tracked, now)) {
        lent.share = 0;
    }
    if (!rollout::choose_exposure(tracked.use, lent, make_limits(state, rollout), route,
                                  credit_offset(state, route), now)) {
        return false;
    }
    if (!target_available) {
        rollout::return_exposure(tracked.use, route);
    }
    return target_available;
}

} // namespace

void set_rollouts(gateway_state& state, const wire::control_view& view, time_point now)
{
    if (!state.settings.features.rollouts) {
        return;
    }
    rollout_state& rollouts = state.rollouts;
    rollouts.records = rollout::from_wire(view.rollouts());
    for (const auto& [service, record] : rollouts.records) {
        tracked_rollout& tracked = rollouts.tracked[service];
        if (tracked.number != record.number) {
            tracked = {};
            tracked.number = record.number;
            tracked.age_at_start = record.age;
            tracked.tracked_since = now;
        }
    }
}

void receive_lease(gateway_state& state, const wire::rollout_lease& message, incarnation_id own,
                   time_point now)
{
    rollout_state& rollouts = state.rollouts;
    const auto sent = rollouts.reports_sent.find(message.sequence());
    if (sent == rollouts.reports_sent.end() || message.incarnation() != own.value) {
        return;
    }
    for (const wire::rollout_share& share : message.shares()) {
        const auto found = rollouts.tracked.find(share.service());
        // Half of the time allowed for a rollback is left for the evidence and the decision.
        const duration granted =
            std::min<duration>(rollout::lease_time, state.settings.rollout.rollback_timeout / 2);
        const time_point valid_until = sent->second + holder_lease_time(granted);
        if (found == rollouts.tracked.end() || found->second.number != share.number() ||
            valid_until < found->second.lent.valid_until) {
            continue;
        }
        tracked_rollout& tracked = found->second;
        tracked.lent.number = share.number();
        tracked.lent.share = share.share();
        tracked.lent.forecast = share.forecast();
        tracked.lent.age = std::chrono::milliseconds(share.age_ms());
        tracked.lent.received_at = now;
        tracked.lent.valid_until = valid_until;
        tracked.lease_lost = false;
    }
}

std::optional<wire::envelope> make_rollout_report(gateway_state& state, incarnation_id own, time_point now)
{
    rollout_state& rollouts = state.rollouts;
    rollout::gateway_report report;
    for (auto& [service, tracked] : rollouts.tracked) {
        const auto record = rollouts.records.find(service);
        if (record == rollouts.records.end() || !rollout::is_running(record->second)) {
            continue;
        }
        const bool is_lent = record->second.current != rollout::stage::rolling_back;
        if (is_lent && tracked.lent.number != 0 && !has_lease(tracked, now) && !tracked.lease_lost) {
            tracked.lease_lost = true;
            state.counters.rollout_leases_lost.fetch_add(1);
            log_event(event::rollout_lease_lost, {{"service", service}, {"target", record->second.target}});
        }
        rollout::service_evidence& evidence = report.services[service];
        evidence.number = tracked.number;
        evidence.age = tracked.age_at_start + (now - tracked.tracked_since);
        evidence.calls = tracked.use.calls;
        evidence.exposed = tracked.use.exposed;
        evidence.outcomes = tracked.outcomes;
        for (const auto& [number, attempt] : rollouts.running) {
            if (attempt.service != service) {
                continue;
            }
            const bool at_target = attempt.version == record->second.target;
            evidence.running_old += at_target ? 0 : 1;
            ++evidence.outcomes[{attempt.route, at_target}]
                  .running[rollout::bucket_of(now - attempt.started_at)];
        }
    }
    if (report.services.empty()) {
        return std::nullopt;
    }
    report.endpoint = state.settings.link;
    report.sequence = ++rollouts.last_report;
    report.revision = state.revision;
    rollouts.reports_sent[report.sequence] = now;
    if (rollouts.reports_sent.size() > max_pending_reports) {
        rollouts.reports_sent.erase(rollouts.reports_sent.begin());
    }
    wire::envelope message;
    rollout::to_wire(report, message.mutable_rollout_report());
    message.mutable_rollout_report()->set_incarnation(own.value);
    return message;
}

void select_versions(active_call& call, std::vector<placing::candidate>& candidates, time_point now)
{
    gateway_state& state = *call.context.state;
    const auto found = state.rollouts.records.find(call.service.value);
    if (found == state.rollouts.records.end()) {
        return;
    }
    const rollout::record& rollout = found->second;
    if (!rollout::is_running(rollout) || rollout.current == rollout::stage::rolling_back) {
        keep_versions(candidates, rollout, rollout.current == rollout::stage::completed);
        return;
    }
    if (call.stream_version) {
        return; // decided when the stream began
    }
    tracked_rollout& tracked = state.rollouts.tracked[rollout.service];
    const bool available = std::any_of(candidates.begin(), candidates.end(), [&](const auto& candidate) {
        return is_exposable(call, candidate, rollout, now);
    });
    const bool to_target = exposes(call, rollout, tracked, available, now);
    if (!to_target) {
        keep_versions(candidates, rollout, false);
        return;
    }
    std::erase_if(candidates,
                  [&](const auto& candidate) { return !is_exposable(call, candidate, rollout, now); });
    state.counters.rollout_exposed.fetch_add(1);
    if (rollout.current == rollout::stage::probing) {
        // The calls go to so few upstreams that each has the load that it would have with all calls.
        const double share = std::min(tracked.lent.share, 1.0);
        const double exposed_instances =
            std::max(min_exposed_instances, std::ceil(share * static_cast<double>(candidates.size())));
        candidates.resize(std::min(candidates.size(), static_cast<std::size_t>(exposed_instances)));
    }
}

attempt_watch::attempt_watch(const active_call& call, const directory::instance_record& target)
    : state_(call.context.state)
{
    if (state_->settings.features.rollouts) {
        number_ = state_->rollouts.next_attempt++;
        state_->rollouts.running[number_] = {target.service, target.version, call.route->name.value,
                                             runtime_clock::now()};
    }
}

attempt_watch::~attempt_watch()
{
    state_->rollouts.running.erase(number_);
}

void attempt_watch::record_outcome(bool failed)
{
    rollout_state& rollouts = state_->rollouts;
    const auto running = rollouts.running.find(number_);
    if (running == rollouts.running.end()) {
        return;
    }
    const running_attempt& attempt = running->second;
    const auto record = rollouts.records.find(attempt.service);
    // An attempt that began before the rollout belongs to its load, but not to its evidence.
    if (record == rollouts.records.end() || !rollout::is_running(record->second) ||
        attempt.started_at < rollouts.tracked[attempt.service].tracked_since) {
        return;
    }
    const bool at_target = attempt.version == record->second.target;
    rollout::outcome_counters& counters =
        rollouts.tracked[attempt.service].outcomes[{attempt.route, at_target}];
    ++counters.durations[rollout::bucket_of(runtime_clock::now() - attempt.started_at)];
    counters.failures += failed ? 1 : 0;
    if (at_target && failed) {
        state_->counters.rollout_target_failures.fetch_add(1);
    }
}

} // namespace guavawick::gateway
