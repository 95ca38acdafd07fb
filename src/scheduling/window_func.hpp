// Adaptive concurrency window of a sidecar. Pure functions; the caller passes the current time.
#pragma once

#include "scheduling/window_type.hpp"

namespace guavawick::scheduling {

/// @return whether one more call may start.
bool may_start(const window_state& window);
/// Records the start of a call.
void record_start(window_state& window);
/// Records the first token of a call and adapts the window to its latency.
/// @param latency time from the start of the call to its first token.
/// @param prefill_time expected time to prefill the whole prompt; only latency beyond it counts as load.
/// @return true if the upstream turned cold and the window was reset.
bool record_first_token(window_state& window, duration latency, duration prefill_time, time_point now);
/// @return the time that prefilling a prompt may take in a full batch without any cached part.
duration prefill_allowance(std::uint64_t prompt_tokens, double tokens_per_second);
/// Records the end of a call, successful or not.
void record_end(window_state& window);
/// Sets the number of slots that the engine reports. @param slots 0 if unknown.
void set_reported_slots(window_state& window, std::uint64_t slots);
/// Resets the window to one call, for a new incarnation of the upstream.
void reset_window(window_state& window);
/// @return the number of calls that may run at once, at least one.
std::uint64_t window_limit(const window_state& window);

} // namespace guavawick::scheduling
