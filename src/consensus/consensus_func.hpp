// Functions of the consensus algorithm. None of them does I/O; each is called by one thread at a time for one
// state.
#pragma once

#include "consensus/consensus_type.hpp"
#include "consensus/membership_plan.hpp"

namespace guavawick::consensus {

/// What a driver read from its disk.
struct persisted_state {
    term_number term = 0;
    member_id voted_for;
    std::shared_ptr<const snapshot> newest_snapshot;
    std::vector<log_entry> entries; ///< entries after the snapshot or overlapping it, without gaps
};

/// Makes the state of a member from what its disk holds.
/// @param first_members members of a new group; ignored where the disk or the log names members.
/// @param seed seeds the delays of elections.
group_state make_state(member_id self, const options& settings, const persisted_state& disk,
                       const membership& first_members, time_point now, std::uint64_t seed);

/// Handles one message. @param out receives what the driver has to do.
void step(group_state& state, const message& received, time_point now, effects& out);
/// Handles the passing of time: elections, heartbeats, check-quorum.
void tick(group_state& state, time_point now, effects& out);
/// Appends an entry. @return its index, or 0 where this member does not lead or hands over.
log_index propose(group_state& state, entry_kind kind, std::string payload, effects& out);
/// Sends what followers lack. @pre called once after a batch of proposals.
void flush(group_state& state, time_point now, effects& out);
/// Tells that all entries up to `index` are on this member's disk.
void note_synced(group_state& state, log_index index, effects& out);
/// Tells whether state read now includes everything that was acknowledged before.
bool may_read(const group_state& state, time_point now);
/// Starts to hand leadership to the voter that is furthest. @return whether there is one.
bool transfer_leadership(group_state& state, time_point now, effects& out);
/// Takes over a snapshot of this member's own applied state and drops old entries.
void compact(group_state& state, std::shared_ptr<const snapshot> taken);

/// @return the members that are in force.
const membership& current_members(const group_state& state);
/// @return the member with an id, or nullptr.
const member* find_member(const membership& members, member_id id);
/// @return the index of the last entry.
log_index last_index(const group_state& state);
/// @return the term of an entry; 0 if it is not known.
term_number term_at(const group_state& state, log_index index);

/// Outcome of a request to change the members.
enum class change_result : std::uint8_t {
    proposed,
    already_done,
    not_leader,
    change_pending,
    name_in_use,
    not_caught_up,
    unknown_member
};

/// Adds a learner. Refused while another member of that name is in touch.
change_result add_learner(group_state& state, const member& joining, time_point now, effects& out);
/// Makes a learner a voter once its synced log has reached the commit index.
change_result promote_learner(group_state& state, member_id id, effects& out);
/// Removes a member.
change_result remove_member(group_state& state, member_id id, effects& out);
/// Proposes the next change that a repair needs: removes the lost voter whose name a caught-up learner took
/// over, then promotes the learner.
/// @return whether something was proposed.
bool continue_repair(group_state& state, time_point now, effects& out);
/// @return what a leader knows of the members, for plans.
std::vector<member_view> view_members(const group_state& state, time_point now);
/// Proposes the next change of a group whose candidates come and go.
/// @return what was planned.
planned_change follow_plan(group_state& state, const membership_policy& policy, time_point now, effects& out);
/// Tells whether a member of a group whose candidates come and go should ask to be taken in: the group does
/// not know it, or it hears of no leader and may have been removed meanwhile.
bool needs_contact(const group_state& state, time_point now);
/// Tells whether this member should ask to be taken in: the group does not know it, or forgot that it is a
/// learner.
bool needs_join(const group_state& state, time_point now);
/// @return whether the leader heard from a member within the election timeout.
bool in_touch(const group_state& state, member_id id, time_point now);

/// Encodes a membership as the payload of a log entry.
std::string encode_membership(const membership& members);
/// @throw decode_error if the bytes are no membership.
membership decode_membership(const std::string& bytes);

} // namespace guavawick::consensus
