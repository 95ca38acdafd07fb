// The entry role: callers' HTTP interface, polling of control, relay for sidecars.
#pragma once

#include "base/settings_type.hpp"
#include "entry/call_flow.hpp"
#include "http/metrics_type.hpp"
#include "runtime/worker_pool.hpp"

namespace guavawick::entry {

/// One entry. Thread safety: start() and stop() by one thread, the rest is internal.
class entry_process {
public:
    entry_process(const settings& given, runtime::worker_pool& pool);
    ~entry_process();
    /// Starts to serve. @throw link_error.
    void start();
    /// Answers health checks with 503, finishes what it has, then stops.
    void stop();
    /// Closes the links. @pre stop() returned and the pool's threads have stopped.
    void close();
    /// @return whether callers would be served now.
    [[nodiscard]] bool is_ready() const;

private:
    void add_metrics();
    // Callers (entry_process.cpp).
    boost::asio::awaitable<void> serve(http::request& received, http::responder& out);
    boost::asio::awaitable<void> serve_program(http::request& received, http::responder& out);
    boost::asio::awaitable<void> answer(http::request& received, http::responder& out,
                                        const std::string& request_id);
    [[nodiscard]] call_plan plan_call(const http::request& received, const std::string& request_id) const;

    // Control and sidecars (entry_links.cpp).
    boost::asio::awaitable<void> poll_loop();
    boost::asio::awaitable<void> session_loop(std::uint32_t shard);
    boost::asio::awaitable<void> load_loop();
    boost::asio::awaitable<void> free_program(std::uint32_t shard, std::string organisation,
                                              std::string program, upstream_name upstream);
    void receive(const wire::peer_route& from, const wire::envelope_ptr& message);
    boost::asio::awaitable<void> relay(wire::peer_route from, wire::envelope_ptr message);
    boost::asio::awaitable<void> answer_sidecar_poll(wire::peer_route from, wire::envelope_ptr message);
    [[nodiscard]] bool running() const { return !stopped_.load(); }

    settings settings_;
    runtime::worker_pool& pool_;
    incarnation_id self_;
    std::unique_ptr<wire::link> links_;
    std::unique_ptr<wire::group_client> client_;
    shared_tables tables_;
    std::unique_ptr<rate_limiter> rates_;
    std::unique_ptr<flow_context> flows_;
    http::metric_set metrics_;
    std::atomic<std::uint64_t> requests_{0};
    std::atomic<std::uint64_t> refusals_{0};
    std::unique_ptr<http::server> callers_;
    std::atomic<bool> leaving_{false};
    std::atomic<bool> stopped_{false};
};

} // namespace guavawick::entry
