// Functions of the consensus algorithm. None of them performs I/O. Thread safety: at most one thread at a
// time may use a given group_state.
#pragma once

#include "consensus/consensus_type.hpp"
#include "consensus/membership_plan.hpp"

namespace guavawick::consensus {

/// Group data that the driver has read from disk.
struct persisted_state {
    term_number term = 0;
    member_id voted_for;
    std::shared_ptr<const snapshot> newest_snapshot;
    std::vector<log_entry> entries; ///< contiguous; may overlap the snapshot
};

/// Restores a member's state from its persisted data.
/// @param initial_members members of a new group; ignored if the snapshot or the log contains a membership.
/// @param seed seed of the random election timeouts.
group_state restore_state(member_id self, const options& settings, persisted_state disk,
                          const membership& initial_members, time_point now, std::uint64_t seed);

/// @return whether the driver must execute the effects.
bool has_work(const effects& pending);
/// Processes one message. @param pending receives the effects that the driver must carry out.
void step(group_state& state, const message& incoming, time_point now, effects& pending);
/// Runs the work that is due at `now`: elections, heartbeats and check-quorum.
void tick(group_state& state, time_point now, effects& pending);
/// @return when tick() next has work to do unless a message arrives before; time_point::max() if never.
time_point next_tick_at(const group_state& state);
/// Appends an entry to the log. @return its index, or 0 if this member is not the leader or is transferring
/// leadership.
log_index propose(group_state& state, entry_kind kind, std::string payload, effects& pending);
/// Sends the followers the entries that they are missing. Call it once after each batch of proposals.
void replicate(group_state& state, time_point now, effects& pending);
/// Records that all entries up to `index` are synced to this member's disk.
void record_synced(group_state& state, log_index index, effects& pending);
/// @return whether this member holds the leader lease, so that a read of its applied state includes every
/// entry acknowledged before.
bool has_read_lease(const group_state& state, time_point now);
/// Starts to transfer leadership to the active voter with the longest replicated log. @return false if there
/// is none or this member is not the leader.
bool transfer_leadership(group_state& state, time_point now, effects& pending);
/// Installs a snapshot of this member's own applied state and drops old log entries.
/// @pre the snapshot's index is not above the applied index.
void compact(group_state& state, std::shared_ptr<const snapshot> created);

/// @return whether this member can only reach the snapshot's index by installing it.
bool needs_snapshot(const group_state& state, const snapshot& offered);

/// @return the newest membership in the log, which applies before it is committed.
const membership& current_members(const group_state& state);
/// @return the member with the given id, or nullptr.
const member* find_member(const membership& members, member_id id);
/// @return the index of the last log entry.
log_index last_index(const group_state& state);
/// @return the term of the entry at `index`, or 0 if the log does not contain it.
term_number term_at(const group_state& state, log_index index);

/// Result of a request to change the membership.
enum class change_result : std::uint8_t {
    proposed,
    already_done,
    not_leader,
    change_pending,
    name_in_use,
    not_caught_up,
    unknown_member
};

/// Adds a learner. Refused while another member of the same name is active.
change_result add_learner(group_state& state, const member& joining, time_point now, effects& pending);
/// Promotes a learner to voter. Refused until its synced log has reached the commit index.
change_result promote_learner(group_state& state, member_id id, effects& pending);
/// Removes a member. A leader refuses to remove itself with change_result::not_leader.
change_result remove_member(group_state& state, member_id id, effects& pending);
/// Proposes the next step of replacing a lost voter: removes the inactive voter that has the same name as a
/// caught-up learner, then promotes that learner.
/// @return whether a change was proposed.
bool continue_repair(group_state& state, time_point now, effects& pending);
/// @return the leader's view of all members, as input of plan_membership_change().
std::vector<member_status> collect_member_status(const group_state& state, time_point now);
/// Plans and starts the next membership change of a group with a managed membership.
/// @return the planned change.
planned_change apply_membership_plan(group_state& state, const membership_policy& policy, time_point now,
                                     effects& pending);
/// @return whether this replica of a group with a managed membership should ask to join: it is not a member,
/// or it has had no contact with a leader for two election timeouts and may have been removed in the
/// meantime.
bool needs_managed_join(const group_state& state, time_point now);
/// @return whether this replica of a group with listed members should ask to join: it is not a member, or it
/// is a learner without leader contact for two election timeouts, whose addition may have been replaced by
/// another leader's entry.
bool needs_join(const group_state& state, time_point now);
/// @return whether the member has acknowledged a message that this leader sent within the last election
/// timeout.
bool is_recently_active(const group_state& state, member_id id, time_point now);

/// Encodes a membership as the payload of a log entry.
std::string encode_membership(const membership& members);
/// Decodes the payload of a membership entry. @throw decode_error if it is malformed.
membership decode_membership(const std::string& bytes);

} // namespace guavawick::consensus
