// Types for what a gateway learns about the speed of instances.
#pragma once

#include "base/clock_type.hpp"

#include <cstdint>

namespace guavawick::load {

using namespace std::chrono_literals;

/// Parameters of the learned slowness and of the reported pace.
struct load_settings {
    duration pace_half_life = 300ms; ///< instances report another pace many times a second
    double min_pace = 0.1;           ///< bounds of a reported pace; an instance can't make itself look idle
    double max_pace = 10;
    duration slowness_half_life = 3s; ///< a tenth of it is left after 10 s, so that calls probe the instance
    double pause_gain = 0.3;          ///< weight of the pauses of one call
    double first_event_gain = 0.1;    ///< of one time to the first event, which also depends on the queue
    double response_gain = 0.3;       ///< of one response time of a plain service
    double max_deviation = 1.5;       ///< of a sample from the learned value, as log2; bounds an outlier
    double max_slowness = 3;          ///< as log2: 8 times slower or faster
    double median_step = 0.05;        ///< relative step of a median for each sample
};

/// Approximate median of a stream of durations. Each sample moves it by the same step, whatever its size.
struct running_median {
    double ms = 0; ///< 0: no sample yet
};

/// Usual durations at the instances of one service. Thread safety: none.
struct service_timing {
    running_median first_event;
    running_median pause;
    running_median response;
};

/// Learned speed and reported pace of one instance. Thread safety: none.
struct instance_timing {
    double log_slowness = 0; ///< log2 of the duration of work relative to the service, as of slowness_at
    time_point slowness_at{};
    double pace = 1; ///< duration of work relative to the usual, as reported at pace_at
    time_point pace_at{};
};

/// What a gateway measured of one call that ran to its end.
struct call_timing {
    duration first_event{};   ///< from sending to the first event; zero for a plain service
    duration all_pauses{};    ///< from the first to the last event
    std::uint64_t events = 0; ///< zero for a plain service
    duration response{};      ///< from sending to the end
};

} // namespace guavawick::load
