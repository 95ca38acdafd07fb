// The time that a planned stop leaves to calls. Pure functions; the caller passes the time. Addresses calls
// that arrive shortly before the process ends, which would be cut off while an upstream executes them.
#pragma once

#include "base/clock_type.hpp"

#include <optional>

namespace guavawick::gateway {

/// How long calls of a route take from their arrival to the end of their response.
struct route_timing {
    duration longest{}; ///< decaying maximum; 0 if no call has ended
};

/// Takes the duration of a call into account that an upstream executed.
void record_duration(route_timing& timing, duration call_duration);

/// Decides about a call that arrives during a planned stop. It is admitted if its deadline or the recent
/// duration of its route's calls leaves time for the response. @param ends_at when responses must have been
/// sent. @param deadline of the call. @return its new deadline, nothing if it must be refused.
std::optional<time_point> limit_deadline(time_point ends_at, time_point deadline, const route_timing& timing,
                                         time_point now);

} // namespace guavawick::gateway
