// The gateway process of a fleet that discovers its members through seeds. It serves callers on the routes of
// the plan and forwards their calls to upstream instances, which announce themselves.
#pragma once

#include "admission/admission_type.hpp"
#include "core/fleet_settings.hpp"
#include "directory/directory_func.hpp"
#include "directory/leaving_marks.hpp"
#include "entry/rate_gate.hpp"
#include "gateway/caller_connection.hpp"
#include "gateway/chain_cache.hpp"
#include "gateway/control_host.hpp"
#include "gateway/control_roster.hpp"
#include "gateway/crash_probe.hpp"
#include "gateway/dependency.hpp"
#include "gateway/dialect_type.hpp"
#include "gateway/program_memory.hpp"
#include "gateway/rollout_gate.hpp"
#include "gateway/stop_window.hpp"
#include "gateway/upstream_connection.hpp"
#include "http/http_type.hpp"
#include "http/metrics_type.hpp"
#include "placing/placing_func.hpp"
#include "placing/prefix_func.hpp"
#include "plan/plan_func.hpp"
#include "runtime/worker_pool.hpp"
#include "wire/group_client.hpp"
#include "wire/link_type.hpp"

#include <array>
#include <atomic>
#include <memory>
#include <set>

namespace guavawick::wire {
class control_view;
class directory_update;
class control_hello;
} // namespace guavawick::wire

namespace guavawick::gateway {

struct active_call;

/// How a call ended.
enum class call_end : std::uint8_t {
    none,     ///< it is running
    answered, ///< the caller got an upstream's whole answer
    refused,  ///< it did not run
    failed,   ///< it may have run, and the caller got no whole answer
    caller_left
};
constexpr std::size_t call_end_count = 5;

/// Why a caller got no complete response.
enum class cut_cause : std::uint8_t {
    caller_closed,      ///< the caller closed its connection
    write_failed,       ///< the connection no longer takes bytes
    reset,              ///< the gateway reset the connection
    stopped,            ///< the process ended before the call did
    stream_broke_off,   ///< events were forwarded, and no attempt could continue the stream
    turn_not_confirmed, ///< the ledger did not store the turn
    unfinished          ///< the handler ended without a response
};
constexpr std::size_t cut_cause_count = 7;

/// Upper bounds of the time from the publication of a revision, at the replica that sent it, until it is in
/// force at a gateway.
constexpr std::array<std::chrono::milliseconds, 6> plan_delay_bounds{
    std::chrono::milliseconds(100),  std::chrono::milliseconds(250),  std::chrono::milliseconds(500),
    std::chrono::milliseconds(1000), std::chrono::milliseconds(2000), std::chrono::milliseconds(4000)};

/// Values of the gateway's metrics. Thread safety: written by the gateway's thread, read by any thread.
struct gateway_counters {
    std::atomic<std::uint64_t> answered{0};
    std::atomic<std::uint64_t> refused{0};
    std::atomic<std::uint64_t> failed{0};
    std::atomic<std::uint64_t> opened{0};
    std::array<std::atomic<std::uint64_t>, call_end_count> ended{}; ///< opened calls, by call_end
    std::array<std::atomic<std::uint64_t>, cut_cause_count> cut{};  ///< calls that were sent, by cut_cause
    std::atomic<std::uint64_t> retried{0};
    std::atomic<std::uint64_t> connects{0};
    std::atomic<std::uint64_t> crashes{0}; ///< of upstreams that ran a call of this gateway, by call
    std::atomic<std::uint64_t> leaving_instances{0}; ///< marked by their answers
    std::atomic<std::uint64_t> leaving_avoided{0};   ///< placements that a mark kept away from an instance
    std::atomic<std::uint64_t> rollout_exposed{0};   ///< attempts at the targets of running rollouts
    std::atomic<std::uint64_t> rollout_target_failures{0};
    std::atomic<std::uint64_t> rollout_leases_lost{0};
    std::atomic<std::uint64_t> starts_refused{0};
    std::atomic<std::uint64_t> starts_held{0};
    std::atomic<std::uint64_t> start_hold_ms{0};   ///< sum over the held starts
    std::atomic<std::uint64_t> starts_waiting{0};  ///< held at present
    std::atomic<std::uint64_t> stretch_percent{0}; ///< of the service that was last asked for, 100 when idle
    std::atomic<std::uint64_t> plan_version{0};
    std::atomic<std::uint64_t> plan_delay_ms{0}; ///< of the newest revision
    std::array<std::atomic<std::uint64_t>, plan_delay_bounds.size() + 1>
        plan_delays{};                              ///< revisions, by delay
    std::atomic<std::uint64_t> incomplete_views{0}; ///< that lacked the document of their version
    std::atomic<std::uint64_t> view_requests{0};    ///< for views that a replica has and nobody pushed
    std::atomic<std::uint64_t> instances{0};
    std::atomic<std::uint64_t> slowest_percent{100}; ///< learned slowness of the slowest candidate
    std::atomic<std::uint64_t> report_age_ms{0};     ///< mean age of the candidates' load reports
};

/// State of a gateway. Thread safety: the gateway's thread only. One thread suffices, as a gateway is
/// allotted a fraction of a core.
struct gateway_state {
    core::fleet_settings settings;
    platform_adapter adapter;
    std::shared_ptr<const plan::indexed_plan> plan;
    std::uint64_t revision = 0;     ///< of the control group's state
    time_point plan_confirmed_at{}; ///< when a control replica last sent its view
    std::set<std::string> evacuated_data_centres;
    directory::directory instances;
    directory::leaving_marks leaving;
    directory::crash_table crashes;
    crash_probes probes;
    std::map<directory::instance_id, placing::instance_load> loads;
    std::map<std::string, time_point> evacuation_ended_at; ///< by data centre
    connection_pool connections;
    std::vector<std::string> control_endpoints; ///< links of control replicas
    std::size_t gateway_count = 1;              ///< gateways of the fleet, as last reported by control
    std::size_t ledger_group_count = 0;         ///< 0 until it is known from control
    bool draining = false;                      ///< a planned stop is in progress
    std::optional<time_point> stop_ends_at;     ///< when responses must have been sent; set while draining
    std::map<plan::route_name, route_timing> route_timings;
    entry::rate_limiter* rate_limiter =
        nullptr; ///< nullptr until the ledger groups, which own the token buckets, are known
    dependency control_dependency{"control"};
    std::map<std::uint32_t, dependency> ledger_dependencies; ///< by group
    gateway_counters counters;
    std::set<active_call*> running_calls; ///< opened and not ended
    history_cache histories;
    recent_programs programs;
    spent_budgets budgets;
    placing::prefix_memory prefixes;                     ///< used with features.load_aware
    std::map<std::string, load::service_timing> timings; ///< by service; used with features.learned_load
    rollout_state rollouts;
    std::map<plan::service_name, admission::service_admission>
        admissions; ///< used if load decides about calls
};

/// A gateway. Thread safety: start(), stop() and set_seeds() by one thread, the rest is internal.
class gateway_process {
public:
    /// @pre the pool has one thread.
    gateway_process(const core::fleet_settings& settings, const platform_adapter& adapter,
                    runtime::worker_pool& pool);
    ~gateway_process();
    /// Starts serving. @throw link_error if an address can't be bound.
    void start();
    /// Adds control replicas to subscribe to.
    void set_seeds(const std::vector<std::string>& seeds);
    /// Reports to the load balancer that the gateway is not ready, finishes the requests in progress and
    /// returns.
    void stop();
    /// Closes the links. @pre stop() returned and the pool's threads have stopped.
    void close();

private:
    void handle_message(const wire::envelope_ptr& message);
    /// Applies a view. While a plan was taken over recently, a view with a newer plan waits, so that only the
    /// newest of several versions in quick succession is decoded.
    void receive_view(const wire::control_view& view);
    void apply_view(const wire::control_view& view);
    boost::asio::awaitable<void> apply_pending_view();
    void handle_view(const wire::control_view& view);
    /// Counts the time that a revision took to be in force.
    void record_plan_delay(const wire::control_view& view);
    void handle_directory_update(const wire::directory_update& update);
    void handle_hello(const wire::control_hello& hello);
    /// Which control replicas are asked for their complete directory, besides its changes.
    enum class directory_request : std::uint8_t { none, from_one, from_all };
    void subscribe(directory_request request);
    /// @return a subscription with what the gateway has. @param wants_view whether the replica shall send its
    /// view if that is newer.
    wire::envelope make_subscription(bool wants_view) const;
    /// Starts to ask for a newer view if a replica reports one.
    void record_reported_revision(const wire::control_hello& hello, time_point now);
    /// Asks one replica at a time for its view, until no replica that answers has a newer one.
    boost::asio::awaitable<void> fetch_missing_view();
    /// @return the replica to ask for a newer view; empty if none that answers reports one.
    [[nodiscard]] std::string choose_view_source(time_point now) const;
    boost::asio::awaitable<void> subscribe_loop();
    boost::asio::awaitable<void> report_rollouts_loop();
    boost::asio::awaitable<void> handle_readiness_check(http::request& request, http::responder& out);
    [[nodiscard]] bool is_ready() const;
    void update_control_replicas();
    void report_missing_plan(time_point now);
    void add_metrics();

