// One replica of a ledger group: turns, budgets and rate buckets of the organisations that the group holds.
#pragma once

#include "core/content_gate.hpp"
#include "core/fleet_settings.hpp"
#include "core/fleet_state.hpp"
#include "core/group_serving.hpp"
#include "core/turn_import.hpp"
#include "limit/rate_owner.hpp"
#include "replica/log_store.hpp"
#include "replica/segment_store.hpp"
#include "turns/turn_func.hpp"
#include "wire/link_type.hpp"

#include <atomic>
#include <memory>

namespace guavawick::core {

/// Status of a ledger replica as of its last tick.
struct ledger_replica_status {
    bool blank = true;               ///< the disk holds no data of the group
    bool leads = false;              ///< this replica leads and a quorum confirmed it
    std::uint64_t content_bytes = 0; ///< size of the contents' segments on disk
    /// As the leader sees them. Empty on other replicas, and while a change is not committed: a store whose
    /// removal may be undone is still needed.
    std::vector<replica::member_report> members;
};

/// A member of a ledger group, or a candidate for membership. Thread safety: every function may be called
/// from any thread, except that start() and stop() must come from one thread. The state machine and the rate
/// buckets are used on the group's thread only.
class ledger_replica {
public:
    /// @param number of the group, from 1. @param disk_id becomes the replica's member ID.
    /// @param gate of the store; outlives the replica.
    ledger_replica(std::uint32_t number, const fleet_settings& settings, consensus::member_id disk_id,
                   wire::link& links, content_gate& gate);
    /// Starts to take part in the group. @throw storage_error.
    void start();
    /// Transfers leadership, then stops.
    void stop();
    /// Passes a consensus message or a join request on to the group. @return whether the message was one.
    bool receive(const wire::envelope& message);
    /// Handles a gateway's request. @param send_reply called from the group's thread.
    void handle_request(const wire::envelope_ptr& request, reply_function send_reply);
    /// Sets the endpoints of the stores and the group's initial members.
    void set_contacts(std::vector<std::string> endpoints,
                      const std::vector<consensus::member>& initial_members);
    /// Sets the names of the stores that must give up their membership.
    void set_retiring_stores(std::set<std::string> names);
    /// Sets whether new turns are admitted.
    void set_admits_turns(bool admits) { admits_turns_.store(admits); }
    /// @return the status as of the last tick.
    [[nodiscard]] std::shared_ptr<const ledger_replica_status> status() const { return status_.load(); }
    [[nodiscard]] const replica::group& group() const { return group_; }
    [[nodiscard]] replica::group& group() { return group_; }

private:
    void process_request(const wire::envelope& request, const reply_function& send_reply);
    void refuse(const wire::open_turn& request, const char* outcome, const reply_function& send_reply);
    void handle_offer(const wire::content_offer& request, const reply_function& send_reply);
    void handle_history_query(const wire::history_query& request, const reply_function& send_reply);
    void propose_open(const wire::open_turn& request, const reply_function& send_reply);
    void propose_stream(const wire::record_stream& request, const reply_function& send_reply);
    void propose_close(const wire::close_turn& request, const reply_function& send_reply);
    wire::envelope apply(const std::string& command);
    wire::envelope apply_open(const wire::open_turn& request);
    wire::envelope apply_close(wire::close_turn& request);
    replica::content_callbacks make_content_callbacks();
    void remove_unused_contents();
    void handle_leadership_change(bool leads);
    void publish_status();

    consensus::membership_policy policy_;
    content_gate& gate_;
    std::map<turns::turn_key, std::vector<reply_function>>
        closings_; ///< receivers of the reply, by turn whose large content is being committed
    turns::turn_state state_;
    replica::segment_store contents_; ///< inputs and outputs of the turns in `state_`
    turn_import import_;
    group_clock clock_;
    limit::rate_owner rate_owner_{limit::takeover_policy::half_rate}; ///< used while this replica leads
    std::atomic<bool> admits_turns_{true};
    std::atomic<std::shared_ptr<const ledger_replica_status>> status_{
        std::make_shared<const ledger_replica_status>()};
    replica::group group_; ///< last member: its thread, which uses the others, ends first
};

} // namespace guavawick::core
