// The clock of the runtime.
#include "base/clock_type.hpp"

#include <atomic>
#include <ctime>

namespace guavawick {
namespace {

std::atomic<std::int64_t> clock_offset{0};   ///< added to the steady clock, nanoseconds
std::atomic<std::int64_t> clock_stopped{-1}; ///< the value of a paused clock, -1 while it runs

std::int64_t steady_now() noexcept
{
    // Counts the time that a suspended machine slept through, which the steady clock of the library leaves
    // out: a lease must not seem to hold after it.
    timespec since_boot{};
    ::clock_gettime(CLOCK_BOOTTIME, &since_boot);
    constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;
    return since_boot.tv_sec * nanoseconds_per_second + since_boot.tv_nsec;
}

} // namespace

time_point runtime_clock::now() noexcept
{
    const std::int64_t stopped = clock_stopped.load();
    if (stopped >= 0) {
        return time_point{duration{stopped}};
    }
    return time_point{duration{steady_now() + clock_offset.load()}};
}

void runtime_clock::pause() noexcept
{
    clock_stopped.store(now().time_since_epoch().count());
}

void runtime_clock::advance(duration step) noexcept
{
    if (clock_stopped.load() >= 0) {
        clock_stopped.fetch_add(step.count());
        return;
    }
    clock_offset.fetch_add(step.count());
}

void runtime_clock::resume() noexcept
{
    const std::int64_t stopped = clock_stopped.exchange(-1);
    if (stopped >= 0) {
        clock_offset.store(stopped - steady_now());
    }
}

std::int64_t runtime_clock::unix_ms() noexcept
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

} // namespace guavawick
