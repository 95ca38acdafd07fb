// A replica's member of one consensus group: a thread that steps the consensus algorithm, syncs the log,
// sends messages and applies committed commands.
#pragma once

#include "base/content_type.hpp"
#include "consensus/confirmation.hpp"
#include "consensus/consensus_func.hpp"
#include "replica/log_store.hpp"
#include "wire/link_type.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace guavawick::wire {
class snapshot_query;
class snapshot_part;
} // namespace guavawick::wire

namespace guavawick::replica {

/// Callbacks of a state machine whose snapshots name contents on this member's disk. A member that installs a
/// snapshot of another one copies the contents that it lacks. All of them are called on the group's thread.
struct content_callbacks {
    /// Appends the bytes of contents on this member's disk. @throw storage_error if they are gone.
    std::function<void(const std::vector<content_range>&, std::string& into)> read;
    /// Starts to import a state that another member encoded. @throw decode_error.
    std::function<void(const std::string& state)> begin_import;
    /// @return places at the other member of the next contents to copy; empty once none is missing.
    std::function<std::vector<content_range>()> next_missing;
    /// Stores the contents that next_missing() named. @throw decode_error if the bytes don't match them.
    std::function<void(const std::string& bytes)> add;
    /// @return the imported state, encoded for this member. @pre no content is missing.
    std::function<std::string()> finish_import;
    /// Removes contents that the newest snapshot, which is now durable, does not name.
    std::function<void()> remove_unused;
};

/// Callbacks of a group's state machine. All of them are called on the group's thread.
struct state_machine {
    std::function<wire::envelope(const std::string& command)>
        apply;                                       ///< executes a committed command and returns its result
    std::function<std::string()> save;               ///< encodes the state for a snapshot
    std::function<void(const std::string&)> restore; ///< replaces the state by a snapshot's
    std::function<void(bool leads)> leadership_changed;
    std::function<void(time_point)> tick;      ///< called about every machine_tick_interval
    std::optional<content_callbacks> contents; ///< if snapshots name contents on disk
};

/// Receives a command's result, or nullptr if this replica could not propose the command or lost leadership
/// before the commit. The command may still be committed in the latter case.
using proposal_callback = std::function<void(const wire::envelope*)>;

/// Status of a member as seen by the leader.
struct member_report {
    consensus::member info;
    bool recently_active = false; ///< it replied to the leader within the election timeout, or is the leader
    consensus::log_index match = 0; ///< last entry known to be synced by the member
};

/// Status of a group as seen by this replica.
struct group_report {
    consensus::role_type role = consensus::role_type::follower;
    consensus::term_number term = 0;
    consensus::log_index commit = 0;
    consensus::log_index applied = 0;
    consensus::log_index last = 0; ///< last entry of the log, committed or not
    std::string leader;            ///< name of the leader, empty if unknown
    std::vector<member_report> members;
    bool members_committed = false; ///< as far as this replica knows, a quorum has confirmed `members`
};

/// What a replica knows of its group, whether it has a leader or not.
struct group_contact {
    consensus::role_type role = consensus::role_type::follower;
    consensus::term_number term = 0;
    consensus::log_index last = 0;
    bool is_member = false;
    std::size_t voters = 0;           ///< of the newest membership in the log
    std::size_t reachable_voters = 0; ///< this replica and those whose messages of the group arrived lately
    std::string unreachable;          ///< link endpoints of the other voters, separated by commas
    consensus::member_id voted_for;   ///< in this term
    std::size_t granted_votes = 0;    ///< of a candidate
    std::size_t refused_votes = 0;    ///< of a candidate
};

/// @return the role's name in logs and in redirects.
const char* name_of(consensus::role_type role);

/// Values of a group's metrics. Written by the group's thread, read by any thread.
struct group_counters {
    std::atomic<bool> leads{false};
    std::atomic<std::uint64_t> applied{0}; ///< index of the last applied entry
    std::atomic<std::uint64_t> voters{0};  ///< of the newest membership in the log
    std::atomic<std::uint64_t> term{0};
    std::atomic<bool> knows_leader{false};
    std::atomic<std::uint64_t> proposals{0};
    std::atomic<std::uint64_t> syncs{0};
    std::atomic<std::uint64_t> log_bytes{0};
    std::atomic<std::uint64_t> unconfirmed{0}; ///< committed commands whose results are held back
};

/// A snapshot that this member copies part by part from the leader.
struct snapshot_import {
    consensus::message offer;           ///< installs the snapshot once its state is complete
    std::string endpoint;               ///< link endpoint of the leader
    std::string state;                  ///< bytes of the leader's state received so far
    bool copies_contents = false;       ///< the state is complete; its contents are being copied
    std::uint64_t batch = 0;            ///< number of the batch of contents that was queried
    std::vector<content_range> queried; ///< contents of that batch
    time_point progress_at{};           ///< when the newest part arrived
};

/// A snapshot that other members may still query.
struct snapshot_export {
    std::shared_ptr<const consensus::snapshot> snapshot;
    time_point used_at{}; ///< when it was last offered or queried
};

/// This replica's member of one consensus group. Thread safety: functions marked as thread-safe may be called
/// from any thread, and those with that precondition only on the group's thread. The others must be called
/// from one thread.
class group {
public:
    /// Opens the group's files and restores the consensus state.
    /// @param number of the group. @param self the member ID, which is the disk's ID.
    /// @param replicas the members that the settings list; empty for managed membership.
    /// @throw storage_error.
    group(std::uint32_t number, const replica_settings& settings, consensus::member_id self,
          const std::vector<replica_address>& replicas, wire::link& links);
    ~group();
    group(const group&) = delete;
    group& operator=(const group&) = delete;

