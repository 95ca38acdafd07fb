// Merging announcements of upstream instances. Pure; the caller names the time.
#pragma once

#include "directory/directory_type.hpp"

namespace guavawick::directory {

/// Takes one instance's word in. A start later than the known one wins, then the higher sequence; an instance
/// that left stays gone for its incarnation. An address belongs to the instance that started there last.
merge_result merge(directory& known, const instance_record& word, time_point now);
/// Notes that an instance leaves for good. @return whether that was new.
bool mark_gone(directory& known, const instance_id& id, std::uint64_t started_ms, time_point now);
/// Forgets what was not heard of for longer than left_memory.
void remove_expired(directory& known, time_point now);

/// Notes that an instance died while a request ran there. @return whether that was new.
bool record_crash(crash_table& table, std::uint64_t request_hash, const std::string& instance,
                  time_point now);
/// @return whether a request killed too many instances to be tried again.
bool is_quarantined(const crash_table& table, std::uint64_t request_hash, time_point now);
/// Forgets old suspects.
void remove_expired(crash_table& table, time_point now);

} // namespace guavawick::directory
