// The store role of a fleet: a replica of each ledger group, which hold turns and budgets.
#pragma once

#include "core/fleet_settings.hpp"
#include "core/ledger_replica.hpp"
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

/// One store. Thread safety: start(), stop() and set_seeds() by one thread, the rest is internal.
/// Lock order: `mutex_` is a leaf; a replica is never removed, so a pointer to one stays good without it.
class store_process {
public:
    store_process(const fleet_settings& given, runtime::worker_pool& pool);
    ~store_process();
    /// Starts to serve. @throw storage_error, link_error.
    void start();
    /// Replaces the control replicas that are asked first.
    void set_seeds(const std::vector<std::string>& seeds);
    /// Hands leadership over, then stops.
    void stop();
    /// Closes the links. @pre stop() returned and the pool's threads have stopped.
    void close();

private:
    void receive(const wire::peer_route& from, const wire::envelope_ptr& message);
    void take_hello(const wire::control_hello& hello);
    void report();
    boost::asio::awaitable<void> report_loop();
    [[nodiscard]] ledger_replica* find_replica(std::uint32_t group);
    ledger_replica& open_replica(std::uint32_t group);

    fleet_settings settings_;
    runtime::worker_pool& pool_;
    replica::disk_identity disk_;
    std::unique_ptr<wire::link> links_;
    std::atomic<bool> running_{true};
    std::unique_ptr<http::server> metrics_server_;
    http::metric_set metrics_;

    std::mutex mutex_;                                                 ///< guards everything below
    std::map<std::uint32_t, std::unique_ptr<ledger_replica>> ledgers_; ///< by group
    std::vector<std::string> controls_;                                ///< links of the control replicas
    std::uint64_t known_revision_ = 0; ///< of the control group's state, the highest heard of
    std::map<std::string, std::uint64_t> hello_digests_; ///< of what each control replica last told
};

} // namespace guavawick::core
