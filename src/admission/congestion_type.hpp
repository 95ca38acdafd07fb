// What a gateway observes of the load of a service, without the views of other gateways.
#pragma once

#include "base/clock_type.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace guavawick::admission {

using namespace std::chrono_literals;

constexpr std::size_t sample_count = 32; ///< at 28 turns a second and gateway, the last second
constexpr std::size_t bucket_count = 64; ///< half octaves of the tokens to be read, warm and cold apart

/// Constants of the estimate.
struct congestion_settings {
    duration max_sample_age = 3s;           ///< older observations say nothing about the present
    std::size_t min_instances = 3;          ///< fewer can't outvote one slow instance
    duration rate_half_life = 3s;           ///< of the rate of finished turns; long enough for tens of turns
    duration program_half_life = 30s;       ///< of the turns per program; several times a program's duration
    double least_growth_per_second = 0.005; ///< an overload of 20 s raises the least times by a tenth
    double least_weight = 0.2; ///< of an observation below the least time, so that one outlier is outvoted
};

/// A count of events, or a sum, that halves with each half-life.
struct decayed_sum {
    double value = 0; ///< as of `at`
    time_point at{};
};

/// Shortest time lately for the same amount of work. Zero milliseconds: nothing was observed yet.
struct least_time {
    double ms = 0;
    time_point at{};
};

/// One observation relative to the least time of its amount of work.
struct ratio_sample {
    std::uint64_t instance = 0; ///< hash of its id
    double ratio = 1;
    time_point at{};
};

/// The last observations of one kind, the oldest is overwritten.
struct ratio_window {
    std::array<ratio_sample, sample_count> samples{};
    std::size_t next = 0;
};

/// Observations of one service at one gateway.
struct service_congestion {
    std::array<least_time, bucket_count> least_first_event{}; ///< by tokens to be read
    least_time least_gap;
    ratio_window first_events;
    ratio_window gaps;
    decayed_sum turns;      ///< turns that ended, for their rate
    decayed_sum rejections; ///< answers "not executed" of full instances
    decayed_sum long_turns; ///< turns that ended, over a longer time
    decayed_sum programs;   ///< programs that started, over the same longer time
    decayed_sum first_ms;   ///< sum of least times to the first event, over the same turns
    decayed_sum gap_ms;     ///< sum of least times between first and last event, over the same turns
};

/// A stream that ended in order.
struct turn_observation {
    std::uint64_t instance = 0; ///< hash of its id
    std::uint64_t prompt_tokens = 0;
    std::uint64_t new_tokens = 0; ///< of the prompt's last part
    bool warm = false;            ///< sent to the instance that has the history cached
    double first_event_ms = 0;    ///< from sending to the first event
    double stream_ms = 0;         ///< from the first to the last event
    std::uint64_t events = 0;
};

} // namespace guavawick::admission
