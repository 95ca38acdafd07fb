// A world on the paused clock for the policy bench: stand-in engines behind shipped gates, entries with
// shipped routing.
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

/// Which policy runs.
struct policy_choice {
    routing::routing_policy routing = routing::routing_policy::expected_time;
    scheduling::queue_policy queue = scheduling::queue_policy::fair;
    bool window = true; ///< false: a fixed window of the engine's slots
};

/// One user's size and load.
struct workload {
    std::string name;
    int data_centres = 3;
    int engines = 10;
    double seconds_between = 0.001; ///< one way between data centres
    double load = 0.8;              ///< of capacity
    std::vector<double> shares;     ///< of the organisations, summing to 1
    int loud = -1;                  ///< this organisation sends five times its rate
    double measured_seconds = 600;
    double warm_seconds = 120;
    std::uint64_t seed = 1;
    int out_centre = -1; ///< this data centre leaves and returns
    double out_from = 0;
    double out_until = 0;
    int dying_engine = -1; ///< this engine is lost and comes back fresh
    double dies_at = 0;
    double back_at = 0;
    int cold_engine = -1; ///< this engine turns cold
    double cold_at = 0;
};

/// What a run gives.
struct run_result {
    std::vector<double> latencies;              ///< of programs, seconds, started while measured
    std::vector<std::vector<double>> slowdowns; ///< by organisation: latency over the ideal one
    std::vector<double> wasted_share; ///< one figure: repeated prefill tokens over all prompt tokens
    std::uint64_t repeated_tokens = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t asked_within = 0;   ///< requests that one central bucket would let through
    std::uint64_t refused_within = 0; ///< of these, refused
    std::uint64_t refused_all = 0;
    std::uint64_t over_window = 0; ///< times that an engine held more than its window
    double full_use_seconds =
        0; ///< from an engine's first answer at usual speed after its return to its full window
    std::uint64_t events = 0;
};

/// Runs one workload under one policy. Deterministic for a seed.
run_result run_world(const workload& work, const policy_choice& policy);

/// @return the value below which a share of the values lies.
double percentile(std::vector<double> values, double share);
/// @return the mean.
double mean(const std::vector<double>& values);

} // namespace guavawick::bench
