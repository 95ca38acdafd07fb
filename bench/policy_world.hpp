// Discrete-event simulation for the policy bench: the production routing, window, queue and rate functions
// run on simulated time with simulated engines.
#pragma once

#include "fakes/engine_model.hpp"
#include "limit/bucket_func.hpp"
#include "routing/routing_func.hpp"
#include "scheduling/queue_func.hpp"
#include "scheduling/window_func.hpp"

#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace guavawick::bench {

/// Policies that a simulation runs with.
struct policy_options {
    routing::routing_policy routing = routing::routing_policy::expected_time;
    scheduling::queue_policy queue = scheduling::queue_policy::fair;
    bool adaptive_window = true; ///< false: the concurrency window is fixed at the engine's slots
};

/// Size and load of a simulated fleet. Times are simulated seconds since the start of the run.
struct workload_options {
    std::string name;
    int data_centre_count = 3;
    int engine_count = 10;
    double data_centre_delay_seconds = 0.001; ///< network delay between two data centres, one way
    double load = 0.8;                       ///< offered work over the capacity of all slots with warm caches
    std::vector<double> organisation_shares; ///< share of the load by organisation; the sum is 1
    int noisy_organisation = -1;   ///< index of an organisation that sends five times its load; -1: none
    double measured_seconds = 600; ///< length of the measurement, after the warm-up
    double warmup_seconds = 120;
    std::uint64_t seed = 1;
    int evacuated_data_centre = -1; ///< index of a data centre that gets no new work for a while; -1: none
    double evacuation_start = 0;
    double evacuation_end = 0;
    int failing_engine = -1; ///< index of an engine that fails and restarts without state; -1: none
    double engine_failure_time = 0;
    double engine_restart_time = 0;
    /// Index of an engine that loses its cache and is slow at first, but keeps its calls; -1: none.
    int reset_engine = -1;
    double engine_reset_time = 0;
};

/// Results of a simulation. Tokens are counted from the end of the warm-up.
struct simulation_result {
    std::vector<double> program_latencies; ///< in seconds, of the programs that started after the warm-up
    /// By organisation: latency of each program over its ideal latency.
    std::vector<std::vector<double>> slowdowns;
    std::vector<double> repeated_prefill_share; ///< repeated prefill tokens over all prompt tokens, one value
    std::uint64_t repeated_prefill_tokens = 0;  ///< prefilled tokens that some engine had cached before
    std::uint64_t prompt_tokens = 0;
    /// Requests that a single token bucket per organisation would admit, without the noisy organisation's.
    std::uint64_t requests_within_rate = 0;
    /// Refusals beyond those of that bucket, without the noisy organisation's.
    std::uint64_t refused_within_rate = 0;
    std::uint64_t refused_total = 0;     ///< all refusals for lack of rate tokens
    std::uint64_t window_violations = 0; ///< calls that started although an engine's window was full
    /// From the first call at normal speed after an engine's restart until its window is full; 0: not
    /// reached.
    double ramp_up_seconds = 0;
    std::uint64_t event_count = 0;
};

/// Simulates a workload under a set of policies. The result depends only on the arguments.
simulation_result run_simulation(const workload_options& workload, const policy_options& policy);

/// @return the value below which the given fraction (0 to 1) of the values lies; 0 if there are none.
double percentile(std::vector<double> values, double fraction);
/// @return the arithmetic mean; 0 if there are no values.
double mean(const std::vector<double>& values);

} // namespace guavawick::bench
