// The control group's state machine and its requests: configuration, audit trail, directory of upstreams and
// quarantines.
#pragma once

#include "configuration/configuration_func.hpp"
#include "configuration/directory_func.hpp"
#include "replica/group.hpp"

#include <atomic>
#include <list>

namespace guavawick::replica {

/// Sends the reply to a request. Called once, from any thread.
using reply_function = std::function<void(wire::envelope)>;

/// Serves the control group. Thread safety: handle_request(), withdrawn_organisations() and
/// upstream_incarnations() may be called from any thread, the others run on the group's thread.
class control_service {
public:
    control_service(group& consensus_group, std::string replica_name);
    /// Starts the group with this service's state machine.
    void start();
    /// Handles a request to the control group. Thread-safe.
    /// @param send_reply called on the group's thread; a poll's reply may be delayed by up to max_poll_wait.
    void handle_request(wire::envelope_ptr request, reply_function send_reply);
    /// @return the organisations that were removed; the ledger groups end their programs. Thread-safe.
    [[nodiscard]] std::shared_ptr<const std::set<std::string>> withdrawn_organisations() const;
    /// @return the incarnations of the upstreams in the directory. Thread-safe.
    [[nodiscard]] std::shared_ptr<const std::map<upstream_name, incarnation_id>>
    upstream_incarnations() const;

private:
    /// A long poll that waits for a change.
    struct pending_poll {
        wire::envelope_ptr request;
        reply_function send_reply;
        time_point received_at;
        time_point deadline; ///< when it is answered even if nothing has changed
    };
    /// The last poll of a process.
    struct process_poll {
        std::string role;
        std::uint64_t revision = 0; ///< configuration revision that the process had
        time_point polled_at{};
    };

    wire::envelope apply(const std::string& command);
    void process_request(const wire::envelope_ptr& request, const reply_function& send_reply);
    void propose(const wire::envelope_ptr& request, reply_function send_reply);
    void propose_removal(const configuration::upstream_record& record);
    void propose_tick();
    void handle_announcement(const wire::envelope_ptr& request, const reply_function& send_reply);
    void handle_poll(const wire::envelope_ptr& request, const reply_function& send_reply);
    void reply_to_poll(const pending_poll& pending);
    void reply_to_polls(time_point now, bool all);
    void tick(time_point now);
    void handle_leadership_change(bool leads);
    void update_shared_tables();
    [[nodiscard]] wire::envelope make_audit_reply(const wire::envelope& request) const;
    [[nodiscard]] wire::envelope make_configuration_reply() const;
    [[nodiscard]] wire::envelope make_status_reply(time_point now) const;
    [[nodiscard]] std::chrono::milliseconds group_time() const;
    [[nodiscard]] std::string save() const;
    void restore(const std::string& bytes);

    group& group_;
    std::string replica_name_;
    configuration::configuration_state configuration_;
    configuration::directory_state directory_;
    std::list<pending_poll> pending_polls_;
    std::map<upstream_name, time_point>
        last_announced_at_; ///< when each upstream last announced itself; only while this replica leads
    std::map<std::string, process_poll> processes_; ///< by process name; only while this replica leads
    time_point leader_since_{};                     ///< local time of the last leadership change
    std::chrono::milliseconds group_time_base_{};   ///< group time at that moment
    std::uint64_t answered_version_ = 0;
    std::uint64_t answered_revision_ = 0;
    std::atomic<std::shared_ptr<const std::set<std::string>>> withdrawn_organisations_;
    std::atomic<std::shared_ptr<const std::map<upstream_name, incarnation_id>>> upstream_incarnations_;
};

} // namespace guavawick::replica
