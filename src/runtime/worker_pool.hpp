// Worker threads of a process, coroutine helpers and the handling of stop signals.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <exception>
#include <functional>
#include <optional>
#include <thread>
#include <vector>

namespace guavawick::runtime {

/// Runs handlers and coroutines on a fixed number of threads.
/// Thread safety: every function may be called from any thread.
class worker_pool {
public:
    /// Starts the threads. @pre thread_count is at least 1.
    explicit worker_pool(std::size_t thread_count);
    ~worker_pool();
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    /// @return the executor of the pool.
    [[nodiscard]] boost::asio::any_io_executor executor() { return context_.get_executor(); }
    /// Starts a coroutine on its own strand; an exception that escapes from it is logged.
    void spawn(boost::asio::awaitable<void> work);
    /// Stops and joins the threads; handlers that have not started are dropped. Idempotent.
    void stop();

private:
    boost::asio::io_context context_;
    std::optional<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> guard_;
    std::vector<std::thread> threads_;
};

/// Starts a coroutine on a new strand of an executor; an exception that escapes from it is logged.
void spawn(const boost::asio::any_io_executor& executor, boost::asio::awaitable<void> work);
/// Suspends the coroutine for a time measured by runtime_clock.
boost::asio::awaitable<void> wait_for(std::chrono::nanoseconds delay);

/// Blocks until SIGTERM or SIGINT arrives. A second signal ends the process at once with status 1.
/// @pre called by the main thread, after block_signals().
void wait_for_stop_signal();
/// Blocks SIGTERM and SIGINT in this thread and those started later, and ignores SIGPIPE.
/// @pre no other thread was started yet.
void block_signals();
/// Ends the process with status 1 if it still runs after `timeout`; 0 means never.
void start_stop_watchdog(std::chrono::nanoseconds timeout);

} // namespace guavawick::runtime
