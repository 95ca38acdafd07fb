// Results of committed commands that are held back until the regular members of a group know them.
#include "replica/group.hpp"

#include "base/event_type.hpp"
#include "wire.pb.h"

namespace guavawick::replica {
namespace {

constexpr duration overdue_delay = 500ms; ///< several heartbeats
constexpr duration overdue_log_interval = 2s;

} // namespace

void group::return_confirmed_results(time_point now)
{
    if (!awaits_confirmation_ || state_.role != consensus::role_type::leader) {
        regular_members_.clear();
        return;
    }
    consensus::update_regular_members(regular_members_, state_, now);
    const consensus::log_index confirmed = consensus::confirmed_index(regular_members_, state_, now);
    while (!unconfirmed_results_.empty() && unconfirmed_results_.begin()->first <= confirmed) {
        const unconfirmed_result held = std::move(unconfirmed_results_.begin()->second);
        unconfirmed_results_.erase(unconfirmed_results_.begin());
        held.done(held.result.get());
    }
    counters_.unconfirmed.store(unconfirmed_results_.size());
    if (unconfirmed_results_.empty()) {
        return;
    }
    if (unconfirmed_results_.rbegin()->first > announced_commit_) {
        announced_commit_ = unconfirmed_results_.rbegin()->first;
        state_.heartbeat_due = now; // tells the members the commit index at once
    }
    log_overdue_confirmation(now);
}

void group::log_overdue_confirmation(time_point now)
{
    const auto& [index, oldest] = *unconfirmed_results_.begin();
    if (now - oldest.applied_at < overdue_delay || now - confirmation_logged_at_ < overdue_log_interval) {
        return;
    }
    confirmation_logged_at_ = now;
    std::string names;
    for (const std::string& name : consensus::list_unconfirming(regular_members_, state_, index, now)) {
        names += (names.empty() ? "" : ",") + name;
    }
    log_event(event::confirmation_overdue, {{"group", std::uint64_t{number_}},
                                            {"index", index},
                                            {"commands", std::uint64_t{unconfirmed_results_.size()}},
                                            {"ms", std::uint64_t(to_ms(now - oldest.applied_at))},
                                            {"awaited", names}});
}

} // namespace guavawick::replica
