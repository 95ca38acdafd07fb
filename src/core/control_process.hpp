// The control role of a fleet: a replica of the control group, with which upstream instances register.
#pragma once

#include "core/fleet_settings.hpp"
#include "core/fleet_state.hpp"
#include "core/group_serving.hpp"
#include "core/publication_log.hpp"
#include "directory/directory_func.hpp"
#include "directory/leaving_marks.hpp"
#include "http/http_type.hpp"
#include "http/metrics_type.hpp"
#include "replica/log_store.hpp"
#include "rollout/decision_func.hpp"
#include "runtime/stall_type.hpp"
#include "runtime/worker_pool.hpp"
#include "wire/group_client.hpp"
#include "wire/link_type.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace guavawick::core {

constexpr std::uint32_t control_group = 0; ///< number of the control group; ledger groups follow it

/// A version of the plan document, uncompressed.
struct published_document {
    std::uint64_t version = 0; ///< 0 if no document has been published
    std::string bytes;
};

/// Where an operator's order came from. An order that its sender has given up is sent again elsewhere and may
/// have been reversed since, so executing it late would undo a later one.
struct order_source {
    time_point received_at = runtime_clock::now(); ///< when it was read
    std::function<bool()> is_abandoned;            ///< whether its sender has left; empty if it can't leave
};

/// A gateway that has subscribed lately.
struct view_subscriber {
    time_point last_subscription{};
    time_point behind_logged_at{}; ///< when it was last reported to lack a revision
};

/// What a control replica keeps on the latest rollout of a service besides the replicated record.
struct rollout_work {
    std::uint64_t number = 0;     ///< of the rollout
    std::uint64_t changed_at = 0; ///< revision of the stage
    time_point known_since{};
    duration known_age{}; ///< age of the rollout at that time
    time_point stage_since{};
    rollout::judgement judged;
    rollout::decision current; ///< of the last tick in which this replica led
    duration age{};            ///< at that tick
    time_point decided_at{};
    bool proposal_pending = false;
};

/// One control replica. Commands may be sent to any replica, which forwards them to the leader.
/// Thread safety: commands and announcements may come from any thread; start(), stop() and set_seeds() from
/// one thread only.
/// Lock order: while `mutex_` is held, only the internal locks of the group client and of the event log are
/// taken. The state machine is used on the group's thread only.
class control_process {
public:
    /// Opens the durable state. @throw storage_error.
    control_process(const fleet_settings& settings, runtime::worker_pool& pool);
    ~control_process();
    /// Starts to serve. @param operator_handler serves HTTP requests at `operator_listen`, unless that is
    /// empty.
    /// @throw storage_error; link_error if an address can't be bound. If that of the link can't, nothing has
    /// been started and the process may be destroyed.
    void start(http::handler operator_handler);
    /// Replaces the endpoints of the control replicas that are contacted first.
    void set_seeds(const std::vector<std::string>& seeds);
    /// Transfers leadership, then stops.
    void stop();
    /// Closes the links. @pre stop() returned and the pool's threads have stopped.
    void close();

    /// Merges an instance's announcement into the directory and distributes it. The announcement of a planned
    /// stop is acknowledged only after another replica has confirmed it, unless there is no other replica.
    /// @throw link_error if none confirms it before the timeout; the instance then asks another replica.
    /// @throw decode_error if the announcement names no instance, see directory::describe_fault().
    boost::asio::awaitable<void> announce(directory::instance_record announcement);
    /// Marks an instance as gone and distributes that as announce() does.
    boost::asio::awaitable<void> deregister(directory::instance_id id, std::uint64_t started_ms);
    /// Publishes a document. @return once it is committed. @throw link_error if no commit is confirmed before
    /// the timeout.
    boost::asio::awaitable<void> publish(published_document document);
    /// Evacuates a data centre or ends its evacuation. @throw link_error as publish(), stale_order_error if
    /// the order is too old to be executed.
    boost::asio::awaitable<void> set_evacuation(std::string data_centre, bool evacuated,
                                                order_source source = {});
    /// @return the evacuated data centres as of the last command that this replica applied.
    [[nodiscard]] std::set<std::string> evacuated_data_centres() const
    {
        return view_.load()->evacuated_data_centres;
    }
    /// @return the newest document, confirmed by a quorum. @throw link_error if no quorum confirms it before
    /// the timeout.
    boost::asio::awaitable<published_document> read_document();
    /// Starts to retire a store. @return its phase after the command. @throw as set_evacuation().
    boost::asio::awaitable<retirement_phase> retire(std::string store, order_source source = {});
    /// @return the phase of a store's retirement. @throw link_error as read_document().
    boost::asio::awaitable<retirement_phase> query_retirement(std::string store);
    /// @return the features that are enabled. Thread-safe.
    [[nodiscard]] const fleet_features& features() const { return settings_.features; }
    /// Requests a rollout. @return whether it was committed or was already known; false if a rollout with
    /// another target is running. @throw as set_evacuation().
    boost::asio::awaitable<bool> start_rollout(std::string service, std::string target, duration length,
                                               order_source source = {});
    /// @return the latest rollout of a service, if any. @throw link_error as read_document().
    boost::asio::awaitable<std::optional<rollout::record>> query_rollout(std::string service);

private:
    using fleet_view = std::shared_ptr<const fleet_state>;

    /// Replies to subscriptions, encoded once for all subscribers.
    struct prepared_hello {
        wire::envelope full;
        wire::envelope unchanged; ///< for a subscriber that has the digest of the full one
    };

