// Types for the placement of calls on upstream instances: the known load of each instance, and cost weights.
#pragma once

#include "base/clock_type.hpp"
#include "base/id_type.hpp"
#include "directory/directory_type.hpp"
#include "load/load_type.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace guavawick::placing {

using namespace std::chrono_literals;

/// Load of one instance as this gateway knows it, in addition to the instance's announcements.
struct instance_load {
    std::uint32_t own_running = 0;           ///< calls of this gateway that run there
    std::uint32_t reported_running = 0;      ///< running calls of all callers, as last reported
    std::uint32_t reported_waiting = 0;      ///< waiting calls of all callers, as last reported
    std::uint32_t own_running_at_report = 0; ///< own_running at the time of the report
    time_point reported_at{};
    time_point suspect_until{}; ///< end of the suspicion after a missing response; avoided until then
    std::uint32_t consecutive_failures = 0;
    double error_rate = 0; ///< share of recent responses that were failures, as of error_rate_at
    time_point error_rate_at{};
    double cold_tokens = 0; ///< calls that this gateway may send to it while it is cold
    time_point cold_refilled_at{};
    load::instance_timing timing; ///< kept with features.learned_load
    std::uint64_t own_tokens = 0; ///< memory tokens of this gateway's calls there, without shared prefixes
};

/// Load by other gateways' calls that is assumed at an instance without a recent report.
struct typical_load {
    double running = 0;
    double waiting = 0;
};

/// An instance that is able to run a call.
struct candidate {
    const directory::instance_record* record = nullptr;
    instance_load* load = nullptr;
};

/// Properties of a call that decide about its instance.
struct placement_request {
    bool model = false;                     ///< runs on an engine with a prompt cache
    bool load_aware = false;                ///< features.load_aware
    bool learned_load = false;              ///< features.learned_load
    std::string affinity_key;               ///< calls with the same key share a cached prompt
    std::string warm_instance;              ///< instance that ran the previous turn; empty if unknown
    std::uint64_t prompt_tokens = 0;        ///< length of the whole prompt
    std::uint64_t shared_prefix_tokens = 0; ///< length of the prompt prefix that most instances have cached
    std::uint64_t memory_tokens = 0;        ///< capacity of an engine's memory; 0 if unknown
    data_centre_name own_data_centre;
    std::set<std::string> tried_instances; ///< instances that this call was already sent to
    double cold_rate_share = 0;            ///< calls a second that this gateway may send to a cold instance
    /// For each candidate the prompt tokens that it is believed to have cached. Empty: the warm or preferred
    /// instance is believed to have all of them, and the others the shared prefix.
    std::vector<std::uint64_t> cached_tokens;
};

/// Weights of the placement cost. Costs are delays in milliseconds.
struct placement_costs {
    double prefill_tokens_per_ms =
        30; ///< prefill speed; the deployed engines reach 30.9 tokens a millisecond
    /// Part of the prefill that each running call of the same batch is delayed by, with features.load_aware.
    /// Without this charge 6 in 10 turns stayed at their warm engine in overload, and engines read their
    /// histories again.
    double prefill_batch_share = 1;
    double model_running_ms = 3; ///< one more call in the batch: 33 tokens x 0.03 ms and its prefill
    /// The same for a call whose line is not cached anywhere, if cached tokens are estimated: the line's
    /// later turns will follow it to the same engine.
    double model_new_line_running_ms = 9;
    double model_waiting_ms = 60;   ///< one call that waits for a slot of an engine
    double service_running_ms = 20; ///< one more call at an instance with free slots
    double service_waiting_ms =
        100; ///< one waiting call: the mean duration of a call to the deployed services
    double model_other_data_centre_ms =
        25; ///< transfer of a prompt of some KB to another data centre, for each turn of the line
    double service_other_data_centre_ms = 10; ///< round trip between data centres, and the transfer
    double error_ms = 2000; ///< a failed call: its duration, the callers' backoff of up to 400 ms and the
                            ///< risk of a later call
    double suspect_ms = 100'000;  ///< a suspected instance: chosen only if there is no other
    duration max_report_age = 1s; ///< older load reports are ignored without features.learned_load
    /// With it, the weight of an older report halves in this time. A gateway hears from an engine about every
    /// 2 to 4 s.
    duration report_half_life = 1s;
    /// Share of the mean reported load that is assumed at an instance without a recent report. With the whole
    /// mean all gateways chose the few engines that had just reported a low load: in the simulated burst the
    /// 95th percentile of the end was 6.5 s with 1 and 1.6 s with 0 (half-life 2 s), 1.3 s with 0.3.
    double unheard_load_share = 0.3;
    double model_call_ms = 200;   ///< a call to an idle engine: 33 steps of 5 to 6 ms
    double service_call_ms = 100; ///< mean duration of a call to an idle instance
    load::load_settings speed;
};

} // namespace guavawick::placing
