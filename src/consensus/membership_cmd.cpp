// Membership changes of a group. Each is checked and then proposed; only one may be uncommitted at a time.
#include "base/failure_type.hpp"
#include "consensus/consensus_func.hpp"
#include "wire.pb.h"

#include <algorithm>

namespace guavawick::consensus {
namespace {

/// @return change_result::proposed if a change may be proposed: this leader has committed an entry of its own
/// term and no earlier change is uncommitted. Otherwise the reason why not.
change_result check_change(const group_state& state)
{
    if (state.role != role_type::leader || state.transfer_target) {
        return change_result::not_leader;
    }
    const bool term_committed = term_at(state, state.commit) == state.term;
    const bool change_in_progress = state.memberships.back().index > state.commit;
    return term_committed && !change_in_progress ? change_result::proposed : change_result::change_pending;
}

/// @return whether a member's synced log has reached the commit index of its joining and that of up to one
/// election timeout ago. While commands are committed, a learner that is slower than the fastest quorum never
/// reaches the current one.
bool has_caught_up(const group_state& state, const member& learner)
{
    const auto peer = state.peers.find(learner.id);
    const log_index synced = peer == state.peers.end() ? 0 : peer->second.match;
    return synced >= state.settled_commit && synced >= learner.learner_target;
}

change_result propose_members(group_state& state, const membership& changed, effects& pending)
{
    propose(state, entry_kind::membership, encode_membership(changed), pending);
    return change_result::proposed;
}

/// @return whether a member that joined later has the name of this one. Later members are listed last.
bool is_succeeded(const membership& members, const member& checked)
{
    bool is_later = false;
    for (const member& other : members.members) {
        if (is_later && other.name == checked.name) {
            return true;
        }
        is_later = is_later || other.id == checked.id;
    }
    return false;
}

/// @return whether a voter that joined later has the name of this one.
bool is_succeeded_by_voter(const membership& members, const member& checked)
{
    const auto position = std::find_if(members.members.begin(), members.members.end(),
                                       [&checked](const member& other) { return other.id == checked.id; });
    return std::any_of(position, members.members.end(), [&checked](const member& other) {
        return other.voter && other.name == checked.name && other.id != checked.id;
    });
}

} // namespace

change_result add_learner(group_state& state, const member& joining, time_point now, effects& pending)
{
    const change_result precheck = check_change(state);
    if (precheck != change_result::proposed) {
        return precheck;
    }
    membership changed = current_members(state);
    if (find_member(changed, joining.id) != nullptr) {
        return change_result::already_done;
    }
    for (const member& other : changed.members) {
        const bool is_active = other.id == state.self || is_recently_active(state, other.id, now);
        if (other.name == joining.name && is_active) {
            return change_result::name_in_use;
        }
    }
    // Replace an inactive learner of the same name.
    std::erase_if(changed.members, [&](const member& m) { return m.name == joining.name && !m.voter; });
    member learner = joining;
    learner.voter = false;
    learner.learner_target = state.commit;
    changed.members.push_back(learner);
    return propose_members(state, changed, pending);
}

change_result promote_learner(group_state& state, member_id id, effects& pending)
{
    const change_result precheck = check_change(state);
    if (precheck != change_result::proposed) {
        return precheck;
    }
    membership changed = current_members(state);
    const auto found = std::find_if(changed.members.begin(), changed.members.end(),
                                    [id](const member& m) { return m.id == id; });
    if (found == changed.members.end()) {
        return change_result::unknown_member;
    }
    if (found->voter) {
        return change_result::already_done;
    }
    if (!has_caught_up(state, *found)) {
        return change_result::not_caught_up;
    }
    found->voter = true;
    return propose_members(state, changed, pending);
}

change_result remove_member(group_state& state, member_id id, effects& pending)
{
    const change_result precheck = check_change(state);
    if (precheck != change_result::proposed) {
        return precheck;
    }
    membership changed = current_members(state);
    if (id == state.self) {
        return change_result::not_leader;
    }
    if (std::erase_if(changed.members, [id](const member& m) { return m.id == id; }) == 0) {
        return change_result::already_done;
    }
    state.peers.erase(id);
    return propose_members(state, changed, pending);
}

bool continue_repair(group_state& state, time_point now, effects& pending)
{
    if (check_change(state) != change_result::proposed) {
        return false;
    }
    const membership members = current_members(state);
    const auto is_inactive = [&state, now](const member& other) {
        return other.id != state.self && !is_recently_active(state, other.id, now);
    };
    // A late reply of a lost voter may have made it count as active while its successor was promoted.
    for (const member& lost : members.members) {
        if (lost.voter && is_inactive(lost) && is_succeeded_by_voter(members, lost)) {
            return remove_member(state, lost.id, pending) == change_result::proposed;
        }
    }
    for (const member& learner : members.members) {
        if (learner.voter || !is_recently_active(state, learner.id, now) || !has_caught_up(state, learner)) {
            continue;
        }
        // Remove the lost voter first: with both as voters, one more loss could break the quorum.
        for (const member& lost : members.members) {
            if (lost.voter && lost.name == learner.name && is_inactive(lost)) {
                return remove_member(state, lost.id, pending) == change_result::proposed;
            }
        }
        return promote_learner(state, learner.id, pending) == change_result::proposed;
    }
    return false;
}

std::vector<member_status> collect_member_status(const group_state& state, time_point now)
{
    std::vector<member_status> statuses;
    const membership& members = current_members(state);
    for (const member& other : members.members) {
        const auto peer = state.peers.find(other.id);
        const time_point last_contact =
            peer == state.peers.end() ? now
                                      : std::max(peer->second.acked_sent_at, peer->second.tracked_since);
        const bool is_self = other.id == state.self;
        statuses.push_back(
            {other, is_self, is_self || has_caught_up(state, other),
             is_self ? duration{} : now - last_contact,
             !is_self && !is_recently_active(state, other.id, now) && is_succeeded(members, other)});
    }
    return statuses;
}

planned_change apply_membership_plan(group_state& state, const membership_policy& policy, time_point now,
                                     effects& pending)
{
    if (check_change(state) != change_result::proposed) {
        return {};
    }
    const std::vector<member_status> statuses = collect_member_status(state, now);
    const planned_change next = plan_membership_change(statuses, policy);
    switch (next.kind) {
    case planned_kind::promote:
        promote_learner(state, next.id, pending);
        break;
    case planned_kind::remove:
        remove_member(state, next.id, pending);
        break;
    case planned_kind::hand_over:
        transfer_leadership(state, now, pending);
        break;
    case planned_kind::nothing:
        break;
    }
    return next;
}

bool needs_managed_join(const group_state& state, time_point now)
{
    const bool is_member = find_member(current_members(state), state.self) != nullptr;
    return state.role != role_type::leader &&
           (!is_member || now - state.last_leader_contact > 2 * state.settings.election_timeout);
}

bool needs_join(const group_state& state, time_point now)
{
    const member* self = find_member(current_members(state), state.self);
    if (self == nullptr) {
        return true;
    }
    // The entry that added this learner may have been replaced by another leader's entry.
    return !self->voter && now - state.last_leader_contact > 2 * state.settings.election_timeout;
}

std::string encode_membership(const membership& members)
{
    wire::membership encoded;
    for (const member& source : members.members) {
        wire::member* encoded_member = encoded.add_members();
        encoded_member->set_id(source.id.value);
        encoded_member->set_name(source.name);
        encoded_member->set_endpoint(source.endpoint);
        encoded_member->set_voter(source.voter);
        encoded_member->set_learner_target(source.learner_target);
        encoded_member->set_data_centre(source.data_centre);
        encoded_member->set_auxiliary(source.auxiliary);
    }
    return encoded.SerializeAsString();
}

membership decode_membership(const std::string& bytes)
{
    wire::membership encoded;
    if (!encoded.ParseFromString(bytes)) {
        throw decode_error("cannot decode a membership record");
    }
    membership members;
    for (const wire::member& source : encoded.members()) {
        members.members.push_back({member_id{source.id()}, source.name(), source.endpoint(), source.voter(),
                                   source.learner_target(), source.data_centre(), source.auxiliary()});
    }
    return members;
}

} // namespace guavawick::consensus
