// What a gateway learns about the speed of instances.
#include "load/load_func.hpp"

#include <algorithm>
#include <cmath>

namespace guavawick::load {
namespace {

/// Learned values within this distance of the usual (as log2) count as usual. The pauses of single calls vary
/// with the prefills of their batch; without this margin the simulated burst moved 7 in 100 turns off their
/// warm engines.
constexpr double usual_range = 0.6;

double decay(duration age, duration half_life)
{
    return std::exp2(-std::max(0.0, to_seconds(age)) / to_seconds(half_life));
}

double recent_log_slowness(const instance_timing& instance, const load_settings& settings, time_point now)
{
    return instance.log_slowness * decay(now - instance.slowness_at, settings.slowness_half_life);
}

/// Compares a sample with the median of its service, then adds it to both.
void record_sample(instance_timing& instance, running_median& median, double sample_ms, double gain,
                   const load_settings& settings, time_point now)
{
    if (sample_ms <= 0) {
        return;
    }
    if (median.ms <= 0) {
        median.ms = sample_ms;
        return;
    }
    const double learned = recent_log_slowness(instance, settings, now);
    const double deviation = std::clamp(std::log2(sample_ms / median.ms) - learned, -settings.max_deviation,
                                        settings.max_deviation);
    instance.log_slowness =
        std::clamp(learned + gain * deviation, -settings.max_slowness, settings.max_slowness);
    instance.slowness_at = now;
    median.ms *= sample_ms > median.ms ? 1 + settings.median_step : 1 / (1 + settings.median_step);
}

} // namespace

void record_pace(instance_timing& instance, std::uint32_t pace_percent, const load_settings& settings,
                 time_point now)
{
    instance.pace = std::clamp(pace_percent / 100.0, settings.min_pace, settings.max_pace);
    instance.pace_at = now;
}

void record_call(instance_timing& instance, service_timing& service, const call_timing& call,
                 const load_settings& settings, time_point now)
{
    if (call.events == 0) {
        record_sample(instance, service.response, to_seconds(call.response) * 1000, settings.response_gain,
                      settings, now);
        return;
    }
    record_sample(instance, service.first_event, to_seconds(call.first_event) * 1000,
                  settings.first_event_gain, settings, now);
    if (call.events > 1) {
        const double pause_ms = to_seconds(call.all_pauses) * 1000 / static_cast<double>(call.events - 1);
        record_sample(instance, service.pause, pause_ms, settings.pause_gain, settings, now);
    }
}

double recent_pace(const instance_timing& instance, const load_settings& settings, time_point now)
{
    return std::exp2(std::log2(instance.pace) * decay(now - instance.pace_at, settings.pace_half_life));
}

double recent_slowness(const instance_timing& instance, const load_settings& settings, time_point now)
{
    const double learned = recent_log_slowness(instance, settings, now);
    const double beyond_usual = std::max(0.0, std::abs(learned) - usual_range);
    return std::exp2(std::copysign(beyond_usual, learned));
}

} // namespace guavawick::load
