// Merging of instance announcements, and the quarantine of requests that crash instances. Pure functions; the
// caller passes the current time.
#pragma once

#include "directory/directory_type.hpp"

namespace guavawick::directory {

/// @return why an id names no instance; empty if it may name one. Ids become fields of messages, of log lines
/// and of headers, so one that these can't hold is refused wherever it arrives.
std::string describe_fault(const instance_id& id);
/// @return why an announcement names no instance; empty if it may name one.
std::string describe_fault(const instance_record& record);

/// Merges the announcement of an instance. The later start wins, then the higher sequence number; an
/// incarnation that is gone stays gone. An address belongs to the instance that started there last. A full
/// directory forgets the instance that it has not heard for the longest time.
merge_result merge(directory& known, const instance_record& announcement, time_point now);
/// Marks an instance as gone. @param started_ms start of the incarnation that is gone; 0 for any.
/// @return whether the state changed; false if the id is invalid.
bool mark_gone(directory& known, const instance_id& id, std::uint64_t started_ms, time_point now);
/// Removes instances without an announcement for longer than gone_retention.
void remove_expired(directory& known, time_point now);

/// Records a crash. @return whether it was not yet recorded.
bool record_crash(crash_table& table, const crash_report& report);
/// Records that an instance ran a request to its end, so that the request did not cause earlier crashes.
/// @return whether the request was a suspect.
bool clear_suspect(crash_table& table, std::uint64_t request_hash);
/// Counts the crashes of a request's successive attempts. Crashes of attempts that ran at the same time count
/// once, because a failure of many instances ends all their requests.
std::size_t count_crashes(const crash_table& table, std::uint64_t request_hash);
/// @return whether a request has crashed so many instances that it must not run again.
bool is_quarantined(const crash_table& table, std::uint64_t request_hash, time_point now);
/// Removes suspects whose retention has ended.
void remove_expired(crash_table& table, time_point now);

} // namespace guavawick::directory
