// The entry role of a fleet that finds itself through seeds: serves callers of a plan's routes at upstream
// instances that announce themselves.
#pragma once

#include "core/fleet_settings.hpp"
#include "directory/directory_func.hpp"
#include "entry/rate_gate.hpp"
#include "gateway/caller_connection.hpp"
#include "gateway/dependency.hpp"
#include "gateway/history_cache.hpp"
#include "gateway/platform_adapter.hpp"
#include "gateway/recent_programs.hpp"
#include "gateway/upstream_connection.hpp"
#include "http/http_type.hpp"
#include "http/metrics_type.hpp"
#include "placing/placing_func.hpp"
#include "plan/plan_func.hpp"
#include "runtime/worker_pool.hpp"
#include "wire/group_client.hpp"
#include "wire/link_type.hpp"

#include <atomic>
#include <memory>
#include <set>

namespace guavawick::wire {
class control_view;
class directory_update;
class control_hello;
} // namespace guavawick::wire

namespace guavawick::gateway {

/// Figures of an entry; written by its thread, read by any.
struct gateway_counters {
    std::atomic<std::uint64_t> answered{0};
    std::atomic<std::uint64_t> refused{0};
    std::atomic<std::uint64_t> failed{0};
    std::atomic<std::uint64_t> retried{0};
    std::atomic<std::uint64_t> connects{0};
    std::atomic<std::uint64_t> plan_version{0};
    std::atomic<std::uint64_t> instances{0};
};

/// Everything that an entry knows. Used on the entry's thread only: an entry has a fraction of a core, and
/// its pool has one thread.
struct gateway_state {
    core::fleet_settings settings;
    platform_adapter speaks;
    std::shared_ptr<const plan::indexed_plan> plan;
    std::uint64_t revision = 0;     ///< of the control group's state
    time_point plan_confirmed_at{}; ///< when a control replica last spoke
    std::set<std::string> evacuated;
    directory::directory instances;
    directory::crash_table crashes;
    std::map<directory::instance_id, placing::instance_load> loads;
    std::map<std::string, time_point> returned_at; ///< when a data centre was brought back
    connection_pool connections;
    std::vector<std::string> controls; ///< links of control replicas
    std::size_t entries = 1;           ///< entries of the fleet, as control last counted them
    std::size_t ledgers = 0;           ///< ledger groups; 0 until control told of them
    bool leaving = false;              ///< a planned stop began
    entry::rate_gate* rates = nullptr; ///< set once the ledger groups, which own the buckets, are known
    dependency control{"control"};
    std::map<std::uint32_t, dependency> ledger; ///< by group
    gateway_counters counters;
    history_cache chains;
    recent_programs programs; ///< programs that this entry has admitted calls of
};

/// One entry. Thread safety: start(), stop() and set_seeds() by one thread, the rest is internal.
class gateway_process {
public:
    /// @pre the pool has one thread.
    gateway_process(const core::fleet_settings& given, const platform_adapter& speaks,
                    runtime::worker_pool& pool);
    ~gateway_process();
    /// Starts to serve. @throw link_error.
    void start();
    /// Replaces the control replicas that are asked first.
    void set_seeds(const std::vector<std::string>& seeds);
    /// Tells the balancer that this entry leaves, finishes what it has and returns.
    void stop();
    /// Closes the links. @pre stop() returned and the pool's threads have stopped.
    void close();

private:
    void receive(const wire::envelope_ptr& message);
    void take_view(const wire::control_view& view);
    void take_directory(const wire::directory_update& update);
    void take_hello(const wire::control_hello& hello);
    /// Which replicas are asked for all they know beside what changes.
    enum class directory_wish : std::uint8_t { none, from_one, from_all };
    void subscribe(directory_wish asks);
    boost::asio::awaitable<void> subscribe_loop();
    boost::asio::awaitable<void> answer_readiness(http::request& received, http::responder& out);
    [[nodiscard]] bool is_ready() const;
    void know_controls();
    void add_metrics();

    void know_stores();
    void begin_to_borrow(std::size_t ledgers);

    runtime::worker_pool& pool_;
    incarnation_id self_;
    std::unique_ptr<wire::link> links_;
    std::unique_ptr<wire::group_client> ledger_;
    std::unique_ptr<wire::group_client> control_;
    std::unique_ptr<entry::rate_gate> rates_;
    std::shared_ptr<gateway_state> state_;
    std::shared_ptr<caller_server> callers_;
    std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
    http::metric_set metrics_;
    std::unique_ptr<http::server> readiness_;
    std::unique_ptr<http::server> metrics_server_;
    std::map<std::string, std::uint64_t> hello_digests_; ///< of what each control replica last told
    std::map<std::string, std::map<std::string, std::string>>
        stores_told_;                ///< by control replica: names by endpoint
    std::size_t next_directory_ = 0; ///< replica that is asked for its directory next
    time_point started_at_ = runtime_clock::now();
    std::atomic<bool> running_{true};
};

} // namespace guavawick::gateway
