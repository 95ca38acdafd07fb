// Changes of a group's members: checked first, then proposed. One change at a time.
#include "base/failure_type.hpp"
#include "consensus/consensus_func.hpp"
#include "wire.pb.h"

#include <algorithm>

namespace guavawick::consensus {
namespace {

/// A change may be proposed once the leader's own term has a committed entry and no change is under way.
change_result check_change(const group_state& state)
{
    if (state.role != role_type::leader || state.transfer_to) {
        return change_result::not_leader;
    }
    const bool term_committed = term_at(state, state.commit) == state.term;
    const bool pending = state.memberships.back().index > state.commit;
    return term_committed && !pending ? change_result::proposed : change_result::change_pending;
}

/// A learner may be counted once its synced log has reached the commit index, today's and that of its
/// joining.
bool has_caught_up(const group_state& state, const member& learner)
{
    const auto peer = state.peers.find(learner.id);
    const log_index synced = peer == state.peers.end() ? 0 : peer->second.match;
    return synced >= state.commit && synced >= learner.learner_target;
}

change_result propose_members(group_state& state, const membership& next, effects& out)
{
    propose(state, entry_kind::membership, encode_membership(next), out);
    return change_result::proposed;
}

} // namespace

change_result add_learner(group_state& state, const member& joining, time_point now, effects& out)
{
    const change_result allowed = check_change(state);
    if (allowed != change_result::proposed) {
        return allowed;
    }
    membership next = current_members(state);
    if (find_member(next, joining.id) != nullptr) {
        return change_result::already_done;
    }
    for (const member& other : next.members) {
        const bool alive = other.id == state.self || in_touch(state, other.id, now);
        if (other.name == joining.name && alive) {
            return change_result::name_in_use;
        }
    }
    // A learner of that name that went away again makes room for the new one.
    std::erase_if(next.members, [&](const member& m) { return m.name == joining.name && !m.voter; });
    member learner = joining;
    learner.voter = false;
    learner.learner_target = state.commit;
    next.members.push_back(learner);
    return propose_members(state, next, out);
}

change_result promote_learner(group_state& state, member_id id, effects& out)
{
    const change_result allowed = check_change(state);
    if (allowed != change_result::proposed) {
        return allowed;
    }
    membership next = current_members(state);
    const auto found =
        std::find_if(next.members.begin(), next.members.end(), [id](const member& m) { return m.id == id; });
    if (found == next.members.end()) {
        return change_result::unknown_member;
    }
    if (found->voter) {
        return change_result::already_done;
    }
    if (!has_caught_up(state, *found)) {
        return change_result::not_caught_up;
    }
    found->voter = true;
    return propose_members(state, next, out);
}

change_result remove_member(group_state& state, member_id id, effects& out)
{
    const change_result allowed = check_change(state);
    if (allowed != change_result::proposed) {
        return allowed;
    }
    membership next = current_members(state);
    if (id == state.self) {
        return change_result::not_leader;
    }
    if (std::erase_if(next.members, [id](const member& m) { return m.id == id; }) == 0) {
        return change_result::already_done;
    }
    state.peers.erase(id);
    return propose_members(state, next, out);
}

bool continue_repair(group_state& state, time_point now, effects& out)
{
    if (check_change(state) != change_result::proposed) {
        return false;
    }
    const membership members = current_members(state);
    for (const member& learner : members.members) {
        if (learner.voter || !in_touch(state, learner.id, now) || !has_caught_up(state, learner)) {
            continue;
        }
        // The lost voter goes first: with both counted, one more loss could leave less than a quorum.
        for (const member& lost : members.members) {
            const bool gone = lost.id != state.self && !in_touch(state, lost.id, now);
            if (lost.voter && lost.name == learner.name && gone) {
                return remove_member(state, lost.id, out) == change_result::proposed;
            }
        }
        return promote_learner(state, learner.id, out) == change_result::proposed;
    }
    return false;
}

std::vector<member_view> view_members(const group_state& state, time_point now)
{
    std::vector<member_view> views;
    for (const member& one : current_members(state).members) {
        const auto peer = state.peers.find(one.id);
        const time_point heard = peer == state.peers.end()
                                     ? state.quorum_checked_at
                                     : std::max(peer->second.acked_sent_at, state.quorum_checked_at);
        const bool own = one.id == state.self;
        views.push_back({one, own, own || has_caught_up(state, one), own ? duration{} : now - heard});
    }
    return views;
}

planned_change follow_plan(group_state& state, const membership_policy& policy, time_point now, effects& out)
{
    if (check_change(state) != change_result::proposed) {
        return {};
    }
    const std::vector<member_view> views = view_members(state, now);
    const planned_change next = plan_change(views, policy);
    switch (next.kind) {
    case planned_kind::promote:
        promote_learner(state, next.id, out);
        break;
    case planned_kind::remove:
        remove_member(state, next.id, out);
        break;
    case planned_kind::hand_over:
        transfer_leadership(state, now, out);
        break;
    case planned_kind::nothing:
        break;
    }
    return next;
}

bool needs_contact(const group_state& state, time_point now)
{
    const bool member = find_member(current_members(state), state.self) != nullptr;
    return state.role != role_type::leader &&
           (!member || now - state.leader_seen_at > 2 * state.settings.election_timeout);
}

bool needs_join(const group_state& state, time_point now)
{
    const member* own = find_member(current_members(state), state.self);
    if (own == nullptr) {
        return true;
    }
    // The entry that made it a learner may have been replaced by another leader's.
    return !own->voter && now - state.leader_seen_at > 2 * state.settings.election_timeout;
}

std::string encode_membership(const membership& members)
{
    wire::membership encoded;
    for (const member& one : members.members) {
        wire::member* into = encoded.add_members();
        into->set_id(one.id.value);
        into->set_name(one.name);
        into->set_endpoint(one.endpoint);
        into->set_voter(one.voter);
        into->set_learner_target(one.learner_target);
        into->set_data_centre(one.data_centre);
    }
    return encoded.SerializeAsString();
}

membership decode_membership(const std::string& bytes)
{
    wire::membership encoded;
    if (!encoded.ParseFromString(bytes)) {
        throw decode_error("a membership record does not decode");
    }
    membership members;
    for (const wire::member& one : encoded.members()) {
        members.members.push_back({member_id{one.id()}, one.name(), one.endpoint(), one.voter(),
                                   one.learner_target(), one.data_centre()});
    }
    return members;
}

} // namespace guavawick::consensus
