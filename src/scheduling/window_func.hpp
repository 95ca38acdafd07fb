// Decisions of a sidecar's window. Pure; the caller names the time.
#pragma once

#include "scheduling/window_type.hpp"

namespace guavawick::scheduling {

/// Tells whether one more call may start.
bool may_start(const window_state& window);
/// Notes that a call started.
void record_start(window_state& window);
/// Notes the first token of a call, `latency` after it started.
/// @param prefill what prefilling its whole prompt may take; only what goes beyond speaks of load.
/// @return true if the upstream turned cold and the window was reset.
bool record_first_token(window_state& window, duration latency, duration prefill, time_point now);
/// @return the time that prefilling a prompt may take beside a full batch, with nothing of it cached.
duration prefill_allowance(std::uint64_t prompt_tokens, double tokens_per_second);
/// Notes that a call ended, however it ended.
void record_end(window_state& window);
/// Notes how many slots the engine reports.
void set_reported_slots(window_state& window, std::uint64_t slots);
/// Starts again at one, for a new incarnation of the upstream.
void reset_window(window_state& window);
/// @return how many calls may run at once, at least one.
std::uint64_t window_limit(const window_state& window);

} // namespace guavawick::scheduling
