// Congestion estimate of a service. Pure functions; thread safety: one thread a service.
#pragma once

#include "admission/congestion_type.hpp"

namespace guavawick::admission {

/// Adds to a decayed sum.
void add(decayed_sum& sum, double amount, duration half_life, time_point now);
/// @return the value of a decayed sum at a time.
double value_at(const decayed_sum& sum, duration half_life, time_point now);
/// @return amount per second that a decayed sum stands for.
double rate_at(const decayed_sum& sum, duration half_life, time_point now);

/// Records the time to the first event of a stream, as soon as it is known.
void record_first_event(service_congestion& service, const turn_observation& turn,
                        const congestion_settings& settings, time_point now);
/// Records the end of a stream. @pre record_first_event() was called for it.
void record_turn(service_congestion& service, const turn_observation& turn,
                 const congestion_settings& settings, time_point now);
/// Records that a program's first turn was admitted.
void record_program_start(service_congestion& service, const congestion_settings& settings, time_point now);
/// Records that an instance did not take a call because it was full.
void record_rejection(service_congestion& service, const congestion_settings& settings, time_point now);

/// @return how many times longer turns take now than they took at least lately; 1 if too little was observed.
/// It is the median over instances, so that a slow minority does not count.
double estimate_stretch(const service_congestion& service, const congestion_settings& settings,
                        time_point now);
/// @return turns that end per second at this gateway.
double turn_rate(const service_congestion& service, const congestion_settings& settings, time_point now);
/// @return turns of a program; at least 1.
double turns_per_program(const service_congestion& service, const congestion_settings& settings,
                         time_point now);
/// @return the shortest time in which a turn ends on an idle instance; zero if nothing was observed yet.
duration least_turn_time(const service_congestion& service, const congestion_settings& settings,
                         time_point now);

} // namespace guavawick::admission
