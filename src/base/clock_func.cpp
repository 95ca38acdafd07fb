// Implements the steady clock on CLOCK_BOOTTIME.
#include "base/clock_type.hpp"
#include "base/unix_time_step.hpp"

#include <atomic>
#include <ctime>

namespace guavawick {
namespace {

std::atomic<std::int64_t> clock_offset{0}; ///< nanoseconds added to CLOCK_BOOTTIME
std::atomic<std::int64_t> unix_offset{0};  ///< milliseconds added to the wall clock
std::atomic<std::int64_t> paused_at{-1};   ///< nanoseconds at which the clock is paused; -1 while it runs

std::int64_t steady_now() noexcept
{
    // CLOCK_BOOTTIME includes the time for which the machine was suspended, unlike std::chrono::steady_clock:
    // otherwise a lease that expired during the suspension would still seem valid.
    timespec since_boot{};
    ::clock_gettime(CLOCK_BOOTTIME, &since_boot);
    constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;
    return since_boot.tv_sec * nanoseconds_per_second + since_boot.tv_nsec;
}

} // namespace

time_point runtime_clock::now() noexcept
{
    const std::int64_t paused = paused_at.load();
    if (paused >= 0) {
        return time_point{duration{paused}};
    }
    return time_point{duration{steady_now() + clock_offset.load()}};
}

void runtime_clock::pause() noexcept
{
    paused_at.store(now().time_since_epoch().count());
}

void runtime_clock::advance(duration step) noexcept
{
    if (paused_at.load() >= 0) {
        paused_at.fetch_add(step.count());
        return;
    }
    clock_offset.fetch_add(step.count());
}

void runtime_clock::resume() noexcept
{
    const std::int64_t paused = paused_at.exchange(-1);
    if (paused >= 0) {
        clock_offset.store(paused - steady_now());
    }
}

std::int64_t runtime_clock::unix_ms() noexcept
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count() + unix_offset.load();
}

void step_unix_time(std::chrono::milliseconds step) noexcept
{
    unix_offset.fetch_add(step.count());
}

} // namespace guavawick
