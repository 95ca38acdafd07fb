// Types that say how urgent a call is compared with others of its service.
#pragma once

#include "base/clock_type.hpp"

#include <cstdint>
#include <optional>

namespace guavawick::queueing {

using namespace std::chrono_literals;

/// Where a call stands in its program. In the order in which calls are served.
enum class urgency_class : std::uint8_t {
    running, ///< a later turn of a program that can still meet its objective, or a call without a program
    first,   ///< the first turn of a program
    late     ///< a turn of a program that can't meet its objective any more
};

/// What decides about the urgency of a call.
struct urgency_inputs {
    bool starts_program = false;       ///< first turn of a program
    std::uint32_t priority = 0;        ///< of the organisation, else of the route; 0 is the highest
    std::optional<duration> finish_in; ///< until the program's objective; none if the caller stated none
    duration least_turn_time = 100ms;  ///< the shortest time in which this turn may end
};

} // namespace guavawick::queueing