    void receive(const wire::reply_target& from, const wire::envelope_ptr& message);
    void handle_request(const wire::envelope_ptr& request, const reply_function& send_reply);
    void handle_subscription(const wire::subscribe_request& request);
    void handle_directory_update(const wire::directory_update& update);
    wire::envelope apply(const std::string& command);
    void publish_view();
    void push_view(const std::string& endpoint, const fleet_state& view, std::uint64_t known_version,
                   bool confirmed);
    void push_view_to_all(std::uint64_t known_version);
    void report_gateway_behind(const wire::subscribe_request& request, const fleet_state& view,
                               time_point now);
    void add_view_metrics();
    void schedule_push(const std::string& endpoint, std::uint64_t known_version);
    void send_scheduled_pushes();
    void tick(time_point now);
    void bootstrap_ledger_groups(time_point now);
    void decide_rollouts(time_point now);
    void decide_rollout(const rollout::record& rollout, rollout_work& work, time_point now);
    void propose_change(const rollout::record& rollout, rollout_work& work);
    [[nodiscard]] bool gateways_confirm(const rollout::record& rollout, time_point now);
    [[nodiscard]] bool is_target_serving(const rollout::record& rollout);
    void handle_rollout_report(const wire::rollout_report& report);
    void lend_exposure(const std::string& endpoint, std::uint64_t incarnation, std::uint64_t sequence);
    void report_rollout_command(const wire::fleet_command& command, bool changed, wire::envelope& reply);
    wire::envelope make_rollout_reply(const std::string& service) const;
    void add_rollout_metrics();
    wire::envelope make_retirement_reply(const std::string& store, time_point now);
    void update_hello(time_point now);
    wire::envelope make_full_hello(time_point now);
    boost::asio::awaitable<bool> send_to_peers(wire::envelope update, bool wait_for_peer);
    boost::asio::awaitable<void> replicate_stop(directory::instance_id id, wire::envelope update);
    boost::asio::awaitable<wire::envelope> call_leader(wire::envelope request);
    boost::asio::awaitable<wire::envelope> execute_order(wire::envelope command, order_source source);
    boost::asio::awaitable<std::optional<std::uint64_t>> read_order_count();
    boost::asio::awaitable<void> watch_stalls();
    boost::asio::awaitable<void> batch_loop();
    void flush_batch();
    [[nodiscard]] std::vector<std::string> peers() const;

    fleet_settings settings_;
    runtime::worker_pool& pool_;
    replica::disk_identity disk_;
    std::unique_ptr<wire::link> links_;
    std::unique_ptr<replica::group> group_;
    std::unique_ptr<wire::group_client> client_;
    fleet_state state_;
    bool push_pending_ = false; ///< a push of the view to all subscribers is queued on the group's thread
    time_point
        bootstrap_wait_since_{};   ///< start of the current bootstrap_delay; unset before the first store
    std::atomic<fleet_view> view_; ///< state after the last applied command
    std::atomic<std::shared_ptr<const prepared_hello>> hello_; ///< as of the last tick; empty before it
    std::atomic<time_point> view_published_at_{time_point{}};  ///< when `view_` was last replaced
    std::atomic<std::uint64_t> views_sent_{0};
    std::atomic<std::uint64_t> views_not_sent_{0};
    std::atomic<std::uint64_t> gateways_behind_{0}; ///< reports of gateways that lacked a revision
    std::atomic<bool> running_{true};
    time_point created_at_ = runtime_clock::now();
    std::map<std::string, rollout_work> rollout_work_; ///< by service; the group's thread only
    std::atomic<std::uint64_t> rollouts_running_{0};
    std::atomic<double> rollout_share_{0}; ///< lent for the rollout that was decided on last
    std::atomic<std::uint64_t> rollout_target_calls_{0};
    std::atomic<std::uint64_t> rollout_target_failures_{0};
    std::atomic<std::uint64_t> rollout_calls_{0};
    std::atomic<std::uint64_t> rollout_stage_{0};
    std::atomic<time_point> rollout_evidence_at_{time_point{}};

    mutable std::mutex mutex_; ///< guards everything below
    runtime::stall_record stalls_;
    directory::directory instances_;
    directory::leaving_marks leaving_;
    directory::crash_table crashes_;
    std::map<std::string, view_subscriber> subscribers_; ///< gateways, by endpoint
    publication_log publications_;
    std::map<std::string, store_status> stores_; ///< by endpoint
    std::map<std::string, std::uint64_t>
        scheduled_pushes_; ///< document versions of the gateways that a view is due to, by endpoint
    rollout::evidence_table evidence_; ///< reports of the gateways on running rollouts
    std::vector<std::string> seeds_;
    std::vector<std::string> member_endpoints_; ///< link endpoints of the control group's members
    wire::directory_update batch_;              ///< changes not yet sent to the gateways
    std::set<std::uint64_t> pending_confirms_;  ///< numbers of updates that no other replica confirmed yet
    std::uint64_t next_confirm_number_ = 1;
    std::set<directory::instance_id> unconfirmed_stops_; ///< that no other replica is known to have

    http::metric_set metrics_;
    std::unique_ptr<http::server> operator_server_;
    std::unique_ptr<http::server> metrics_server_;
};

/// Encodes an instance's record.
void to_wire(const directory::instance_record& record, time_point now, wire::instance_record* message);
/// @return the decoded record, with `now` as the time at which it was received.
directory::instance_record from_wire(const wire::instance_record& message, time_point now);
/// Encodes a crash.
void to_wire(const directory::crash_report& report, time_point now, wire::crash_record* message);
/// @return the decoded crash. @param now when it was received.
directory::crash_report from_wire(const wire::crash_record& message, time_point now);

} // namespace guavawick::core
