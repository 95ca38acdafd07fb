// Worker threads of a process and the handling of stop signals.
#include "runtime/worker_pool.hpp"

#include "base/clock_type.hpp"
#include "base/event_type.hpp"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <cstdlib>
#include <pthread.h>

namespace guavawick::runtime {

namespace asio = boost::asio;

worker_pool::worker_pool(std::size_t thread_count) : guard_(asio::make_work_guard(context_))
{
    for (std::size_t i = 0; i < thread_count; ++i) {
        threads_.emplace_back([this] { context_.run(); });
    }
}

worker_pool::~worker_pool()
{
    stop();
}

void worker_pool::spawn(asio::awaitable<void> work)
{
    runtime::spawn(context_.get_executor(), std::move(work));
}

void worker_pool::stop()
{
    guard_.reset();
    context_.stop();
    for (std::thread& thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

namespace {

void log_exception(const std::exception_ptr& exception)
{
    if (!exception) {
        return;
    }
    try {
        std::rethrow_exception(exception);
    }
    catch (const std::exception& error) {
        log_event(event::internal_fault, {{"reason", error.what()}});
    }
}

} // namespace

void spawn(const asio::any_io_executor& executor, asio::awaitable<void> work)
{
    // Posted rather than run in place: the caller may hold a lock that the coroutine acquires.
    auto strand = asio::make_strand(executor);
    asio::post(strand, [strand, work = std::move(work)]() mutable {
        asio::co_spawn(strand, std::move(work), log_exception);
    });
}

asio::awaitable<void> wait_for(std::chrono::nanoseconds delay)
{
    asio::basic_waitable_timer<runtime_clock> timer(co_await asio::this_coro::executor);
    timer.expires_after(delay);
    boost::system::error_code ignored_error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored_error));
}

namespace {

sigset_t stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void block_signals()
{
    const sigset_t signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void wait_for_stop_signal()
{
    const sigset_t signals = stop_signals();
    int signal_number = 0;
    sigwait(&signals, &signal_number);
    std::thread([] {
        const sigset_t signals = stop_signals();
        int ignored_signal = 0;
        sigwait(&signals, &ignored_signal);
        std::_Exit(1);
    }).detach();
}

void start_stop_watchdog(std::chrono::nanoseconds timeout)
{
    if (timeout.count() <= 0) {
        return;
    }
    std::thread([timeout] {
        std::this_thread::sleep_for(timeout);
        std::_Exit(1);
    }).detach();
}

} // namespace guavawick::runtime
