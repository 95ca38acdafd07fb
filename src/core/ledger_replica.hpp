// One replica of one ledger group: turns, budgets and rate buckets of the organisations that the group holds.
#pragma once

#include "core/fleet_settings.hpp"
#include "core/fleet_state.hpp"
#include "core/group_serving.hpp"
#include "limit/rate_owner.hpp"
#include "replica/log_store.hpp"
#include "turns/turn_func.hpp"
#include "wire/link_type.hpp"

#include <atomic>
#include <memory>

namespace guavawick::core {

/// What a ledger replica last said of itself.
struct ledger_status {
    bool blank = true;
    bool leads = false;
    std::vector<replica::member_report> members; ///< as the leader sees them; empty elsewhere
};

/// A member of a ledger group, or a candidate. Thread safety: every function from any thread, but start() and
/// stop() by one. What the state machine touches is used on the group's thread only.
class ledger_replica {
public:
    /// @param number of the group, from 1.
    ledger_replica(std::uint32_t number, const fleet_settings& given, consensus::member_id disk,
                   wire::link& links);
    /// Begins to take part. @throw storage_error.
    void start();
    /// Hands leadership over, then stops.
    void stop();
    /// Takes a message for this group in. @return whether it was one of the consensus.
    bool receive(const wire::envelope& message);
    /// Serves an entry's request.
    void serve(const wire::envelope_ptr& request, answer_function answer);
    /// Learns of the other stores and of the group's first members.
    void set_contacts(std::vector<std::string> endpoints, const std::vector<consensus::member>& founders);
    /// Names the stores that shall hold nothing any more.
    void set_retiring(std::set<std::string> names);
    /// @return as of the last tick.
    [[nodiscard]] std::shared_ptr<const ledger_status> status() const { return status_.load(); }
    [[nodiscard]] const replica::group& driver() const { return group_; }

private:
    void answer_request(const wire::envelope& request, const answer_function& answer);
    void propose(const wire::envelope& request, const answer_function& answer);
    wire::envelope apply(const std::string& command);
    wire::envelope apply_open(const wire::open_turn& wish);
    void lead(bool leads);
    void publish_status();

    consensus::membership_policy policy_;
    replica::group group_;
    turns::turn_state state_;
    group_clock clock_;
    limit::rate_owner rates_{limit::takeover_policy::half_rate}; ///< used while this replica leads
    std::atomic<std::shared_ptr<const ledger_status>> status_{std::make_shared<const ledger_status>()};
};

} // namespace guavawick::core
