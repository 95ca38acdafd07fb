// Simulation of one rollout on a clock of its own: callers, gateways that expose calls to the target, and a
// leader of control that decides. Messages take some time; the leader may be replaced.
#pragma once

#include "base/hash_func.hpp"
#include "rollout/decision_func.hpp"
#include "rollout/exposure_func.hpp"
#include "rollout/rollout_func.hpp"

#include <functional>
#include <vector>

namespace guavawick::tests {

using namespace std::chrono_literals;

/// How one attempt at the target ends.
struct attempt_outcome {
    bool failed = false;
    double slowness = 1; ///< factor on its duration
};

/// What the behaviour of the target may depend on.
struct attempt_conditions {
    duration age{}; ///< of the rollout
    std::string route;
    double load = 0; ///< share of the service's calls that the target got lately
};

struct simulated_rollout {
    static constexpr std::size_t gateway_count = 12;
    static constexpr duration step = 10ms;
    static constexpr duration message_delay = 60ms;
    static constexpr double exposed_share = 0.1;
    static constexpr double exposed_calls = 50;

    struct attempt {
        std::string route;
        bool at_target = false;
        bool failed = false;
        time_point started_at{};
        time_point ends_at{};
    };
    struct gateway {
        rollout::exposure_use use;
        rollout::lease lent;
        rollout::record view;
        std::map<rollout::counters_key, rollout::outcome_counters> outcomes;
        std::vector<attempt> running;
        std::uint64_t sequence = 0;
        bool cut_off = false;
    };

    std::uint64_t random;
    duration length = 12s;
    double rate = 400; ///< calls a second
    double old_failures = 0.02;
    std::function<attempt_outcome(const attempt_conditions&)> target = [](const attempt_conditions&) {
        return attempt_outcome{};
    };
    std::vector<duration> leader_losses; ///< ages at which the leader is replaced
    time_point requested_at{1h};
    time_point now{1h};
    rollout::record_table table;
    std::vector<gateway> gateways{gateway_count};
    rollout::evidence_table evidence;
    rollout::judgement judged;
    rollout::decision current;
    time_point leader_absent_until{};
    time_point stage_since{1h};
    double calls_due = 0;
    double recent_target = 0;
    double recent_all = 0;

    std::uint64_t calls = 0;
    std::uint64_t target_calls = 0;
    std::uint64_t bad_responses = 0;
    std::uint64_t old_running_at_completion = 0;
    std::string reason;      ///< for which the target was rolled back
    duration ended_at_age{}; ///< when the rollout was completed or rolled back
    time_point fiftieth_bad_at = time_point::max();
    time_point last_target_call_at{};

    explicit simulated_rollout(std::uint64_t seed) : random(seed)
    {
        rollout::start(table, "s", "v2", length, 1);
    }

    double draw()
    {
        random = hash_bytes(std::to_string(random));
        return static_cast<double>(random % 1000000) / 1e6;
    }

    rollout::record& record() { return table.at("s"); }

    /// Runs until the deadline.
    void run()
    {
        record().length = length;
        while (now < requested_at + length) {
            for (std::size_t i = 0; i < gateway_count; ++i) {
                end_attempts(gateways[i]);
                const bool reports =
                    (to_ms(now - requested_at) / 10 + static_cast<std::int64_t>(i)) % 25 == 0;
                if (reports && !gateways[i].cut_off) {
                    report(gateways[i], i + 1);
                }
            }
            for (calls_due += rate * to_seconds(step); calls_due >= 1; calls_due -= 1) {
                place_call(gateways[static_cast<std::size_t>(draw() * gateway_count)]);
            }
            recent_target *= 0.95;
            recent_all *= 0.95;
            decide();
            now += step;
        }
    }