    /// Enables managed membership: a policy chooses the members among candidates, and the settings' list of
    /// replicas is not used. @param data_centre of this replica. @param auxiliary whether it is a member for
    /// redundancy only. @pre called before start().
    void enable_managed_membership(const consensus::membership_policy& policy, std::string data_centre,
                                   bool auxiliary = false);
    /// Makes the leader return the results of proposals only once a majority of the members that are not
    /// auxiliary knows that they are committed. @pre called before start().
    void await_confirmation() { awaits_confirmation_ = true; }
    /// Replaces the membership policy. Thread-safe.
    void set_membership_policy(const consensus::membership_policy& policy);
    /// Sets the link endpoints that this replica sends its join requests to. Thread-safe.
    void set_contacts(std::vector<std::string> endpoints);
    /// Bootstraps the group with its initial members if this replica is the first of them. Does nothing if
    /// this replica's disk already holds data of the group. Thread-safe.
    /// @pre every initial member is given the same list.
    void bootstrap(consensus::membership initial_members);
    /// Bootstraps the group with all contacts as its members as soon as each of them has reported that it is
    /// blank. Only the contact with the smallest endpoint does so. Thread-safe.
    void bootstrap_with_contacts();
    /// Makes this replica log that it has no leader also while it is not a member. @pre called before
    /// start().
    void expect_membership() { expects_membership_ = true; }
    /// Starts the thread. @pre called once.
    void start(state_machine machine);
    /// Transfers leadership if this replica leads, then stops the thread.
    void stop();
    /// @return whether the disk has failed, so that the replica no longer takes part. Thread-safe.
    [[nodiscard]] bool has_failed() const { return failed_.load(); }
    /// Runs a function on the group's thread, unless the replica has failed. Thread-safe.
    void post(std::function<void()> task);
    /// Handles a message of another member. Thread-safe. @param endpoint the sender's link endpoint.
    void handle(consensus::message received, const std::string& endpoint);
    /// Handles another member's query for a part of a snapshot. Thread-safe.
    void handle(std::shared_ptr<const wire::snapshot_query> query);
    /// Handles a part of the snapshot that this member installs. Thread-safe.
    void handle(std::shared_ptr<const wire::snapshot_part> part);
    /// Handles the join request of a blank replica: a leader adds it as a learner, another member passes it
    /// on to the leader, and a replica that is blank itself records it for the bootstrap. Thread-safe.
    /// @param forwarded another member passed the request on; it is not passed on again.
    void handle_join(const consensus::member& joining, bool forwarded = false);
    /// Proposes the removal of the member with a name. Thread-safe.
    /// @param done called with the result on the group's thread.
    void remove_member(const std::string& name, std::function<void(consensus::change_result)> done);

    /// Proposes a command. @param done called on the group's thread once the command is committed, and
    /// confirmed if await_confirmation() was called. @pre called on the group's thread.
    void propose(std::string command, proposal_callback done);
    /// @return whether this replica is the leader and holds a read lease, so that its applied state is
    /// current. @pre called on the group's thread.
    [[nodiscard]] bool has_read_lease() const;
    /// @return whether this replica is the leader and its state machine has been notified of that. Requests
    /// that arrive in the same batch as the deciding vote are not served yet.
    /// @pre called on the group's thread.
    [[nodiscard]] bool leads() const;
    /// @return the leader's link endpoint, empty if unknown. @pre called on the group's thread.
    [[nodiscard]] std::string leader_endpoint() const;
    /// @return the number of proposals that are not committed yet. @pre called on the group's thread.
    [[nodiscard]] std::size_t pending_proposals() const { return pending_proposals_.size(); }
    /// @return the group's status. @pre called on the group's thread.
    [[nodiscard]] group_report report() const;
    /// @return whether a leader is known, which may be this replica. @pre called on the group's thread.
    [[nodiscard]] bool knows_leader(time_point now) const;
    /// @return what this replica knows of the group. @pre called on the group's thread.
    [[nodiscard]] group_contact contact() const;
    /// @return the values of the group's metrics. Thread-safe.
    [[nodiscard]] const group_counters& counters() const { return counters_; }
    /// @return the group's number; 0 is the control group. Thread-safe.
    [[nodiscard]] std::uint32_t number() const { return number_; }
    /// @return whether the log is empty, no term has begun and thus no members are known.
    /// @pre called on the group's thread.
    [[nodiscard]] bool is_blank() const;

private:
    struct pending_proposal {
        consensus::term_number term; ///< term in which the command was proposed
        proposal_callback done;
    };

