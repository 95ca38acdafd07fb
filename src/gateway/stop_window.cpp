// Decisions on calls during a planned stop.
#include "gateway/stop_window.hpp"

#include <algorithm>

namespace guavawick::gateway {

namespace {

constexpr int decay_divisor = 64; ///< a slow call counts for about as many calls

} // namespace

void record_duration(route_timing& timing, duration call_duration)
{
    timing.longest = std::max(call_duration, timing.longest - timing.longest / decay_divisor);
}

std::optional<time_point> limit_deadline(time_point ends_at, time_point deadline, const route_timing& timing,
                                         time_point now)
{
    if (deadline <= ends_at) {
        return deadline;
    }
    const bool fits = timing.longest > duration{} && timing.longest <= ends_at - now;
    return fits ? std::optional<time_point>(ends_at) : std::nullopt;
}

} // namespace guavawick::gateway
