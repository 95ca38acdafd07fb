// The clock of the runtime: steady, and under the control of tests.
#pragma once

#include <chrono>
#include <cstdint>

namespace guavawick {

/// A steady clock that tests pause and advance; usable as the clock of asio timers.
/// Thread safety: every function may be called from any thread.
struct runtime_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<runtime_clock>;
    static constexpr bool is_steady = true;

    /// @return the current time of this process; instants of two processes are never comparable.
    static time_point now() noexcept;
    /// Stops the clock at its present value until resume().
    static void pause() noexcept;
    /// Moves a paused or running clock forward. @pre step is not negative.
    static void advance(duration step) noexcept;
    /// Lets a paused clock run on from where it stands.
    static void resume() noexcept;
    /// @return milliseconds since the Unix epoch, for people to read; never used in a decision.
    static std::int64_t unix_ms() noexcept;
};

using time_point = runtime_clock::time_point;
using duration = runtime_clock::duration;

/// @return a duration as fractional seconds.
constexpr double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// @return fractional seconds as a duration.
constexpr duration from_seconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

/// @return a duration as whole milliseconds.
constexpr std::int64_t to_ms(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/// The most by which two steady clocks may drift apart, as a share; leases allow for it.
constexpr double max_clock_drift = 0.01;

/// @return the part of a granted lease that its holder may rely on.
constexpr duration holder_lease_time(duration granted)
{
    return from_seconds(to_seconds(granted) * (1.0 - max_clock_drift));
}

/// @return the time after which a giver may count a lease as lapsed.
constexpr duration grantor_lease_time(duration granted)
{
    return from_seconds(to_seconds(granted) * (1.0 + max_clock_drift));
}

} // namespace guavawick
