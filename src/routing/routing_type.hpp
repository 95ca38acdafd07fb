// Types for upstream selection.
#pragma once

#include "base/clock_type.hpp"
#include "base/id_type.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace guavawick::routing {

enum class routing_policy : std::uint8_t { expected_time, round_robin, no_affinity };

/// Load that an upstream reported last. Reports arrive with a delay.
struct load_report {
    std::uint32_t running = 0;       ///< running calls
    std::uint32_t queued = 0;        ///< queued calls
    std::uint32_t window = 1;        ///< concurrency limit, in calls
    double queued_tokens = 0;        ///< expected work of the queued calls, in generated-token units
    double seconds_per_token = 0.02; ///< decode time per token of one call while the window is full
    double prefill_tokens_per_second = 4000;
    double mean_call_seconds = 1.0; ///< average duration of a call
    std::uint32_t suspects = 0;     ///< calls whose body is suspected of crashing upstreams
    bool cold = false;              ///< has not answered a call since its start
};

/// An upstream that is able to serve a call.
struct candidate {
    upstream_name name;
    incarnation_id incarnation;
    std::string endpoint;
    bool own_data_centre = true;
    load_report load;
    std::uint32_t sent_since_report = 0; ///< calls that this entry sent to it since its last report
    std::uint64_t cached_tokens = 0;     ///< tokens of the program expected in its prompt cache
};

/// Properties of a call that decide about its upstream.
struct routing_request {
    std::uint64_t affinity_hash = 0;     ///< hash of the program; 0: no affinity
    std::uint64_t prompt_tokens = 0;     ///< history and new messages, as far as known
    std::uint64_t expected_tokens = 200; ///< expected length of the answer
    bool suspect = false;                ///< must not run at an upstream that already runs a suspect
    routing_policy policy = routing_policy::expected_time;
    std::uint64_t call_number = 0; ///< consecutive number of the call, for round robin
};

} // namespace guavawick::routing
