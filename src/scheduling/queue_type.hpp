// Types of a sidecar's queue: weighted fair queueing among organisations, least attained service within one.
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

/// Order in which a queue serves its calls.
enum class queue_policy : std::uint8_t { fair, fifo };

/// A call that waits for its upstream.
struct queued_call {
    attempt_id attempt;
    organisation_name organisation;
    program_name program;
    double weight = 1;                 ///< weight of the organisation
    std::uint64_t attained_tokens = 0; ///< work already spent on the program, fleet-wide
    double cost_tokens = 0;            ///< expected work, prefill and generation, in generated-token units
    time_point arrived_at{};
    time_point deadline{}; ///< zero if there is none
};

/// Queue of one organisation, or of all of them with the policy fifo.
struct organisation_queue {
    double virtual_time = 0; ///< served work divided by the weight
    double weight = 1;
    std::set<std::pair<double, attempt_id>> order; ///< rank and attempt, lowest rank first
};

/// Queue of one upstream.
struct call_queue {
    queue_policy policy = queue_policy::fair;
    double virtual_now = 0; ///< virtual time of the organisation served last; an empty queue restarts here
    std::unordered_map<attempt_id, std::pair<queued_call, double>>
        calls; ///< with their rank in the organisation's queue
    std::unordered_map<organisation_name, organisation_queue> organisation_queues;
    std::set<std::pair<double, organisation_name>>
        backlogged; ///< non-empty queues, lowest virtual time first
    std::set<std::pair<time_point, attempt_id>> deadlines;
    double cost_tokens = 0; ///< expected work of all queued calls
};

} // namespace guavawick::scheduling
