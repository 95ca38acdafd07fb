// Types of the choice of an upstream for a call.
#pragma once

#include "base/clock_type.hpp"
#include "base/id_type.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace guavawick::routing {

enum class routing_policy : std::uint8_t { expected_time, round_robin, no_affinity };

/// What an upstream last said of itself. Reports lag.
struct load_report {
    std::uint32_t running = 0;       ///< calls that run
    std::uint32_t queued = 0;        ///< calls that wait
    std::uint32_t window = 1;        ///< calls that may run at once
    double queued_tokens = 0;        ///< expected work that waits, generated-token units
    double seconds_per_token = 0.02; ///< of one call while the window is full
    double prefill_tokens_per_second = 4000;
    double mean_call_seconds = 1.0; ///< usual length of a call there
    std::uint32_t suspects = 0;     ///< calls whose body is suspected of taking upstreams down
    bool cold = false;              ///< it answered nothing yet
};

/// An upstream that could serve a call.
struct candidate {
    upstream_name name;
    incarnation_id incarnation;
    std::string endpoint;
    bool own_data_centre = true;
    load_report load;
    std::uint32_t sent_since_report = 0; ///< calls that this entry sent there since the report
    std::uint64_t cached_tokens = 0;     ///< tokens of the program believed to be cached there
};

/// The call that needs an upstream.
struct routing_request {
    std::uint64_t affinity_hash = 0;     ///< hash of the program; 0: no program
    std::uint64_t prompt_tokens = 0;     ///< history and new messages, as far as known
    std::uint64_t expected_tokens = 200; ///< expected length of the answer
    bool suspect = false;                ///< must run where no other suspect runs
    routing_policy policy = routing_policy::expected_time;
    std::uint64_t call_number = 0; ///< round robin: counts calls
};

} // namespace guavawick::routing
