// The entry role: HTTP interface for callers, polling of the control group, relay for sidecars.
#pragma once

#include "base/settings_type.hpp"
#include "entry/call_flow.hpp"
#include "http/metrics_type.hpp"
#include "runtime/worker_pool.hpp"

namespace guavawick::entry {

/// An entry. Thread safety: start(), stop() and close() must be called by one thread; is_ready() by any
/// thread.
class entry_process {
public:
    entry_process(const settings& process_settings, runtime::worker_pool& pool);
    ~entry_process();
    /// Starts serving. @throw link_error if an address can't be bound.
    void start();
    /// Replies to health checks with status 503, completes the requests in progress and returns.
    void stop();
    /// Closes the link. @pre stop() returned and the pool's threads have stopped.
    void close();
    /// @return whether requests of callers are served.
    [[nodiscard]] bool is_ready() const;

private:
    void add_metrics();
    // Requests of callers (entry_process.cpp).
    boost::asio::awaitable<void> handle_request(http::request& request, http::responder& out);
    boost::asio::awaitable<void> handle_program_request(http::request& request, http::responder& out);
    boost::asio::awaitable<void> dispatch_request(http::request& request, http::responder& out,
                                                  const std::string& request_id);
    [[nodiscard]] call_request parse_call(const http::request& request, const std::string& request_id) const;

    // Messages of replicas and sidecars (entry_links.cpp).
    boost::asio::awaitable<void> poll_loop();
    boost::asio::awaitable<void> session_loop(std::uint32_t shard);
    boost::asio::awaitable<void> load_poll_loop();
    boost::asio::awaitable<void> free_program(std::uint32_t shard, std::string organisation,
                                              std::string program, upstream_name upstream);
    void handle_message(const wire::reply_target& from, const wire::envelope_ptr& message);
    boost::asio::awaitable<void> relay_to_leader(wire::reply_target from, wire::envelope_ptr message);
    boost::asio::awaitable<void> handle_sidecar_poll(wire::reply_target from, wire::envelope_ptr message);
    [[nodiscard]] bool is_running() const { return !stopped_.load(); }

    settings settings_;
    runtime::worker_pool& pool_;
    incarnation_id self_;
    std::unique_ptr<wire::link> link_;
    std::unique_ptr<wire::group_client> group_client_;
    shared_tables tables_;
    std::unique_ptr<rate_limiter> rate_limiter_;
    std::unique_ptr<call_context> call_context_;
    http::metric_set metrics_;
    std::atomic<std::uint64_t> request_count_{0};
    std::atomic<std::uint64_t> refusal_count_{0};
    std::unique_ptr<http::server> caller_server_;
    std::atomic<bool> draining_{false};
    std::atomic<bool> stopped_{false};
};

} // namespace guavawick::entry