    void place_call(gateway& from)
    {
        ++calls;
        recent_all += 1;
        const double kind = draw();
        const std::string route = kind < 0.5 ? "wide" : kind < 0.9 ? "middle" : "narrow";
        bool to_target = from.view.current == rollout::stage::completed;
        if (from.view.current == rollout::stage::probing && from.view.number != 0) {
            to_target = rollout::choose_exposure(
                from.use, from.lent, {exposed_share, exposed_calls / 2 / gateway_count, length}, route,
                static_cast<double>(hash_bytes(route) % 100) / 100, now);
        }
        if (from.view.current == rollout::stage::switching) {
            ++from.use.calls;
            to_target = now < from.lent.valid_until;
        }
        attempt next{route, to_target, draw() < old_failures, now, {}};
        // Durations are spread by a factor of 8, and one in 50 takes four times as long.
        double seconds = 0.06 * (1 + 7 * draw() * draw()) * (draw() < 0.02 ? 4 : 1);
        if (to_target) {
            ++target_calls;
            recent_target += 1;
            last_target_call_at = now;
            const attempt_outcome outcome =
                target({now - requested_at, route, recent_target / std::max(20.0, recent_all)});
            next.failed = next.failed || outcome.failed;
            seconds *= outcome.slowness;
            bad_responses += outcome.failed || outcome.slowness > 1 ? 1 : 0;
            if (bad_responses >= 50) {
                fiftieth_bad_at = std::min(fiftieth_bad_at, now);
            }
        }
        next.ends_at = now + from_seconds(seconds);
        from.running.push_back(next);
    }

    void end_attempts(gateway& at)
    {
        std::erase_if(at.running, [&](const attempt& ended) {
            if (ended.ends_at > now) {
                return false;
            }
            rollout::outcome_counters& counters = at.outcomes[{ended.route, ended.at_target}];
            ++counters.durations[rollout::bucket_of(ended.ends_at - ended.started_at)];
            counters.failures += ended.failed ? 1 : 0;
            return true;
        });
    }

    void report(gateway& from, std::uint64_t incarnation)
    {
        rollout::gateway_report message;
        message.endpoint = std::to_string(incarnation);
        message.sequence = ++from.sequence;
        message.revision = from.view.changed_at;
        message.received_at = now;
        rollout::service_evidence& service = message.services["s"];
        service.number = 1;
        service.age = now - requested_at;
        service.calls = from.use.calls;
        service.exposed = from.use.exposed;
        service.outcomes = from.outcomes;
        for (const attempt& running : from.running) {
            service.running_old += running.at_target ? 0 : 1;
            ++service.outcomes[{running.route, running.at_target}]
                  .running[rollout::bucket_of(now - running.started_at)];
        }
        rollout::merge_report(evidence, incarnation, message);
        // The answer and the view arrive later than the report was sent, but with the next one at the latest.
        if (now < leader_absent_until) {
            return;
        }
        from.view = record();
        const bool lends =
            record().current == rollout::stage::probing || record().current == rollout::stage::switching;
        if (lends) {
            from.lent = {1,
                         current.share,
                         current.forecast,
                         now - requested_at,
                         now,
                         now - message_delay + rollout::lease_time};
        }
    }

    bool gateways_confirm() const
    {
        for (const auto& [incarnation, message] : evidence) {
            const bool runs_old = table.at("s").current == rollout::stage::switching &&
                                  message.services.at("s").running_old > 0;
            if (message.revision < table.at("s").changed_at || now - message.received_at > 1s || runs_old) {
                return false;
            }
        }
        return true;
    }

    void decide()
    {
        for (const duration loss : leader_losses) {
            if (now - requested_at == loss) {
                leader_absent_until = now + 1500ms;
                judged = {};
            }
        }
        if (now < leader_absent_until || to_ms(now - requested_at) % 100 != 0 ||
            !rollout::is_running(record())) {
            return;
        }
        const rollout::evidence_totals totals = rollout::sum_evidence(evidence, "s", 1, now);
        current = rollout::decide(
            judged, {record(), totals, now - requested_at, now - stage_since, true, gateways_confirm()},
            exposed_calls);
        if (!current.next || !rollout::change_stage(table, "s", 1, *current.next, record().changed_at + 1)) {
            return;
        }
        stage_since = now;
        if (record().current == rollout::stage::rolling_back) {
            reason = current.reason;
        }
        if (!rollout::is_running(record())) {
            ended_at_age = now - requested_at;
        }
        if (record().current == rollout::stage::completed) {
            for (const gateway& each : gateways) {
                for (const attempt& running : each.running) {
                    old_running_at_completion += running.at_target ? 0 : 1;
                }
            }
        }
    }

    bool within_exposure_limit() const
    {
        return static_cast<double>(target_calls) <=
               exposed_share * static_cast<double>(calls) + exposed_calls;
    }
};

} // namespace guavawick::tests