    /// The result of a committed command that awaits its confirmation.
    struct unconfirmed_result {
        wire::envelope_ptr result;
        proposal_callback done;
        time_point applied_at{};
    };

    static consensus::options make_options(const replica_settings& settings);
    void run();
    void process_batch(std::vector<std::function<void()>>& tasks);
    void execute_effects(consensus::effects& effects);
    void send(const std::vector<consensus::message>& messages);
    void apply(const consensus::log_entry& entry);
    void fail_pending_proposals();
    /// Returns the results that are confirmed by now, and logs whose confirmation is overdue.
    void return_confirmed_results(time_point now);
    void log_overdue_confirmation(time_point now);
    void snapshot_if_due();
    void remove_unused_contents();
    [[nodiscard]] consensus::message make_offer(const consensus::message& request);
    bool receive_offer(const consensus::message& offer, const std::string& endpoint);
    void answer_query(const wire::snapshot_query& query);
    void receive_part(const wire::snapshot_part& part);
    void query_next_part();
    void finish_import();
    void send_join_request(const std::string& endpoint);
    void send_join_round(time_point now);
    [[nodiscard]] wire::envelope make_join_message(const consensus::member& joining, bool forwarded) const;
    [[nodiscard]] time_point next_wake() const;
    [[nodiscard]] bool is_member() const;
    void bootstrap_or_join(time_point now);
    void bootstrap_from_settings(const std::map<std::string, consensus::member_id>& ids);
    void create_group(const consensus::membership& members);
    void bootstrap_or_join_managed(time_point now);
    void check_voters(time_point now);
    void check_leader(time_point now);
    void update_membership(time_point now);
    [[nodiscard]] std::string endpoint_of(consensus::member_id id) const;

    std::uint32_t number_;
    replica_settings settings_;
    std::vector<replica_address> replicas_;
    wire::link& links_;
    log_store store_;
    consensus::group_state state_;
    state_machine machine_;
    consensus::effects pending_effects_; ///< effects of the current batch that are not executed yet
    std::map<consensus::log_index, pending_proposal> pending_proposals_;
    std::map<consensus::member_id, std::string> learned_endpoints_; ///< endpoints of senders of messages
    std::map<std::string, consensus::member_id>
        blank_peers_; ///< blank replicas by name, recorded while this one is blank
    std::map<consensus::log_index, unconfirmed_result> unconfirmed_results_;
    consensus::regular_members regular_members_; ///< while this replica leads
    consensus::log_index announced_commit_ = 0;  ///< newest entry whose commit the members were told at once
    time_point confirmation_logged_at_{};        ///< when an overdue confirmation was last logged
    std::string data_centre_;                    ///< of this replica; only with managed membership
    bool auxiliary_ = false;                     ///< the same of its kind of membership
    bool awaits_confirmation_ = false;           ///< results of proposals wait for the regular members
    consensus::term_number applied_term_ = 0;    ///< of the newest entry that the state machine has applied
    bool serving_ = false;                       ///< the state machine was notified that this replica leads
    bool managed_ = false;                       ///< a policy chooses the members
    bool bootstraps_with_contacts_ = false;      ///< the contacts become the group's initial members
    consensus::membership_policy policy_;
    std::vector<std::string> contacts_; ///< endpoints that may belong to members of the group
    std::map<std::string, consensus::member>
        blank_candidates_; ///< blank replicas by endpoint, recorded while this one is blank
    time_point next_join_request_{};
    consensus::join_schedule join_schedule_;
    time_point next_machine_tick_{};
    time_point next_membership_check_{};
    time_point lacks_voters_since_{}; ///< as the leader sees it; unset while the group has enough
    bool lack_of_voters_logged_ = false;
    bool expects_membership_ = false;
    std::map<consensus::member_id, time_point> heard_at_; ///< when the newest message of a member arrived
    time_point leaderless_since_{};                       ///< unset while a leader is known
    time_point leaderless_logged_at_{};                   ///< unset until it was logged
    consensus::log_index last_snapshot_index_ = 0;
    std::uint64_t log_bytes_at_snapshot_ = 0;
    std::optional<snapshot_import> import_;
    std::map<consensus::log_index, snapshot_export> exports_; ///< by the snapshot's index
    group_counters counters_;

    std::mutex mutex_; ///< guards `inbox_` and `stopping_`; no other mutex is locked while it is held
    std::vector<std::function<void()>> inbox_;
    bool stopping_ = false;
    std::atomic<bool> failed_{false}; ///< the thread has ended, since the disk has failed
    std::condition_variable wake_;
    std::thread thread_;
};

} // namespace guavawick::replica
