// Growth and shrinking of the concurrency window by time to first token.
#include "scheduling/window_func.hpp"

#include <algorithm>

namespace guavawick::scheduling {
namespace {

constexpr double shrink_factor = 0.7;  ///< factor on the size at a latency over the goal
constexpr double average_weight = 0.1; ///< weight of a new latency in the moving average
constexpr double cold_latency_factor =
    6.0; ///< a latency this many times the average indicates a cold upstream
constexpr double min_latency_seconds = 0.05; ///< lower latencies count as this much
constexpr double batch_slowdown = 2.0;       ///< factor by which a full batch slows down prefill
constexpr duration min_shrink_interval = 1s; ///< minimum interval between two shrinks

void grow_window(window_state& window)
{
    // During slow start the window doubles with each round of calls, later it grows by one with each round.
    window.size += window.slow_start ? 1.0 : 1.0 / std::max(1.0, window.size);
    const double size_limit = static_cast<double>(
        window.reported_slots == 0 ? window.options.max_size
                                   : std::min(window.options.max_size, window.reported_slots));
    window.size = std::min(window.size, size_limit);
}

void shrink_window(window_state& window, time_point now)
{
    if (window.size <= 1) {
        return; // the upstream is warming up; its latency does not indicate a limit
    }
    window.slow_start = false;
    if (now - window.last_shrink_at < min_shrink_interval) {
        return;
    }
    window.last_shrink_at = now;
    window.size = std::max(1.0, window.size * shrink_factor);
}

} // namespace

std::uint64_t window_limit(const window_state& window)
{
    return std::max<std::uint64_t>(1, static_cast<std::uint64_t>(window.size));
}

bool may_start(const window_state& window)
{
    return window.running < window_limit(window);
}

void record_start(window_state& window)
{
    ++window.running;
}

void record_end(window_state& window)
{
    window.running -= std::min<std::uint64_t>(window.running, 1);
}

void set_reported_slots(window_state& window, std::uint64_t slots)
{
    window.reported_slots = slots;
    if (slots != 0) {
        window.size = std::clamp(
            window.size, 1.0,
            static_cast<double>(std::max<std::uint64_t>(1, std::min(slots, window.options.max_size))));
    }
}

void reset_window(window_state& window)
{
    window.size = 1;
    window.slow_start = true;
    window.average_latency_seconds = 0;
    ++window.reset_count;
}

duration prefill_allowance(std::uint64_t prompt_tokens, double tokens_per_second)
{
    return from_seconds(static_cast<double>(prompt_tokens) / std::max(1.0, tokens_per_second) *
                        batch_slowdown);
}

bool record_first_token(window_state& window, duration latency, duration prefill_time, time_point now)
{
    const duration excess = std::max(duration{}, latency - prefill_time);
    const double latency_seconds = std::max(min_latency_seconds, to_seconds(excess));
    const double goal_seconds = to_seconds(window.options.latency_goal);
    const bool turned_cold = window.average_latency_seconds > 0 &&
                             latency_seconds > cold_latency_factor * window.average_latency_seconds &&
                             latency_seconds > goal_seconds / 2;
    if (turned_cold && window.size > 1) {
        reset_window(window);
        return true;
    }
    window.average_latency_seconds =
        window.average_latency_seconds == 0
            ? latency_seconds
            : window.average_latency_seconds * (1 - average_weight) + latency_seconds * average_weight;
    if (excess > window.options.latency_goal) {
        shrink_window(window, now);
        return false;
    }
    grow_window(window);
    return false;
}

} // namespace guavawick::scheduling
