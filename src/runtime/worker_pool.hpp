// The pool of worker threads of a process and its stop signals.
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

/// Runs handlers and coroutines on a fixed number of threads. Thread safety: every function from any thread.
class worker_pool {
public:
    /// Starts the threads. @pre threads is at least 1.
    explicit worker_pool(std::size_t threads);
    ~worker_pool();
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    /// @return the executor of the pool.
    [[nodiscard]] boost::asio::any_io_executor executor() { return context_.get_executor(); }
    /// Runs a coroutine on a strand of its own; an exception that escapes is logged.
    void spawn(boost::asio::awaitable<void> work);
    /// Stops the threads; handlers that wait are dropped.
    void stop();

private:
    boost::asio::io_context context_;
    std::optional<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> guard_;
    std::vector<std::thread> threads_;
};

/// Runs a coroutine on a strand of an executor; an exception that escapes is logged.
void spawn(const boost::asio::any_io_executor& pool, boost::asio::awaitable<void> work);
/// Waits on the runtime's clock.
boost::asio::awaitable<void> wait_for(std::chrono::nanoseconds step);

/// Blocks until SIGTERM or SIGINT. A second one ends the process at once with status 1.
/// @pre called by the main thread, after block_signals().
void wait_for_stop_signal();
/// Keeps stop signals from the threads that are started later. @pre no thread was started yet.
void block_signals();
/// Ends the process with status 1 if it still runs after `limit`; 0 means never.
void start_stop_watchdog(std::chrono::nanoseconds limit);

} // namespace guavawick::runtime
