// Bounds the volume of log lines. Pure; the caller names the time.
#pragma once

#include "base/clock_type.hpp"
#include "base/event_type.hpp"

#include <cstdint>
#include <map>

namespace guavawick {

/// Lines of each event in the present second.
struct log_rate_limiter {
    time_point second_begun{};
    std::map<event, std::uint32_t> written;
    std::map<event, std::uint64_t> left_out; ///< since they were last told
};

/// Tells whether a line of an event is written now. What is left out is counted.
/// @param routine lines of calls that go well, which give way first.
bool allow_line(log_rate_limiter& budget, event what, bool routine, time_point now);
/// @return the lines left out since the last call, to be told; empty until a second has passed.
std::map<event, std::uint64_t> take_dropped_lines(log_rate_limiter& budget, time_point now);

/// A node of the target serves 86 calls a second (57,000 over 660); lines of three times as many are kept.
constexpr std::uint32_t max_routine_lines_per_second = 260; ///< a second, of each event
/// Refusals and failures cost a caller something, so that their lines are kept four times as long.
constexpr std::uint32_t max_lines_per_second = 1040; ///< a second, of each event

} // namespace guavawick
