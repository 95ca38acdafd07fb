// Types of a sidecar's concurrency window, which limits the calls that run at its upstream at once.
#pragma once

#include "base/clock_type.hpp"

#include <cstdint>

namespace guavawick::scheduling {

using namespace std::chrono_literals;

/// Limits of a window.
struct window_options {
    std::uint64_t max_size = 64; ///< maximum number of concurrent calls
    duration latency_goal = 2s;  ///< the window grows while the time to first token is within this
};

/// State of a concurrency window, which starts at one call.
struct window_state {
    window_options options;
    double size = 1;                    ///< concurrent calls allowed, fractional while growing
    std::uint64_t running = 0;          ///< running calls
    std::uint64_t reported_slots = 0;   ///< slots reported by the engine; 0 if unknown
    double average_latency_seconds = 0; ///< moving average of the time to first token; 0 if unknown
    bool slow_start = true;             ///< no latency has exceeded the goal since the start
    time_point last_shrink_at{};        ///< a burst of slow calls shrinks the window once
    std::uint64_t reset_count = 0;      ///< number of resets to one
};

} // namespace guavawick::scheduling
