// The gateway's part in rollouts: which versions a call may go to, and the counters that control decides by.
#pragma once

#include "directory/directory_type.hpp"
#include "placing/placing_type.hpp"
#include "rollout/exposure_func.hpp"
#include "rollout/rollout_type.hpp"

#include <memory>
#include <optional>

namespace guavawick::wire {
class control_view;
class envelope;
class rollout_lease;
} // namespace guavawick::wire

namespace guavawick::gateway {

struct active_call;
struct gateway_state;

/// What the gateway counts for the latest rollout of a service.
struct tracked_rollout {
    std::uint64_t number = 0; ///< of the rollout
    duration age_at_start{};  ///< of the rollout, when the gateway learned of it
    time_point tracked_since{};
    rollout::exposure_use use;
    std::map<rollout::counters_key, rollout::outcome_counters> outcomes;
    rollout::lease lent;
    bool lease_lost = false; ///< and logged
};

/// An attempt in progress.
struct running_attempt {
    std::string service;
    std::string version; ///< of the instance
    std::string route;
    time_point started_at{};
};

/// Rollouts as seen by a gateway. Thread safety: the gateway's thread only.
struct rollout_state {
    rollout::record_table records;
    std::map<std::string, tracked_rollout> tracked; ///< by service
    std::map<std::uint64_t, running_attempt>
        running; ///< all attempts, because a rollout may start at any time
    std::uint64_t next_attempt = 1;
    std::uint64_t last_report = 0;                    ///< sequence number
    std::map<std::uint64_t, time_point> reports_sent; ///< the latest ones
};

constexpr duration rollout_report_interval =
    std::chrono::milliseconds(250); ///< a tenth of a lease, so that single lost messages are
                                    ///< harmless

/// Uses the rollouts of a view from control.
void set_rollouts(gateway_state& state, const wire::control_view& view, time_point now);
/// Uses a lease from the leader. Its time began when the report that it answers was sent.
void receive_lease(gateway_state& state, const wire::rollout_lease& message, incarnation_id own,
                   time_point now);
/// @return the report to control, or nothing if no rollout is running.
std::optional<wire::envelope> make_rollout_report(gateway_state& state, incarnation_id own, time_point now);
/// Removes the candidates whose version the call must not go to, if the service has had a rollout.
void select_versions(active_call& call, std::vector<placing::candidate>& candidates, time_point now);

/// Counts an attempt from its construction to its destruction. Does nothing while rollouts are disabled.
/// Thread safety: the gateway's thread.
class attempt_watch {
public:
    attempt_watch(const active_call& call, const directory::instance_record& target);
    ~attempt_watch();
    attempt_watch(const attempt_watch&) = delete;
    attempt_watch& operator=(const attempt_watch&) = delete;
    /// Records the outcome of an attempt that may have run. @pre called once.
    void record_outcome(bool failed);

private:
    std::shared_ptr<gateway_state> state_;
    std::uint64_t number_ = 0; ///< 0: rollouts are disabled
};

} // namespace guavawick::gateway
