// The control role of a fleet: decisions on rollouts of upstream versions, and the exposure lent for them.
#include "core/control_process.hpp"

#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "rollout/rollout_codec.hpp"
#include "rollout/rollout_func.hpp"

#include <algorithm>

namespace guavawick::core {

namespace asio = boost::asio;

namespace {

constexpr duration fresh_report_time = 1s;      ///< four reports
constexpr duration evidence_retention = 60s;    ///< of a gateway incarnation that has ended
constexpr duration age_commit_interval = 1s;    ///< a rollout loses at most this with all processes
constexpr duration decision_lifetime = 500ms;   ///< five ticks; an older decision is not lent
constexpr duration gateway_discovery_time = 3s; ///< after its start a replica knows all gateways

} // namespace

asio::awaitable<bool> control_process::start_rollout(std::string service, std::string target, duration length,
                                                     order_source source)
{
    wire::envelope command;
    wire::rollout_start* order = command.mutable_fleet()->mutable_start_rollout();
    order->set_service(std::move(service));
    order->set_target(std::move(target));
    order->set_duration_ms(static_cast<std::uint64_t>(to_ms(length)));
    const wire::envelope reply = co_await execute_order(std::move(command), std::move(source));
    co_return !reply.rollout_is().conflict();
}

asio::awaitable<std::optional<rollout::record>> control_process::query_rollout(std::string service)
{
    wire::envelope request;
    request.mutable_rollout()->set_service(service);
    const wire::envelope reply = co_await call_leader(std::move(request));
    if (!reply.rollout_is().known()) {
        co_return std::nullopt;
    }
    google::protobuf::RepeatedPtrField<wire::rollout_record> records;
    *records.Add() = reply.rollout_is().rollout();
    co_return rollout::from_wire(records).at(service);
}

wire::envelope control_process::make_rollout_reply(const std::string& service) const
{
    wire::envelope reply;
    wire::rollout_status* body = reply.mutable_rollout_is();
    const auto found = state_.rollouts.find(service);
    body->set_known(found != state_.rollouts.end());
    if (body->known()) {
        rollout::to_wire(found->second, body->mutable_rollout());
    }
    return reply;
}

void control_process::report_rollout_command(const wire::fleet_command& command, bool changed,
                                             wire::envelope& reply)
{
    if (command.has_start_rollout()) {
        const wire::rollout_start& order = command.start_rollout();
        const rollout::record& latest = state_.rollouts.at(order.service());
        const bool conflict = latest.target != order.target();
        if (conflict) {
            reply.mutable_rollout_is()->set_conflict(true);
        }
        log_event(conflict ? event::rollout_refused : event::rollout_requested,
                  {{"service", order.service()},
                   {"target", order.target()},
                   {"duration_ms", order.duration_ms()},
                   {"repeated", changed || conflict ? "no" : "yes"},
                   {"latest", latest.target},
                   {"number", latest.number}});
    }
    if (command.has_change_rollout() && changed) {
        const wire::rollout_change& change = command.change_rollout();
        log_event(event::rollout_stage_changed,
                  {{"service", change.service()},
                   {"number", change.number()},
                   {"stage", rollout::to_string(rollout::to_stage(change.stage()))},
                   {"reason", change.reason()},
                   {"age_ms", change.age_ms()},
                   {"revision", state_.revision}});
    }
}

void control_process::decide_rollouts(time_point now)
{
    if (!settings_.features.rollouts) {
        return;
    }
    std::uint64_t running = 0;
    for (const auto& [service, rollout] : state_.rollouts) {
        rollout_work& work = rollout_work_[service];
        if (work.number != rollout.number) {
            work = {};
            work.number = rollout.number;
            work.known_since = now;
            work.known_age = rollout.age;
        }
        if (work.changed_at != rollout.changed_at) {
            work.changed_at = rollout.changed_at;
            work.stage_since = now;
        }
        if (!rollout::is_running(rollout)) {
            continue;
        }
        ++running;
        if (group_->has_read_lease()) {
            decide_rollout(rollout, work, now);
        }
    }
    rollouts_running_.store(running);
    const std::lock_guard lock(mutex_);
    // A report of a running rollout stays: the tests would ignore new outcomes as long as the totals are
    // below what they have counted.
    std::erase_if(evidence_, [this, now](const auto& entry) {
        const bool is_needed =
            std::any_of(entry.second.services.begin(), entry.second.services.end(), [this](const auto& item) {
                const auto record = state_.rollouts.find(item.first);
                return record != state_.rollouts.end() && rollout::is_running(record->second) &&
                       record->second.number == item.second.number;
            });
        return !is_needed && now - entry.second.received_at > evidence_retention;
    });
}

void control_process::decide_rollout(const rollout::record& rollout, rollout_work& work, time_point now)
{
    rollout::evidence_totals totals;
    {
        const std::lock_guard lock(mutex_);
        totals = rollout::sum_evidence(evidence_, rollout.service, rollout.number, now);
    }
    work.age = std::max({work.known_age + (now - work.known_since), rollout.age, totals.age});
    const rollout::decision_input input{rollout,
                                        totals,
                                        work.age,
                                        now - work.stage_since,
                                        is_target_serving(rollout),
                                        gateways_confirm(rollout, now)};
    const std::uint32_t previous_step = work.current.step;
    work.current = rollout::decide(work.judged, input, settings_.rollout.exposed_calls);
    work.decided_at = now;
    const std::vector<event_field> evidence{{"service", rollout.service},
                                            {"number", rollout.number},
                                            {"stage", rollout::to_string(rollout.current)},
                                            {"step", std::uint64_t{work.current.step}},
                                            {"reason", work.current.reason},
                                            {"age_ms", std::uint64_t(to_ms(work.age))},
                                            {"calls", totals.calls},
                                            {"exposed", totals.exposed},
                                            {"ended", work.judged.target_ended},
                                            {"failures", work.judged.target_failures},
                                            {"score_percent", std::uint64_t(work.judged.worst_score * 100)}};
    if (work.current.step != previous_step) {
        log_event(event::rollout_step_taken, evidence);
    }
    if (work.current.next && !work.proposal_pending) {
        log_event(event::rollout_decided, evidence);
    }
    rollout_share_.store(work.current.share);
    rollout_calls_.store(totals.calls);
    rollout_target_calls_.store(work.judged.target_ended);
    rollout_target_failures_.store(work.judged.target_failures);
    rollout_stage_.store(static_cast<std::uint64_t>(rollout.current));
    if (!work.proposal_pending && (work.current.next || work.age - rollout.age >= age_commit_interval)) {
        propose_change(rollout, work);
    }
}

void control_process::propose_change(const rollout::record& rollout, rollout_work& work)
{
    wire::fleet_command command;
    wire::rollout_change* change = command.mutable_change_rollout();
    change->set_service(rollout.service);
    change->set_number(rollout.number);
    change->set_age_ms(static_cast<std::uint64_t>(to_ms(work.age)));
    if (work.current.next) {
        change->set_stage_changes(true);
        change->set_stage(static_cast<std::uint32_t>(*work.current.next));
        change->set_reason(work.current.reason);
    }
    work.proposal_pending = true;
    group_->propose(command.SerializeAsString(), [this, service = rollout.service](const wire::envelope*) {
        rollout_work_[service].proposal_pending = false;
    });
}

bool control_process::is_target_serving(const rollout::record& rollout)
{
    const std::lock_guard lock(mutex_);
    return std::any_of(instances_.instances.begin(), instances_.instances.end(),
                       [&rollout](const auto& entry) {
                           const directory::instance_record& instance = entry.second;
                           return instance.service == rollout.service && instance.version == rollout.target &&
                                  instance.state == directory::instance_state::serving;
                       });
}

bool control_process::gateways_confirm(const rollout::record& rollout, time_point now)
{
    if (now - created_at_ < gateway_discovery_time) {
        return false;
    }
    const std::lock_guard lock(mutex_);
    return std::all_of(subscribers_.begin(), subscribers_.end(), [&](const auto& subscriber) {
        return std::any_of(evidence_.begin(), evidence_.end(), [&](const auto& entry) {
            const rollout::gateway_report& report = entry.second;
            const auto evidence = report.services.find(rollout.service);
            const bool is_current =
                report.endpoint == subscriber.first && now - report.received_at < fresh_report_time &&
                report.revision >= rollout.changed_at && evidence != report.services.end();
            return is_current &&
                   (rollout.current == rollout::stage::rolling_back || evidence->second.running_old == 0);
        });
    });
}

void control_process::handle_rollout_report(const wire::rollout_report& report)
{
    if (!settings_.features.rollouts) {
        return;
    }
    const time_point now = runtime_clock::now();
    {
        const std::lock_guard lock(mutex_);
        rollout::merge_report(evidence_, report.incarnation(), rollout::from_wire(report, now));
    }
    rollout_evidence_at_.store(now);
    group_->post([this, endpoint = report.endpoint(), incarnation = report.incarnation(),
                  sequence = report.sequence()] { lend_exposure(endpoint, incarnation, sequence); });
}

void control_process::lend_exposure(const std::string& endpoint, std::uint64_t incarnation,
                                    std::uint64_t sequence)
{
    if (!group_->has_read_lease()) {
        return;
    }
    const time_point now = runtime_clock::now();
    wire::envelope message;
    wire::rollout_lease* lease = message.mutable_rollout_lease();
    lease->set_incarnation(incarnation);
    lease->set_sequence(sequence);
    for (const auto& [service, rollout] : state_.rollouts) {
        const auto work = rollout_work_.find(service);
        const bool may_lend =
            rollout.current == rollout::stage::probing || rollout.current == rollout::stage::switching;
        if (!may_lend || work == rollout_work_.end() || work->second.number != rollout.number ||
            now - work->second.decided_at > decision_lifetime) {
            continue;
        }
        wire::rollout_share* share = lease->add_shares();
        share->set_service(service);
        share->set_number(rollout.number);
        share->set_share(work->second.current.share);
        share->set_forecast(work->second.current.forecast);
        share->set_age_ms(
            static_cast<std::uint64_t>(to_ms(work->second.age + (now - work->second.decided_at))));
    }
    if (lease->shares_size() > 0) {
        links_->send(endpoint, std::move(message));
    }
}

void control_process::add_rollout_metrics()
{
    const auto add = [this](const char* name, const char* help, std::function<double()> value) {
        metrics_.add({name, help, false, std::move(value), ""});
    };
    add("guavawick_control_rollouts_running", "Rollouts that have not ended.",
        [this] { return static_cast<double>(rollouts_running_.load()); });
    add("guavawick_control_rollout_stage",
        "Stage of the rollout decided on last: 0 probing, 1 switching, 3 rolling back.",
        [this] { return static_cast<double>(rollout_stage_.load()); });
    add("guavawick_control_rollout_share", "Share of calls lent for the rollout decided on last.",
        [this] { return rollout_share_.load(); });
    add("guavawick_control_rollout_calls", "Calls of the service since the request of that rollout.",
        [this] { return static_cast<double>(rollout_calls_.load()); });
    add("guavawick_control_rollout_target_calls", "Attempts that ended at the target of that rollout.",
        [this] { return static_cast<double>(rollout_target_calls_.load()); });
    add("guavawick_control_rollout_target_failures", "Of those, failed.",
        [this] { return static_cast<double>(rollout_target_failures_.load()); });
    add("guavawick_control_rollout_evidence_age_seconds", "Time since the last report of a gateway.", [this] {
        const time_point reported_at = rollout_evidence_at_.load();
        return reported_at == time_point{} ? 0.0 : to_seconds(runtime_clock::now() - reported_at);
    });
}

} // namespace guavawick::core
