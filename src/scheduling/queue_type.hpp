// Types of a sidecar's queue: fair among organisations, least attained service within one.
#pragma once

#include "base/clock_type.hpp"
#include "base/id_type.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace guavawick::scheduling {

/// How a queue orders its calls.
enum class queue_policy : std::uint8_t { fair, fifo };

/// A call that waits for its upstream.
struct queued_call {
    attempt_id attempt;
    organisation_name organisation;
    program_name program;
    double weight = 1;                 ///< of the organisation
    std::uint64_t attained_tokens = 0; ///< work that the program was already given, fleet-wide
    double cost_tokens = 0; ///< expected work: tokens to prefill and to generate, in generated-token units
    time_point arrived_at{};
    time_point deadline{}; ///< zero: none
};

/// Calls of one organisation, best first.
struct organisation_queue {
    double virtual_time = 0; ///< work served, divided by the weight
    double weight = 1;
    std::set<std::pair<double, attempt_id>> order; ///< rank and attempt
};

/// A queue before one upstream.
struct call_queue {
    queue_policy policy = queue_policy::fair;
    double virtual_now = 0; ///< virtual time of the lane served last; a lane that was empty starts here
    std::unordered_map<attempt_id, std::pair<queued_call, double>> calls; ///< with its rank in its lane
    std::unordered_map<organisation_name, organisation_queue> organisation_queues;
    std::set<std::pair<double, organisation_name>> backlogged; ///< lanes with calls, least virtual time first
    std::set<std::pair<time_point, attempt_id>> deadlines;
    double cost_tokens = 0; ///< of all calls that wait
};

} // namespace guavawick::scheduling
