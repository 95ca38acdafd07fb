// Decisions of a sidecar's window. Pure; the caller names the time.
#pragma once

#include "scheduling/window_type.hpp"

namespace guavawick::scheduling {

/// Tells whether one more call may start.
bool may_start(const window_state& window);
/// Notes that a call started.
void note_start(window_state& window);
/// Notes the first token of a call, `latency` after it started. @return true if the upstream turned cold and the window was reset.
bool note_first_token(window_state& window, duration latency, time_point now);
/// Notes that a call ended, however it ended.
void note_end(window_state& window);
/// Notes how many slots the engine reports.
void note_reported(window_state& window, std::uint64_t slots);
/// Starts again at one, for a new incarnation of the upstream.
void reset_window(window_state& window);
/// @return how many calls may run at once, at least one.
std::uint64_t window_limit(const window_state& window);

} // namespace guavawick::scheduling
