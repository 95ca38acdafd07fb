// State machine of rollouts.
#include "rollout/rollout_func.hpp"

#include <algorithm>

namespace guavawick::rollout {
namespace {

bool may_follow(stage current, stage next)
{
    switch (current) {
    case stage::probing:
        return next == stage::switching || next == stage::rolling_back;
    case stage::switching:
        return next == stage::completed || next == stage::rolling_back;
    case stage::rolling_back:
        return next == stage::rolled_back;
    case stage::completed:
    case stage::rolled_back:
        return false;
    }
    return false;
}

record* find(record_table& table, const std::string& service, std::uint64_t number)
{
    const auto found = table.find(service);
    return found == table.end() || found->second.number != number ? nullptr : &found->second;
}

} // namespace

start_result start(record_table& table, const std::string& service, const std::string& target,
                   duration length, std::uint64_t revision)
{
    record next;
    const auto found = table.find(service);
    if (found != table.end()) {
        if (found->second.target == target) {
            return start_result::repeated;
        }
        if (is_running(found->second)) {
            return start_result::conflict;
        }
        const record& previous = found->second;
        next.baseline = previous.current == stage::completed ? previous.target : previous.baseline;
        next.rejected = previous.rejected;
        if (previous.current == stage::rolled_back) {
            next.rejected.insert(previous.target);
        }
        next.rejected.erase(target);
    }
    // The calls go to this version already. As its own baseline, it would leave no old version for them.
    if (!next.baseline.empty() && target == next.baseline) {
        next.current = stage::completed;
    }
    next.service = service;
    next.target = target;
    next.length = length;
    next.number = revision;
    next.changed_at = revision;
    table[service] = std::move(next);
    return start_result::started;
}

bool change_stage(record_table& table, const std::string& service, std::uint64_t number, stage next,
                  std::uint64_t revision)
{
    record* changed = find(table, service, number);
    if (changed == nullptr || !may_follow(changed->current, next)) {
        return false;
    }
    changed->current = next;
    changed->changed_at = revision;
    return true;
}

void record_age(record_table& table, const std::string& service, std::uint64_t number, duration age)
{
    if (record* aged = find(table, service, number)) {
        aged->age = std::max(aged->age, age);
    }
}

bool is_running(const record& rollout)
{
    return rollout.current != stage::completed && rollout.current != stage::rolled_back;
}

bool accepts_version(const record& rollout, bool to_target, const std::string& version)
{
    if (to_target) {
        return version == rollout.target;
    }
    return version != rollout.target && !rollout.rejected.contains(version) &&
           (rollout.baseline.empty() || version == rollout.baseline);
}

const char* phase_name(stage current)
{
    switch (current) {
    case stage::completed:
        return "completed";
    case stage::rolled_back:
        return "rolled_back";
    default:
        return "running";
    }
}

const char* to_string(stage current)
{
    switch (current) {
    case stage::probing:
        return "probing";
    case stage::switching:
        return "switching";
    case stage::completed:
        return "completed";
    case stage::rolling_back:
        return "rolling_back";
    case stage::rolled_back:
        return "rolled_back";
    }
    return "unknown";
}

} // namespace guavawick::rollout
