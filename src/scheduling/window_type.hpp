// Types of a sidecar's window: how many calls its upstream bears at once.
#pragma once

#include "base/clock_type.hpp"

#include <cstdint>

namespace guavawick::scheduling {

using namespace std::chrono_literals;

/// Limits of a window.
struct window_options {
    std::uint64_t max_size = 64; ///< never more calls at once
    duration latency_goal = 2s;  ///< time to first token within which the window grows
};

/// How many calls an upstream bears. It starts at one.
struct window_state {
    window_options options;
    double size = 1;                    ///< calls at once
    std::uint64_t running = 0;          ///< calls that run
    std::uint64_t reported_slots = 0;   ///< slots that the engine reports; 0: unknown
    double average_latency_seconds = 0; ///< usual time to first token; 0: unknown
    bool slow_start = true;             ///< no latency over the goal was seen since the start
    time_point last_shrink_at{};        ///< a burst of slow answers shrinks it once
    std::uint64_t reset_count = 0;      ///< how often it went back to one
};

} // namespace guavawick::scheduling
