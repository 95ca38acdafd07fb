// A ledger group's state machine and its requests: calls, programs, sessions of entries and leases of rate
// tokens.
#pragma once

#include "ledger/ledger_func.hpp"
#include "limit/rate_owner.hpp"
#include "replica/control_service.hpp"
#include "replica/group.hpp"

#include <unordered_map>

namespace guavawick::replica {

/// Serves one ledger group. Thread safety: handle_request() may be called from any thread, the others run on
/// the group's thread.
class ledger_service {
public:
    /// @param control provides the removed organisations; must outlive this service.
    ledger_service(group& consensus_group, const control_service& control);
    /// Starts the group with this service's state machine.
    void start();
    /// Handles a request to this ledger group. Thread-safe.
    /// @param send_reply called on the group's thread. A call that waits for an earlier call of its program
    /// gets its reply when it leaves the queue, when the earlier call must be settled or when leadership is
    /// lost.
    void handle_request(wire::envelope_ptr request, reply_function send_reply);

private:
    /// A request to open a call that waits for an earlier call of its program.
    struct pending_open {
        wire::envelope_ptr request;
        reply_function send_reply;
    };
    using pending_key = std::pair<ledger::program_key, request_name>;

    wire::envelope apply(const std::string& command);
    void process_request(const wire::envelope_ptr& request, const reply_function& send_reply);
    void handle_open(const wire::envelope_ptr& request, const reply_function& send_reply);
    [[nodiscard]] wire::envelope_ptr assign_upstream(const wire::envelope_ptr& request,
                                                     const ledger::program_key& key) const;
    void handle_program(const wire::envelope_ptr& request, const reply_function& send_reply);
    void propose(const wire::envelope_ptr& request, reply_function send_reply);
    void propose_expiry();
    void propose_withdrawals();
    void reply_to_dequeued(const std::vector<ledger::dequeued_call>& dequeued);
    void settle_pending_opens(time_point now);
    void handle_leadership_change(bool leads);
    void tick(time_point now);
    [[nodiscard]] bool is_session_expired(incarnation_id entry, time_point now) const;
    [[nodiscard]] const ledger::call_state*
    find_orphaned_call(const ledger::program_key& key, const request_name& request, time_point now) const;
    [[nodiscard]] wire::envelope handle_session(const wire::envelope& request, time_point now);
    [[nodiscard]] wire::envelope lend_tokens(const wire::envelope& request, time_point now);
    [[nodiscard]] ledger::group_time group_time() const;

    group& group_;
    const control_service& control_;
    ledger::ledger_state state_;
    std::map<pending_key, pending_open> pending_opens_; ///< used while this replica leads
    std::unordered_map<incarnation_id, time_point>
        sessions_; ///< time of each entry's last session request; used while this replica leads
    limit::rate_owner rate_owner_{limit::takeover_policy::wait_for_expiry}; ///< used while this replica leads
    std::map<ledger::program_key, time_point>
        last_free_request_; ///< when entries were last asked to free a program's engine memory; leader only
    time_point leader_since_{};            ///< local time of the last leadership change
    ledger::group_time group_time_base_{}; ///< group time at that moment
    time_point next_check_{};
};

} // namespace guavawick::replica
