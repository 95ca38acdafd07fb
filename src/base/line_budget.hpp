// Bounds the volume of log lines. Pure; the caller names the time.
#pragma once

#include "base/clock_type.hpp"
#include "base/event_type.hpp"

#include <cstdint>
#include <map>

namespace guavawick {

/// Lines of each event in the present second.
struct line_budget {
    time_point second_begun{};
    std::map<event, std::uint32_t> written;
    std::map<event, std::uint64_t> left_out; ///< since they were last told
};

/// Tells whether a line of an event is written now. What is left out is counted.
/// @param routine lines of calls that go well, which give way first.
bool may_write(line_budget& budget, event what, bool routine, time_point now);
/// @return the lines left out since the last call, to be told; empty until a second has passed.
std::map<event, std::uint64_t> take_left_out(line_budget& budget, time_point now);

/// A node of the target serves 86 calls a second (57,000 over 660); lines of three times as many are kept.
constexpr std::uint32_t most_routine_lines = 260; ///< a second, of each event
/// Refusals and failures cost a caller something, so that their lines are kept four times as long.
constexpr std::uint32_t most_lines = 1040; ///< a second, of each event

} // namespace guavawick
