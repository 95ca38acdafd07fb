// Merging announcements of upstream instances.
#include "directory/directory_func.hpp"

namespace guavawick::directory {
namespace {

/// An instance that started later at the same address replaces whoever was there.
bool displace_older(directory& known, const instance_record& fresh, time_point now)
{
    bool displaced = false;
    for (auto& [id, other] : known.instances) {
        if (id == fresh.id || other.address != fresh.address || other.state == instance_state::gone) {
            continue;
        }
        if (other.started_ms > fresh.started_ms) {
            return false;
        }
        other.state = instance_state::gone;
        other.last_seen_at = now;
        displaced = true;
    }
    return displaced;
}

bool is_displaced(const directory& known, const instance_record& fresh)
{
    for (const auto& [id, other] : known.instances) {
        if (id != fresh.id && other.address == fresh.address && other.started_ms > fresh.started_ms) {
            return true;
        }
    }
    return false;
}

bool same_content(const instance_record& left, const instance_record& right)
{
    const bool cold_differs =
        (left.cold_until > right.last_seen_at) != (right.cold_until > right.last_seen_at);
    return left.service == right.service && left.address == right.address &&
           left.data_centre == right.data_centre && left.state == right.state && left.slots == right.slots &&
           !cold_differs;
}

} // namespace

merge_result merge(directory& known, const instance_record& word, time_point now)
{
    const auto found = known.instances.find(word.id);
    if (found != known.instances.end()) {
        instance_record& held = found->second;
        if (word.started_ms < held.started_ms) {
            return merge_result::stale;
        }
        const bool same_incarnation = word.started_ms == held.started_ms;
        if (same_incarnation && (held.state == instance_state::gone || word.sequence <= held.sequence)) {
            return merge_result::stale;
        }
        instance_record next = word;
        next.last_seen_at = now;
        // A planned stop is final for an incarnation.
        if (same_incarnation && held.state == instance_state::draining) {
            next.state = instance_state::draining;
        }
        const bool same = same_incarnation && same_content(held, next);
        held = next;
        if (same) {
            return merge_result::renewed;
        }
    }
    else {
        instance_record fresh = word;
        fresh.last_seen_at = now;
        if (is_displaced(known, fresh)) {
            fresh.state = instance_state::gone;
        }
        known.instances.emplace(word.id, fresh);
    }
    displace_older(known, word, now);
    ++known.version;
    return merge_result::changed;
}

bool mark_gone(directory& known, const instance_id& id, std::uint64_t started_ms, time_point now)
{
    const auto found = known.instances.find(id);
    if (found == known.instances.end()) {
        instance_record left;
        left.id = id;
        left.state = instance_state::gone;
        left.started_ms = started_ms;
        left.last_seen_at = now;
        known.instances.emplace(id, left);
        ++known.version;
        return true;
    }
    instance_record& held = found->second;
    const bool older_incarnation = started_ms != 0 && started_ms < held.started_ms;
    if (older_incarnation || held.state == instance_state::gone) {
        return false;
    }
    held.state = instance_state::gone;
    held.started_ms = std::max(held.started_ms, started_ms);
    held.last_seen_at = now;
    ++known.version;
    return true;
}

void remove_expired(directory& known, time_point now)
{
    std::erase_if(known.instances,
                  [now](const auto& one) { return now - one.second.last_seen_at > gone_retention; });
}

bool record_crash(crash_table& table, std::uint64_t request_hash, const std::string& instance, time_point now)
{
    crash_table::crash_suspect& one = table.suspects[request_hash];
    one.last_crash_at = now;
    return one.instances.insert(instance).second;
}

bool is_quarantined(const crash_table& table, std::uint64_t request_hash, time_point now)
{
    const auto found = table.suspects.find(request_hash);
    return found != table.suspects.end() && found->second.instances.size() >= crash_limit &&
           now - found->second.last_crash_at < crash_retention;
}

void remove_expired(crash_table& table, time_point now)
{
    std::erase_if(table.suspects,
                  [now](const auto& one) { return now - one.second.last_crash_at > crash_retention; });
}

} // namespace guavawick::directory
