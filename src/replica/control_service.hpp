// The control group's state machine and its answers: configuration, audit trail, directory, quarantines.
#pragma once

#include "configuration/configuration_func.hpp"
#include "configuration/directory_func.hpp"
#include "replica/group.hpp"

#include <atomic>
#include <list>

namespace guavawick::replica {

/// Answers a request; called once, from any thread.
using reply_function = std::function<void(wire::envelope)>;

/// Serves the control group. Thread safety: handle() from any thread, the rest on the group's thread.
class control_service {
public:
    control_service(group& driver, std::string replica_name);
    /// Registers the state machine and starts the group.
    void start();
    /// Answers one request of the control group.
    void handle(wire::envelope_ptr request, reply_function answer);
    /// @return organisations that were removed, for the ledger groups. Thread safe.
    [[nodiscard]] std::shared_ptr<const std::set<std::string>> withdrawn() const;
    /// @return upstream incarnations by name, for the ledger groups. Thread safe.
    [[nodiscard]] std::shared_ptr<const std::map<upstream_name, incarnation_id>> incarnations() const;

private:
    struct parked_poll {
        wire::envelope_ptr request;
        reply_function answer;
        time_point received_at;
        time_point due;
    };
    struct process_seen {
        std::string role;
        std::uint64_t revision = 0;
        time_point at{};
    };

    wire::envelope apply(const std::string& command);
    void handle_here(const wire::envelope_ptr& request, const reply_function& answer);
    void propose(const wire::envelope_ptr& request, reply_function answer);
    void propose_removal(const configuration::upstream_record& record);
    void propose_tick();
    void announce(const wire::envelope_ptr& request, const reply_function& answer);
    void poll(const wire::envelope_ptr& request, const reply_function& answer);
    void answer_poll(const parked_poll& parked);
    void answer_polls(time_point now, bool all);
    void tick(time_point now);
    void lead(bool leads);
    void publish_shared();
    [[nodiscard]] wire::envelope redirect() const;
    [[nodiscard]] wire::envelope audit(const wire::envelope& request) const;
    [[nodiscard]] wire::envelope get() const;
    [[nodiscard]] wire::envelope status(time_point now) const;
    [[nodiscard]] std::chrono::milliseconds group_time() const;
    [[nodiscard]] std::string save() const;
    void restore(const std::string& bytes);

    group& group_;
    std::string replica_name_;
    configuration::configuration_state configuration_;
    configuration::directory_state directory_;
    std::list<parked_poll> parked_;
    std::map<upstream_name, time_point> heard_;     ///< leader: when each upstream last announced itself
    std::map<std::string, process_seen> processes_; ///< leader: who polls
    time_point leads_since_{};
    std::chrono::milliseconds group_time_base_{};
    std::uint64_t answered_version_ = 0;
    std::uint64_t answered_revision_ = 0;
    std::atomic<std::shared_ptr<const std::set<std::string>>> withdrawn_;
    std::atomic<std::shared_ptr<const std::map<upstream_name, incarnation_id>>> incarnations_;
};

} // namespace guavawick::replica
