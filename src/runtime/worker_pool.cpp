// The pool of worker threads of a process and its stop signals.
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

worker_pool::worker_pool(std::size_t threads) : guard_(asio::make_work_guard(context_))
{
    for (std::size_t i = 0; i < threads; ++i) {
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
    for (std::thread& one : threads_) {
        if (one.joinable()) {
            one.join();
        }
    }
}

namespace {

void log_fault(const std::exception_ptr& fault)
{
    if (!fault) {
        return;
    }
    try {
        std::rethrow_exception(fault);
    }
    catch (const std::exception& error) {
        log_event(event::internal_fault, {{"reason", error.what()}});
    }
}

} // namespace

void spawn(const asio::any_io_executor& pool, asio::awaitable<void> work)
{
    // Posted, never run in place: the caller may hold a lock that the coroutine takes.
    auto strand = asio::make_strand(pool);
    asio::post(strand, [strand, work = std::move(work)]() mutable {
        asio::co_spawn(strand, std::move(work), log_fault);
    });
}

asio::awaitable<void> wait_for(std::chrono::nanoseconds step)
{
    asio::basic_waitable_timer<runtime_clock> timer(co_await asio::this_coro::executor);
    timer.expires_after(step);
    boost::system::error_code cancelled;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
}

namespace {

sigset_t stop_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

void block_signals()
{
    const sigset_t set = stop_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void wait_for_stop_signal()
{
    const sigset_t set = stop_signals();
    int received = 0;
    sigwait(&set, &received);
    std::thread([] {
        const sigset_t again = stop_signals();
        int second = 0;
        sigwait(&again, &second);
        std::_Exit(1);
    }).detach();
}

void start_stop_watchdog(std::chrono::nanoseconds limit)
{
    if (limit.count() <= 0) {
        return;
    }
    std::thread([limit] {
        std::this_thread::sleep_for(limit);
        std::_Exit(1);
    }).detach();
}

} // namespace guavawick::runtime
