// Rate limit of log lines.
#include "base/line_budget.hpp"

namespace guavawick {
namespace {

constexpr duration one_second = std::chrono::seconds(1);

} // namespace

bool allow_line(log_rate_limiter& limiter, event kind, bool routine, time_point now)
{
    if (now - limiter.window_start >= one_second) {
        limiter.window_start = now;
        limiter.written_lines.clear();
    }
    std::uint32_t& count = limiter.written_lines[kind];
    if (count >= (routine ? max_routine_lines_per_second : max_lines_per_second)) {
        ++limiter.dropped_lines[kind];
        return false;
    }
    ++count;
    return true;
}

std::map<event, std::uint64_t> take_dropped_lines(log_rate_limiter& limiter, time_point now)
{
    std::map<event, std::uint64_t> dropped;
    if (now - limiter.window_start >= one_second) {
        dropped.swap(limiter.dropped_lines);
    }
    return dropped;
}

} // namespace guavawick