    void update_ledger_replicas();
    void start_rate_limiter(std::size_t group_count);

    runtime::worker_pool& pool_;
    incarnation_id incarnation_;
    std::unique_ptr<wire::link> link_;
    std::unique_ptr<wire::group_client> ledger_client_;
    std::unique_ptr<wire::group_client> control_client_;
    std::unique_ptr<entry::rate_limiter> rate_limiter_;
    std::shared_ptr<gateway_state> state_;
    std::shared_ptr<caller_server> callers_;
    std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
    http::metric_set metrics_;
    std::unique_ptr<http::server> readiness_server_;
    std::unique_ptr<http::server> metrics_server_;
    std::unique_ptr<control_host> control_host_;
    control_roster control_roster_;
    std::map<std::string, std::uint64_t> hello_digests_; ///< of the last hello, by control replica
    /// What a control replica has according to its last hello.
    struct reported_revision {
        std::uint64_t revision = 0;
        time_point reported_at{};
    };
    std::map<std::string, reported_revision> reported_revisions_; ///< by control replica
    std::string asked_for_view_;                                  ///< the replica that was asked last
    bool fetches_view_ = false;                                   ///< fetch_missing_view() runs
    std::map<std::string, std::map<std::string, std::string>>
        reported_stores_; ///< by control replica: store names by endpoint
    std::size_t next_directory_replica_ =
        0; ///< index of the control replica that is asked for its directory next
    time_point started_at_ = runtime_clock::now();
    time_point missing_plan_due_at_{};                 ///< when the lack of a plan is logged next
    std::uint64_t unconfirmed_view_count_ = 0;         ///< views that were ignored while there was no plan
    time_point next_plan_at_{};                        ///< when the next plan may be decoded
    std::unique_ptr<wire::control_view> pending_view_; ///< waits until then; nullptr if none does
    time_point pending_since_{};                       ///< when it arrived
    std::atomic<bool> running_{true};
};

} // namespace guavawick::gateway
