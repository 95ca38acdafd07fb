// Merging of instance announcements, and the quarantine of requests that crash instances.
#include "directory/directory_func.hpp"

#include "base/text_func.hpp"

#include <algorithm>
#include <array>

namespace guavawick::directory {
namespace {

/// Marks older instances at the same address as gone. @return whether there were any; always false if an
/// instance that started later holds the address.
bool displace_older_instances(directory& known, const instance_record& announced, time_point now)
{
    bool displaced = false;
    for (auto& [id, other] : known.instances) {
        if (id == announced.id || other.address != announced.address || other.state == instance_state::gone) {
            continue;
        }
        if (other.started_ms > announced.started_ms) {
            return false;
        }
        other.state = instance_state::gone;
        other.last_seen_at = now;
        displaced = true;
    }
    return displaced;
}

bool is_displaced(const directory& known, const instance_record& announced)
{
    for (const auto& [id, other] : known.instances) {
        if (id != announced.id && other.address == announced.address &&
            other.started_ms > announced.started_ms) {
            return true;
        }
    }
    return false;
}

bool has_same_content(const instance_record& left, const instance_record& right)
{
    const bool cold_differs =
        (left.cold_until > right.last_seen_at) != (right.cold_until > right.last_seen_at);
    return left.service == right.service && left.address == right.address &&
           left.data_centre == right.data_centre && left.state == right.state && left.slots == right.slots &&
           left.version == right.version && !cold_differs;
}

/// Makes room for one more instance: announcements may come from any number of senders with any number of
/// ids.
void evict_if_full(directory& known)
{
    if (known.instances.size() < max_instances) {
        return;
    }
    const auto oldest = std::min_element(known.instances.begin(), known.instances.end(),
                                         [](const auto& left, const auto& right) {
                                             return left.second.last_seen_at < right.second.last_seen_at;
                                         });
    known.instances.erase(oldest);
    ++known.version;
}

const char* describe_text_fault(const std::string& text)
{
    return text.size() > max_field_bytes ? "is too long" : is_utf8(text) ? "" : "is not UTF-8";
}

} // namespace

std::string describe_fault(const instance_id& id)
{
    if (id.value.empty()) {
        return "the id is empty";
    }
    if (has_control_character(id.value)) {
        return "the id holds a control character";
    }
    const std::string fault = describe_text_fault(id.value);
    return fault.empty() ? "" : "the id " + fault;
}

std::string describe_fault(const instance_record& record)
{
    if (std::string fault = describe_fault(record.id); !fault.empty()) {
        return fault;
    }
    const std::array<std::pair<const char*, const std::string*>, 4> texts{
        {{"service", &record.service},
         {"address", &record.address},
         {"data centre", &record.data_centre.value},
         {"version", &record.version}}};
    for (const auto& [name, text] : texts) {
        const std::string fault = describe_text_fault(*text);
        if (!fault.empty()) {
            return std::string("the ") + name + " " + fault;
        }
    }
    return "";
}

merge_result merge(directory& known, const instance_record& announcement, time_point now)
{
    if (!describe_fault(announcement).empty()) {
        return merge_result::invalid;
    }
    const auto found = known.instances.find(announcement.id);
    if (found != known.instances.end()) {
        instance_record& existing = found->second;
        if (announcement.started_ms < existing.started_ms) {
            return merge_result::stale;
        }
        const bool same_incarnation = announcement.started_ms == existing.started_ms;
        if (same_incarnation &&
            (existing.state == instance_state::gone || announcement.sequence <= existing.sequence)) {
            return merge_result::stale;
        }
        instance_record next = announcement;
        next.last_seen_at = now;
        // An incarnation that drains never returns to serving.
        if (same_incarnation && existing.state == instance_state::draining) {
            next.state = instance_state::draining;
        }
        const bool unchanged = same_incarnation && has_same_content(existing, next);
        existing = next;
        if (unchanged) {
            return merge_result::renewed;
        }
    }
    else {
        instance_record announced = announcement;
        announced.last_seen_at = now;
        if (is_displaced(known, announced)) {
            announced.state = instance_state::gone;
        }
        evict_if_full(known);
        known.instances.emplace(announcement.id, announced);
    }
    displace_older_instances(known, announcement, now);
    ++known.version;
    return merge_result::changed;
}

bool mark_gone(directory& known, const instance_id& id, std::uint64_t started_ms, time_point now)
{
    if (!describe_fault(id).empty()) {
        return false;
    }
    const auto found = known.instances.find(id);
    if (found == known.instances.end()) {
        instance_record gone_instance;
        gone_instance.id = id;
        gone_instance.state = instance_state::gone;
        gone_instance.started_ms = started_ms;
        gone_instance.last_seen_at = now;
        evict_if_full(known);
        known.instances.emplace(id, gone_instance);
        ++known.version;
        return true;
    }
    instance_record& existing = found->second;
    const bool older_incarnation = started_ms != 0 && started_ms < existing.started_ms;
    if (older_incarnation || existing.state == instance_state::gone) {
        return false;
    }
    existing.state = instance_state::gone;
    existing.started_ms = std::max(existing.started_ms, started_ms);
    existing.last_seen_at = now;
    ++known.version;
    return true;
}

void remove_expired(directory& known, time_point now)
{
    std::erase_if(known.instances,
                  [now](const auto& entry) { return now - entry.second.last_seen_at > gone_retention; });
}

bool record_crash(crash_table& table, const crash_report& report)
{
    crash_table::crash_suspect& suspect = table.suspects[report.request_hash];
    if (suspect.size() >= max_reports_per_suspect) {
        return false;
    }
    return suspect.try_emplace({report.instance, report.started_ms}, report).second;
}

bool clear_suspect(crash_table& table, std::uint64_t request_hash)
{
    return table.suspects.erase(request_hash) > 0;
}

std::size_t count_crashes(const crash_table& table, std::uint64_t request_hash)
{
    const auto found = table.suspects.find(request_hash);
    if (found == table.suspects.end()) {
        return 0;
    }
    std::vector<const crash_report*> reports;
    for (const auto& [incarnation, report] : found->second) {
        reports.push_back(&report);
    }
    std::sort(reports.begin(), reports.end(), [](const crash_report* left, const crash_report* right) {
        return left->crashed_at < right->crashed_at;
    });
    std::size_t count = 0;
    time_point counted_crash_at = time_point::min();
    for (const crash_report* report : reports) {
        const bool follows =
            count == 0 || report->attempt_started_at + crash_order_tolerance >= counted_crash_at;
        if (follows) {
            ++count;
            counted_crash_at = report->crashed_at;
        }
    }
    return count;
}

namespace {

time_point last_crash_at(const crash_table::crash_suspect& suspect)
{
    time_point last = time_point::min();
    for (const auto& [incarnation, report] : suspect) {
        last = std::max(last, report.crashed_at);
    }
    return last;
}

} // namespace

bool is_quarantined(const crash_table& table, std::uint64_t request_hash, time_point now)
{
    const auto found = table.suspects.find(request_hash);
    return found != table.suspects.end() && found->second.size() >= crash_limit &&
           now - last_crash_at(found->second) < crash_retention &&
           count_crashes(table, request_hash) >= crash_limit;
}

void remove_expired(crash_table& table, time_point now)
{
    std::erase_if(table.suspects,
                  [now](const auto& entry) { return now - last_crash_at(entry.second) > crash_retention; });
}

} // namespace guavawick::directory
