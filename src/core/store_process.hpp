// The store role of a fleet: a replica of the ledger group, which holds turns and budgets.
#pragma once

#include "core/fleet_settings.hpp"
#include "core/group_serving.hpp"
#include "http/http_type.hpp"
#include "http/metrics_type.hpp"
#include "replica/log_store.hpp"
#include "runtime/worker_pool.hpp"
#include "turns/turn_func.hpp"
#include "wire/link_type.hpp"

#include <atomic>
#include <map>
#include <memory>

namespace guavawick::core {

/// One store. Thread safety: start(), stop() and set_seeds() by one thread, the rest is internal.
/// Everything that the state machine touches is used on the group's thread only.
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
    void serve(const wire::envelope_ptr& request, const answer_function& answer);
    void propose(const wire::envelope& request, const answer_function& answer);
    wire::envelope apply(const std::string& command);
    void lead(bool leads);
    void take_hello(const wire::control_hello& hello);
    void report(time_point now);
    boost::asio::awaitable<void> report_loop();

    fleet_settings settings_;
    runtime::worker_pool& pool_;
    replica::disk_identity disk_;
    std::unique_ptr<wire::link> links_;
    std::unique_ptr<replica::group> group_;
    turns::turn_state state_;
    group_clock clock_;
    std::vector<std::string> controls_; ///< links of the control replicas
    std::string known_hello_;           ///< the last hello, to act on changes only
    std::atomic<bool> running_{true};
    std::unique_ptr<http::server> metrics_server_;
    http::metric_set metrics_;
};

} // namespace guavawick::core
