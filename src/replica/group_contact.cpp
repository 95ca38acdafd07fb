// What a replica knows of its group, and the log of a group without a leader.
#include "replica/group.hpp"

#include "base/event_type.hpp"
#include "base/hash_func.hpp"

#include <algorithm>

namespace guavawick::replica {
namespace {

constexpr duration leaderless_log_delay = 1s;    ///< an election usually ends earlier
constexpr duration leaderless_log_interval = 5s; ///< between two lines of one period without a leader
/// A voter whose messages don't arrive for longer is unreachable. Without a leader voters ask each other for
/// votes at least every 1.2 s.
constexpr duration contact_timeout = 2500ms;

} // namespace

const char* name_of(consensus::role_type role)
{
    switch (role) {
    case consensus::role_type::leader:
        return "leader";
    case consensus::role_type::candidate:
        return "candidate";
    case consensus::role_type::pre_candidate:
        return "pre-candidate";
    case consensus::role_type::follower:
        break;
    }
    return "follower";
}

group_contact group::contact() const
{
    group_contact result;
    result.role = state_.role;
    result.term = state_.term;
    result.last = consensus::last_index(state_);
    result.is_member = is_member();
    result.voted_for = state_.voted_for;
    for (const consensus::member& member : consensus::current_members(state_).members) {
        if (!member.voter) {
            continue;
        }
        ++result.voters;
        const auto heard = heard_at_.find(member.id);
        const bool is_heard =
            heard != heard_at_.end() && runtime_clock::now() - heard->second < contact_timeout;
        if (member.id == state_.self || is_heard) {
            ++result.reachable_voters;
            continue;
        }
        result.unreachable += (result.unreachable.empty() ? "" : ",") + member.endpoint;
    }
    for (const auto& [id, granted] : state_.votes) {
        ++(granted ? result.granted_votes : result.refused_votes);
    }
    return result;
}

bool group::knows_leader(time_point now) const
{
    // A learner starts no elections, so it keeps the name of a leader that has ended.
    const bool is_led_by_other =
        state_.leader && now - state_.last_leader_contact < 2 * state_.settings.election_timeout;
    return state_.role == consensus::role_type::leader || is_led_by_other;
}

void group::check_leader(time_point now)
{
    const bool is_awaited = is_member() || expects_membership_;
    const bool is_known = knows_leader(now);
    if (is_known || !is_awaited) {
        if (is_known && leaderless_logged_at_ != time_point{}) {
            log_event(event::group_has_leader, {{"group", std::uint64_t{number_}},
                                                {"leader", leader_endpoint()},
                                                {"term", state_.term},
                                                {"ms", std::uint64_t(to_ms(now - leaderless_since_))}});
        }
        leaderless_since_ = {};
        leaderless_logged_at_ = {};
        return;
    }
    if (leaderless_since_ == time_point{}) {
        leaderless_since_ = now;
    }
    const time_point due_at = leaderless_logged_at_ == time_point{}
                                  ? leaderless_since_ + leaderless_log_delay
                                  : leaderless_logged_at_ + leaderless_log_interval;
    if (now < due_at) {
        return;
    }
    leaderless_logged_at_ = now;
    const group_contact known = contact();
    log_event(event::group_without_leader,
              {{"group", std::uint64_t{number_}},
               {"ms", std::uint64_t(to_ms(now - leaderless_since_))},
               {"member", known.is_member ? "yes" : "no"},
               {"role", name_of(known.role)},
               {"term", known.term},
               {"voted_for", known.voted_for ? to_hex(known.voted_for.value) : ""},
               {"last_index", known.last},
               {"commit", state_.commit},
               {"voters", std::uint64_t{known.voters}},
               {"reachable", std::uint64_t{known.reachable_voters}},
               {"unreachable", known.unreachable},
               {"votes_granted", std::uint64_t{known.granted_votes}},
               {"votes_refused", std::uint64_t{known.refused_votes}},
               {"join_rounds", std::uint64_t{join_schedule_.rounds}}});
}

} // namespace guavawick::replica
