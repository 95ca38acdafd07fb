// Growth and shrinking of a sidecar's window.
#include "scheduling/window_func.hpp"

#include <algorithm>

namespace guavawick::scheduling {
namespace {

constexpr double shrink_factor = 0.7; ///< of the size, at an answer over the goal
constexpr double usual_weight = 0.1;  ///< of a new latency in the usual one
constexpr double cold_factor = 6.0;   ///< a latency this many times the usual one means a cold upstream
constexpr double least_usual_seconds = 0.05; ///< below this a latency is not told apart from none
constexpr double batch_allowance = 2.0;      ///< a full batch slows prefill down by about this
constexpr duration shrink_interval = 1s;     ///< the window shrinks at most this often

void grow(window_state& window)
{
    // Within the goal: doubles each round of answers at first, later grows by one each round.
    window.size += window.slow_start ? 1.0 : 1.0 / std::max(1.0, window.size);
    const double cap = static_cast<double>(window.reported_slots == 0
                                               ? window.options.max_size
                                               : std::min(window.options.max_size, window.reported_slots));
    window.size = std::min(window.size, cap);
}

void shrink(window_state& window, time_point now)
{
    if (window.size <= 1) {
        return; // a fresh upstream that warms up: nothing to take away, and no sign of a limit
    }
    window.slow_start = false;
    if (now - window.last_shrink_at < shrink_interval) {
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
                        batch_allowance);
}

bool record_first_token(window_state& window, duration latency, duration prefill, time_point now)
{
    const duration excess = std::max(duration{}, latency - prefill);
    const double seconds = std::max(least_usual_seconds, to_seconds(excess));
    const double goal = to_seconds(window.options.latency_goal);
    const bool cold = window.average_latency_seconds > 0 &&
                      seconds > cold_factor * window.average_latency_seconds && seconds > goal / 2;
    if (cold && window.size > 1) {
        reset_window(window);
        return true;
    }
    window.average_latency_seconds =
        window.average_latency_seconds == 0
            ? seconds
            : window.average_latency_seconds * (1 - usual_weight) + seconds * usual_weight;
    if (excess > window.options.latency_goal) {
        shrink(window, now);
        return false;
    }
    grow(window);
    return false;
}

} // namespace guavawick::scheduling
