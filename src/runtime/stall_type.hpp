// Detection of times in which a process did not run: it was stopped, suspended or starved.
#pragma once

#include "base/clock_type.hpp"

namespace guavawick::runtime {

using namespace std::chrono_literals;

constexpr duration stall_check_interval = 100ms; ///< between two calls of record_run()
constexpr duration min_stall = 400ms;            ///< a longer pause between two of them is a stall
constexpr duration stall_backlog_time = 1s;      ///< after a stall, requests may be read that arrived in it

/// When a process last ran and last stalled. Plain data, used on one thread.
struct stall_record {
    time_point last_run_at{};
    time_point last_stall_ended_at{};
};

/// Records that the process runs. @pre called every stall_check_interval while it does.
/// @return the length of the stall that ends with this call, 0 if there is none.
inline duration record_run(stall_record& record, time_point now)
{
    const duration gap = record.last_run_at == time_point{} ? duration{} : now - record.last_run_at;
    record.last_run_at = now;
    if (gap <= min_stall) {
        return duration{};
    }
    record.last_stall_ended_at = now;
    return gap;
}

/// @return whether what the process reads now may have arrived long ago, during a stall.
inline bool may_read_backlog(const stall_record& record, time_point now)
{
    const bool stall_ends_now = record.last_run_at != time_point{} && now - record.last_run_at > min_stall;
    const bool stalled_recently =
        record.last_stall_ended_at != time_point{} && now - record.last_stall_ended_at < stall_backlog_time;
    return stall_ends_now || stalled_recently;
}

} // namespace guavawick::runtime
