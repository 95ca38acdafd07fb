// The process-wide steady clock, which tests can pause and advance.
#pragma once

#include <chrono>
#include <cstdint>

namespace guavawick {

/// A steady clock that tests can pause and advance; meets the requirements of an Asio timer clock.
/// Thread safety: every function may be called from any thread.
struct runtime_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<runtime_clock>;
    static constexpr bool is_steady = true;

    /// @return the current time of this process; time points of different processes are not comparable.
    static time_point now() noexcept;
    /// Stops the clock at its current value until resume().
    static void pause() noexcept;
    /// Moves a paused or running clock forward. @pre step is not negative.
    static void advance(duration step) noexcept;
    /// Restarts a paused clock from its current value.
    static void resume() noexcept;
    /// @return milliseconds since the Unix epoch; for display only, never an input of a decision.
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

/// Maximum relative drift between two steady clocks; leases allow for it.
constexpr double max_clock_drift = 0.01;

/// @return how long the holder of a lease may rely on it: the granted time less the clock drift.
constexpr duration holder_lease_time(duration granted)
{
    return from_seconds(to_seconds(granted) * (1.0 - max_clock_drift));
}

/// @return the time after which the grantor of a lease may treat it as expired: the granted time plus the
/// clock drift.
constexpr duration grantor_lease_time(duration granted)
{
    return from_seconds(to_seconds(granted) * (1.0 + max_clock_drift));
}

} // namespace guavawick
