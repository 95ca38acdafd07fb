// The store role of a fleet: one replica of each ledger group. The groups hold turns and budgets.
#pragma once

#include "core/fleet_settings.hpp"
#include "core/ledger_replica.hpp"
#include "core/store_budget.hpp"
#include "http/http_type.hpp"
#include "http/metrics_type.hpp"
#include "replica/log_store.hpp"
#include "runtime/worker_pool.hpp"
#include "wire/link_type.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

namespace guavawick::core {

/// One store. Thread safety: start(), stop() and set_seeds() must be called from one thread.
/// Lock order: no other lock is taken while `mutex_` is held. Replicas are never removed, so a pointer to one
/// stays valid after the lock is released.
class store_process {
public:
    /// Opens the durable state. @throw storage_error.
    store_process(const fleet_settings& settings, runtime::worker_pool& pool);
    ~store_process();
    /// Starts to serve. @throw storage_error, link_error.
    void start();
    /// Adds endpoints of control replicas that are contacted first.
    void set_seeds(const std::vector<std::string>& seeds);
    /// Transfers leadership, then stops.
    void stop();
    /// Closes the links. @pre stop() returned and the pool's threads have stopped.
    void close();

private:
    void receive(const wire::reply_target& from, const wire::envelope_ptr& message);
    void handle_hello(const wire::control_hello& hello);
    void send_report();
    void check_budget();
    boost::asio::awaitable<void> report_loop();
    [[nodiscard]] ledger_replica* find_replica(std::uint32_t group);
    ledger_replica& open_replica(std::uint32_t group);

    fleet_settings settings_;
    runtime::worker_pool& pool_;
    replica::disk_identity disk_;
    std::unique_ptr<wire::link> links_;
    std::atomic<bool> running_{true};
    content_gate gate_;
    store_pressure pressure_ = store_pressure::none; ///< used by the report loop only
    std::unique_ptr<http::server> metrics_server_;
    http::metric_set metrics_;

    std::mutex mutex_;                                                  ///< guards everything below
    std::map<std::uint32_t, std::unique_ptr<ledger_replica>> replicas_; ///< by group number
    std::vector<std::string> control_endpoints_;                        ///< links of the control replicas
    std::uint64_t max_known_revision_ = 0; ///< highest revision of the control group's state seen in a hello
    std::map<std::string, std::uint64_t> hello_digests_; ///< digest of each control replica's last hello
};

} // namespace guavawick::core
