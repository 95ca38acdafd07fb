// The sidecar role: admission, queueing and fencing for one upstream.
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

/// Sidecar process of one upstream. Thread safety: call start(), stop() and close() from one thread; all
/// other work runs on the worker pool. Lock order: `mutex_` is locked before the link's mutex.
class sidecar_process {
public:
    sidecar_process(const settings& process_settings, const sidecar_settings& upstream_settings,
                    runtime::worker_pool& pool);
    ~sidecar_process();
    /// Starts serving. @throw link_error if the link can't listen.
    void start();
    /// Announces that the upstream is leaving, refuses new attempts and waits until all ends are confirmed.
    /// Returns earlier if no entry can be reached and nothing runs any more.
    void stop();
    /// Closes the links. @pre stop() returned and the pool's threads have stopped.
    void close();

private:
    void add_metrics();
    using record_ptr = std::shared_ptr<attempt_record>;

    // Requests from entries (sidecar_process.cpp).
    void handle_message(const wire::reply_target& from, const wire::envelope_ptr& message);
    void handle_run(const wire::reply_target& from, const wire::run_request& request);
    void handle_cancel(attempt_id attempt);
    void handle_release(attempt_id attempt);
    void send_refusal(const wire::reply_target& to, const wire::run_request& request, failure error);
    void join_attempt(const wire::reply_target& from, const wire::run_request& request,
                      const record_ptr& record);
    void enqueue(const wire::reply_target& from, const wire::run_request& request);
    void send_load_report(const wire::reply_target& to);
    void handle_free(const wire::reply_target& from, const wire::free_request& request);
    void handle_order(const wire::reply_target& from, const wire::order_request& request);

    // Running attempts (attempt_runner.cpp).
    void start_queued_attempts();
    boost::asio::awaitable<void> run_attempt(attempt_id attempt, record_ptr record);
    boost::asio::awaitable<bool> receive_part(attempt_id attempt, record_ptr record, int status,
                                              const std::string& content_type, std::string part);
    void add_chunk(const record_ptr& record, chunk_kind kind, std::string data);
    void finish_attempt(attempt_id attempt, const record_ptr& record, failure outcome);
    void send_chunk(const wire::reply_target& to, const wire::run_chunk& chunk);
    void report_unconfirmed_ends(time_point now);
    boost::asio::awaitable<void> report_end(attempt_id attempt, record_ptr record);
    boost::asio::awaitable<void> handle_upstream_loss();
    boost::asio::awaitable<void> free_program_memory(std::string organisation, std::string program);
    boost::asio::awaitable<void> free_all_memory();

    // Communication with entries and the upstream (sidecar_links.cpp).
    boost::asio::awaitable<void> announce_loop();
    boost::asio::awaitable<void> configuration_poll_loop();
    boost::asio::awaitable<void> health_loop();
    boost::asio::awaitable<void> maintenance_loop();
    boost::asio::awaitable<wire::envelope_ptr> request_from_entry(wire::envelope request, duration timeout);
    boost::asio::awaitable<bool> announce_once();
    boost::asio::awaitable<bool> probe_upstream();
    void update_admission(time_point now);
    [[nodiscard]] wire::load_report make_load_report() const;
    [[nodiscard]] http::request make_request(const wire::run_request& request) const;

    settings settings_;
    sidecar_settings sidecar_settings_;
    runtime::worker_pool& pool_;
    incarnation_id process_incarnation_;
    std::unique_ptr<wire::link> links_;
    http::metric_set metrics_;
    std::unique_ptr<http::server> metrics_server_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> next_entry_{0};

    mutable std::mutex mutex_; ///< guards everything below
    scheduling::attempt_table table_;
    scheduling::call_queue queue_;
    scheduling::window_state window_;
    std::map<attempt_id, record_ptr> records_;
    configuration::object_set objects_;
    configuration::view_ptr view_;
    std::uint64_t revision_ = 0;
    time_point configuration_confirmed_at_{}; ///< when the configuration was last known to be current
    time_point last_entry_contact_{};         ///< when an entry last replied
    bool upstream_alive_ = false;
    bool announced_leaving_ = false;
    std::uint64_t fencing_token_ = 0; ///< highest fencing token seen
    double mean_call_seconds_ = 1.0;
    double seconds_per_token_ = 0.02;
    double prefill_tokens_per_second_ = 4000;
    std::uint64_t finished_count_ = 0;
    std::uint64_t refused_count_ = 0;
};

} // namespace guavawick::sidecar
