// Drives one consensus group: a thread that steps the algorithm, syncs, sends and applies.
#pragma once

#include "consensus/consensus_func.hpp"
#include "replica/log_store.hpp"
#include "wire/link_type.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace guavawick::replica {

/// The state machine of a group. Every function is called by the group's thread only.
struct state_machine {
    std::function<wire::envelope(const std::string& command)>
        apply;                                       ///< executes a committed command, gives its answer
    std::function<std::string()> save;               ///< encodes the state
    std::function<void(const std::string&)> restore; ///< replaces the state
    std::function<void(bool leads)> leadership_changed;
    std::function<void(time_point)> tick; ///< about every tick_interval
};

/// How a proposal ended: the command's answer, or nullptr if this replica lost the lead before the commit.
using proposal_callback = std::function<void(const wire::envelope*)>;

/// What a leader tells of a member.
struct member_report {
    consensus::member info;
    bool recently_active = false;   ///< the leader heard of it within the election timeout
    consensus::log_index match = 0; ///< last entry known to be synced there
};

/// What people are told of a group.
struct group_report {
    consensus::role_type role = consensus::role_type::follower;
    consensus::term_number term = 0;
    consensus::log_index commit = 0;
    consensus::log_index applied = 0;
    consensus::log_index last = 0;
    std::string leader;
    std::vector<member_report> members;
};

/// Figures of a group for metrics; written by its thread, read by any.
struct group_counters {
    std::atomic<bool> leads{false};
    std::atomic<std::uint64_t> applied{0};
    std::atomic<std::uint64_t> proposals{0};
    std::atomic<std::uint64_t> syncs{0};
    std::atomic<std::uint64_t> log_bytes{0};
};

/// One group of this replica. Thread safety: post() and handle() from any thread, the rest from the group's
/// thread.
class group {
public:
    group(std::uint32_t number, const replica_settings& settings, consensus::member_id self,
          const std::vector<replica_address>& replicas, wire::link& links);
    ~group();
    group(const group&) = delete;
    group& operator=(const group&) = delete;

    /// Lets candidates come and go: members are planned by a policy instead of the settings' list.
    /// @pre before start().
    void enable_managed_membership(const consensus::membership_policy& policy, std::string data_centre);
    /// Replaces the policy. Thread safe.
    void set_membership_policy(const consensus::membership_policy& policy);
    /// Names the addresses to ask for a place in the group. Thread safe.
    void set_contacts(std::vector<std::string> endpoints);
    /// Founds the group with these members. Does nothing where this replica's disk holds a group already.
    /// Thread safe. @pre the same list is given to every founder.
    void bootstrap(consensus::membership founders);
    /// Founds the group with all contacts once each of them says that it is blank; the one with the smallest
    /// address acts. Thread safe.
    void bootstrap_with_contacts();
    /// Starts the thread. @pre called once.
    void start(state_machine machine);
    /// Hands leadership over if this replica leads, then stops the thread.
    void stop();
    /// Runs a function on the group's thread.
    void post(std::function<void()> work);
    /// Takes in a message of another member. @param endpoint where that member listens.
    void handle(consensus::message received, const std::string& endpoint);
    /// Takes in a blank replica's wish to join: a leader adds it as a learner, a blank replica remembers it.
    void handle_join(const consensus::member& joining);
    /// Removes the members of a name.
    void remove(const std::string& name, std::function<void(consensus::change_result)> done);

    /// Proposes a command. @pre on the group's thread.
    void propose(std::string command, proposal_callback done);
    /// Tells whether the applied state is current. @pre on the group's thread.
    [[nodiscard]] bool has_read_lease() const;
    /// @return whether this replica leads and its state machine was told so. Work that arrives in one batch
    /// with the deciding vote is not served yet. @pre on the group's thread.
    [[nodiscard]] bool leads() const;
    /// @return the link endpoint of the leader, empty if unknown. @pre on the group's thread.
    [[nodiscard]] std::string leader_endpoint() const;
    /// @return how many proposals wait for their commit. @pre on the group's thread.
    [[nodiscard]] std::size_t pending_proposals() const { return proposals_.size(); }
    /// @return what people are told. @pre on the group's thread.
    [[nodiscard]] group_report report() const;
    /// @return figures for metrics. Thread safe.
    [[nodiscard]] const group_counters& counters() const { return counters_; }
    /// @return the group's number; 0 is control.
    [[nodiscard]] std::uint32_t number() const { return number_; }
    /// @return whether the group holds nothing yet and knows no members. @pre on the group's thread.
    [[nodiscard]] bool is_blank() const;

private:
    struct waiting_proposal {
        consensus::term_number term;
        proposal_callback done;
    };

    void run();
    void work_once(std::vector<std::function<void()>>& work);
    void carry_out(consensus::effects& wanted);
    void send(const std::vector<consensus::message>& messages);
    void apply(const consensus::log_entry& entry);
    void fail_proposals();
    void snapshot_if_due();
    void ask_to_join(const std::string& endpoint);
    void found_or_join(time_point now);
    void found(const std::map<std::string, consensus::member_id>& ids);
    void found_members(const consensus::membership& members);
    void found_managed(time_point now);
    void plan_members(time_point now);
    [[nodiscard]] std::string endpoint_of(consensus::member_id id) const;

    std::uint32_t number_;
    replica_settings settings_;
    std::vector<replica_address> replicas_;
    wire::link& links_;
    log_store store_;
    consensus::group_state state_;
    state_machine machine_;
    consensus::effects pending_; ///< effects of the work in hand
    std::map<consensus::log_index, waiting_proposal> proposals_;
    std::map<consensus::member_id, std::string> learned_endpoints_;
    std::map<std::string, consensus::member_id>
        blank_peers_;                   ///< answers of blank replicas while this one is blank
    std::string data_centre_;           ///< of this replica; for managed groups
    bool serving_ = false;              ///< the state machine knows that this replica leads
    bool managed_ = false;              ///< candidates come and go
    bool founds_with_contacts_ = false; ///< first start of the whole system
    consensus::membership_policy policy_;
    std::vector<std::string> contacts_;                         ///< endpoints that may know the group
    std::map<std::string, consensus::member> blank_candidates_; ///< by endpoint, while this one is blank
    time_point next_probe_{};
    time_point next_machine_tick_{};
    time_point next_repair_{};
    consensus::log_index snapshot_at_ = 0;
    group_counters counters_;

    std::mutex mutex_; ///< guards the two below; a leaf in the lock order
    std::vector<std::function<void()>> inbox_;
    bool stopping_ = false;
    std::condition_variable wake_;
    std::thread thread_;
};

} // namespace guavawick::replica
