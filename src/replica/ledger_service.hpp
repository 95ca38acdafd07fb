// A ledger group's state machine and its answers: calls, programs, sessions of entries, token loans.
#pragma once

#include "ledger/ledger_func.hpp"
#include "limit/rate_owner.hpp"
#include "replica/control_service.hpp"
#include "replica/group.hpp"

#include <unordered_map>

namespace guavawick::replica {

/// Serves one ledger group. Thread safety: handle() from any thread, the rest on the group's thread.
class ledger_service {
public:
    ledger_service(group& driver, const control_service& control);
    /// Registers the state machine and starts the group.
    void start();
    /// Answers one request of this ledger group.
    void handle(wire::envelope_ptr request, reply_function answer);

private:
    struct parked_open {
        wire::envelope_ptr request;
        reply_function answer;
    };
    using parked_key = std::pair<ledger::program_key, request_name>;

    wire::envelope apply(const std::string& command);
    void handle_here(const wire::envelope_ptr& request, const reply_function& answer);
    void open(const wire::envelope_ptr& request, const reply_function& answer);
    [[nodiscard]] wire::envelope_ptr claim_upstream(const wire::envelope_ptr& request,
                                                    const ledger::program_key& key) const;
    void program(const wire::envelope_ptr& request, const reply_function& answer);
    void propose(const wire::envelope_ptr& request, reply_function answer);
    void propose_expiry();
    void propose_withdrawals();
    void answer_promoted(const std::vector<ledger::dequeued_call>& promoted);
    void settle_parked(time_point now);
    void lead(bool leads);
    void tick(time_point now);
    [[nodiscard]] bool session_is_dead(incarnation_id entry, time_point now) const;
    [[nodiscard]] const ledger::call_state* find_stuck(const ledger::program_key& key,
                                                       const request_name& request, time_point now) const;
    [[nodiscard]] wire::envelope redirect() const;
    [[nodiscard]] wire::envelope session(const wire::envelope& request, time_point now);
    [[nodiscard]] wire::envelope borrow(const wire::envelope& request, time_point now);
    [[nodiscard]] ledger::group_time group_time() const;

    group& group_;
    const control_service& control_;
    ledger::ledger_state state_;
    std::map<parked_key, parked_open> parked_;                ///< leader: openers that wait for their turn
    std::unordered_map<incarnation_id, time_point> sessions_; ///< leader: when each entry was last heard
    limit::rate_owner rates_{limit::takeover_policy::wait_for_expiry}; ///< leader
    std::map<ledger::program_key, time_point> free_offered_; ///< leader: when a freeing was last asked for
    time_point leads_since_{};
    ledger::group_time group_time_base_{};
    time_point next_check_{};
};

} // namespace guavawick::replica
