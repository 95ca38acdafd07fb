// Bounds the volume of log lines.
#include "base/line_budget.hpp"

namespace guavawick {
namespace {

constexpr duration one_second = std::chrono::seconds(1);

} // namespace

bool allow_line(log_rate_limiter& budget, event what, bool routine, time_point now)
{
    if (now - budget.second_begun >= one_second) {
        budget.second_begun = now;
        budget.written.clear();
    }
    std::uint32_t& count = budget.written[what];
    if (count >= (routine ? max_routine_lines_per_second : max_lines_per_second)) {
        ++budget.left_out[what];
        return false;
    }
    ++count;
    return true;
}

std::map<event, std::uint64_t> take_dropped_lines(log_rate_limiter& budget, time_point now)
{
    std::map<event, std::uint64_t> told;
    if (now - budget.second_begun >= one_second) {
        told.swap(budget.left_out);
    }
    return told;
}

} // namespace guavawick
