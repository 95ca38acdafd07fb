// Rate limit of log lines. Pure functions; the caller passes the time.
#pragma once

#include "base/clock_type.hpp"
#include "base/event_type.hpp"

#include <cstdint>
#include <map>

namespace guavawick {

/// Counts the lines of each event within a window of one second.
struct log_rate_limiter {
    time_point window_start{};
    std::map<event, std::uint32_t> written_lines;
    std::map<event, std::uint64_t> dropped_lines; ///< since the last take_dropped_lines()
};

/// Counts a line of an event. @return whether it may be written; a line that may not is counted as dropped.
/// @param routine whether the event belongs to a successful call; such events have the lower limit.
bool allow_line(log_rate_limiter& limiter, event kind, bool routine, time_point now);
/// @return the lines dropped since the last call, by event, and resets the counts; empty until the second has
/// passed.
std::map<event, std::uint64_t> take_dropped_lines(log_rate_limiter& limiter, time_point now);

/// Lines of a routine event per second. At full load one node serves 86 calls a second (57,000 over 660
/// nodes); this is three times as many.
constexpr std::uint32_t max_routine_lines_per_second = 260;
/// Lines of any other event per second. Refusals and failures affect a caller, so their limit is four times
/// as high.
constexpr std::uint32_t max_lines_per_second = 1040;

} // namespace guavawick
