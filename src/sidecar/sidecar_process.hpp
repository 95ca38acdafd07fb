// The sidecar role: gate, queue and fence of one upstream.
#pragma once

#include "base/settings_type.hpp"
#include "configuration/configuration_func.hpp"
#include "http/metrics_type.hpp"
#include "runtime/worker_pool.hpp"
#include "scheduling/attempt_func.hpp"
#include "scheduling/queue_func.hpp"
#include "scheduling/window_func.hpp"
#include "sidecar/attempt_record.hpp"
#include "wire/link_type.hpp"

#include <atomic>
#include <mutex>

namespace guavawick::sidecar {

/// One sidecar. Thread safety: start() and stop() by one thread, the rest is internal.
/// Lock order: `mutex_` is taken before the link's.
class sidecar_process {
public:
    sidecar_process(const settings& given, const sidecar_settings& own, runtime::worker_pool& pool);
    ~sidecar_process();
    /// Starts to serve. @throw link_error.
    void start();
    /// Announces that the upstream leaves, takes nothing new and waits until all attempts are confirmed.
    void stop();
    /// Closes the links. @pre stop() returned and the pool's threads have stopped.
    void close();

private:
    void add_metrics();
    using record_ptr = std::shared_ptr<attempt_record>;

    // Requests of entries (sidecar_process.cpp).
    void receive(const wire::peer_route& from, const wire::envelope_ptr& message);
    void receive_run(const wire::peer_route& from, const wire::run_request& request);
    void receive_cancel(attempt_id attempt);
    void receive_release(attempt_id attempt);
    void refuse(const wire::peer_route& to, const wire::run_request& request, failure why);
    void join(const wire::peer_route& from, const wire::run_request& request, const record_ptr& record);
    void enqueue(const wire::peer_route& from, const wire::run_request& request);
    void reply_load(const wire::peer_route& to);
    void receive_free(const wire::peer_route& from, const wire::free_request& request);
    void receive_order(const wire::peer_route& from, const wire::order_request& request);

    // Running attempts (attempt_runner.cpp).
    void pump();
    boost::asio::awaitable<void> run(attempt_id attempt, record_ptr record);
    boost::asio::awaitable<bool> take_part(attempt_id attempt, record_ptr record, int status,
                                           const std::string& content_type, std::string part);
    void add_chunk(const record_ptr& record, chunk_kind kind, std::string data);
    void end(attempt_id attempt, const record_ptr& record, failure why);
    void send_chunk(const wire::peer_route& to, const wire::run_chunk& chunk);
    void adopt_finished(time_point now);
    boost::asio::awaitable<void> close_self(attempt_id attempt, record_ptr record);
    boost::asio::awaitable<void> note_upstream_lost();
    boost::asio::awaitable<void> free_memory(std::string organisation, std::string program);
    boost::asio::awaitable<void> free_all_memory();

    // Talk with entries and the upstream (sidecar_links.cpp).
    boost::asio::awaitable<void> announce_loop();
    boost::asio::awaitable<void> poll_loop();
    boost::asio::awaitable<void> health_loop();
    boost::asio::awaitable<void> check_loop();
    boost::asio::awaitable<wire::envelope_ptr> ask_entry(wire::envelope question, duration limit);
    boost::asio::awaitable<bool> announce_once();
    boost::asio::awaitable<bool> is_upstream_alive();
    void refresh_gate(time_point now);
    [[nodiscard]] wire::load_report load() const;
    [[nodiscard]] http::request make_request(const wire::run_request& request) const;

    settings settings_;
    sidecar_settings own_;
    runtime::worker_pool& pool_;
    incarnation_id self_; ///< of this process
    std::unique_ptr<wire::link> links_;
    http::metric_set metrics_;
    std::unique_ptr<http::server> metrics_server_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> entry_turn_{0};

    mutable std::mutex mutex_; ///< guards everything below
    scheduling::attempt_table table_;
    scheduling::call_queue queue_;
    scheduling::window_state window_;
    std::map<attempt_id, record_ptr> records_;
    configuration::object_set objects_;
    configuration::view_ptr view_;
    std::uint64_t revision_ = 0;
    time_point confirmed_at_{};   ///< since when the configuration is known to be current
    time_point entry_heard_at_{}; ///< when an entry last answered
    bool upstream_alive_ = false;
    bool announced_leaving_ = false;
    std::uint64_t control_term_ = 0; ///< newest fencing number seen
    double mean_call_seconds_ = 1.0;
    double seconds_per_token_ = 0.02;
    double prefill_tokens_per_second_ = 4000;
    std::uint64_t finished_count_ = 0;
    std::uint64_t refused_count_ = 0;
};

} // namespace guavawick::sidecar
