// What a gateway learns about the speed of instances. Pure functions.
#pragma once

#include "load/load_type.hpp"

namespace guavawick::load {

/// Records the pace that an instance reported. @param pace_percent 100 is usual; bounded by the settings.
void record_pace(instance_timing& instance, std::uint32_t pace_percent, const load_settings& settings,
                 time_point now);
/// Records the durations of a call and compares them with those usual at its service.
void record_call(instance_timing& instance, service_timing& service, const call_timing& call,
                 const load_settings& settings, time_point now);
/// @return the reported pace, which decays to 1.
double recent_pace(const instance_timing& instance, const load_settings& settings, time_point now);
/// @return how long work takes at the instance relative to its service, as learned; it decays to 1, so that
/// a slow instance is tried again.
double recent_slowness(const instance_timing& instance, const load_settings& settings, time_point now);

} // namespace guavawick::load
