// Simulated engines with prompt caches behind gateways that place calls with partial knowledge of the load.
// Plain structs; no network and no threads.
#pragma once

#include "placing/placing_func.hpp"
#include "placing/prefix_func.hpp"

#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

namespace guavawick::tests {

/// Load and engines of a simulated run. The defaults are the heaviest minute of the deployment "band".
struct world_settings {
    bool by_prefix = false; ///< placement by shared prefix; otherwise by a hash of the program
    int engine_count = 41;
    int data_centre_count = 3;
    int gateway_count = 21;
    int prefix_count = 16;
    double prefix_skew = 1;     ///< the prefix of rank k is used in proportion to 1 / k^skew
    double programs_per_s = 78; ///< 590 turns a second
    double seconds = 20;        ///< in which programs start
    double burst_factor = 1;    ///< of programs_per_s during the burst
    double burst_start_s = 0;
    double burst_end_s = 0;
    double recovery_s = 4;      ///< from the end of the burst to the first call that counts as sent after it
    double second_agents = 0.3; ///< share of programs with a sub-agent
    double slots = 48;
    double memory_tokens = 131'445;
    double prefill_tokens_per_ms = 29.4;
    placing::prefix_settings prefixes;
    placing::placement_costs costs;
};

/// What the callers got, and what the engines read.
struct world_result {
    std::uint64_t calls = 0;
    double prompt_tokens_read = 0;
    double prefix_tokens_read = 0; ///< of these, tokens of shared prefixes
    double mean_first_event_ms = 0;
    double p95_first_event_ms = 0;
    double mean_end_ms = 0;
    double p95_end_ms = 0;
    double warm_share = 0;               ///< of turns after the first of a line: sent to the line's engine
    double mean_end_before_burst_ms = 0; ///< of calls sent before the burst
    double mean_end_after_burst_ms = 0;  ///< of calls sent after the burst and the recovery
};

/// Plays the load. The result depends on the settings and the seed only.
world_result play(const world_settings& settings, std::uint64_t seed);

} // namespace guavawick::tests
