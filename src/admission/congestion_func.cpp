// Congestion estimate of a service.
#include "admission/congestion_func.hpp"

#include <algorithm>
#include <cmath>

namespace guavawick::admission {
namespace {

constexpr double buckets_per_octave = 2;
constexpr double min_least_ms = 1; ///< below the resolution of observations
constexpr double max_ratio = 50;   ///< of one observation; a hung instance must not dominate any sum

/// @return the index of the bucket for the tokens that the instance has to read.
std::size_t find_bucket(const turn_observation& turn)
{
    const std::uint64_t tokens = std::max<std::uint64_t>(turn.warm ? turn.new_tokens : turn.prompt_tokens, 1);
    const auto index = static_cast<std::size_t>(std::log2(static_cast<double>(tokens)) * buckets_per_octave);
    const std::size_t half = bucket_count / 2;
    return std::min(index, half - 1) + (turn.warm ? half : 0);
}

/// Updates a least time and returns the ratio of an observation to it.
double compare_with_least(least_time& least, double ms, const congestion_settings& settings, time_point now)
{
    const double observed_ms = std::max(ms, min_least_ms);
    if (least.ms <= 0) {
        least.ms = observed_ms;
    }
    else if (observed_ms < least.ms) {
        least.ms += settings.least_weight * (observed_ms - least.ms);
    }
    else {
        const double seconds = std::max(to_seconds(now - least.at), 0.0);
        least.ms =
            std::min(observed_ms, least.ms * (1 + std::min(seconds, 1.0) * settings.least_growth_per_second));
    }
    least.at = now;
    return std::clamp(observed_ms / least.ms, 1.0, max_ratio);
}

void add_sample(ratio_window& window, std::uint64_t instance, double ratio, time_point now)
{
    window.samples[window.next] = {instance, ratio, now};
    window.next = (window.next + 1) % sample_count;
}

/// @return the median over instances of their latest ratio; 1 if too few instances were observed lately.
double find_median(const ratio_window& window, const congestion_settings& settings, time_point now)
{
    std::array<ratio_sample, sample_count> latest{};
    std::size_t count = 0;
    for (std::size_t i = 0; i < sample_count; ++i) {
        const ratio_sample& sample = window.samples[(window.next + sample_count - 1 - i) % sample_count];
        if (sample.instance == 0 || now - sample.at > settings.max_sample_age) {
            break; // older ones follow
        }
        const auto end = latest.begin() + static_cast<std::ptrdiff_t>(count);
        const bool is_known = std::any_of(latest.begin(), end, [&sample](const ratio_sample& other) {
            return other.instance == sample.instance;
        });
        if (!is_known) {
            latest[count++] = sample;
        }
    }
    if (count < settings.min_instances) {
        return 1;
    }
    const auto middle = latest.begin() + static_cast<std::ptrdiff_t>(count / 2);
    std::nth_element(latest.begin(), middle, latest.begin() + static_cast<std::ptrdiff_t>(count),
                     [](const ratio_sample& a, const ratio_sample& b) { return a.ratio < b.ratio; });
    return middle->ratio;
}

} // namespace

void add(decayed_sum& sum, double amount, duration half_life, time_point now)
{
    sum.value = value_at(sum, half_life, now) + amount;
    sum.at = std::max(sum.at, now);
}

double value_at(const decayed_sum& sum, duration half_life, time_point now)
{
    return sum.value <= 0
               ? 0
               : sum.value * std::exp2(-std::max(to_seconds(now - sum.at), 0.0) / to_seconds(half_life));
}

double rate_at(const decayed_sum& sum, duration half_life, time_point now)
{
    return value_at(sum, half_life, now) * std::log(2.0) / to_seconds(half_life);
}

void record_first_event(service_congestion& service, const turn_observation& turn,
                        const congestion_settings& settings, time_point now)
{
    least_time& least = service.least_first_event[find_bucket(turn)];
    add_sample(service.first_events, turn.instance,
               compare_with_least(least, turn.first_event_ms, settings, now), now);
}

void record_turn(service_congestion& service, const turn_observation& turn,
                 const congestion_settings& settings, time_point now)
{
    add(service.turns, 1, settings.rate_half_life, now);
    if (turn.events < 2) {
        return;
    }
    const double gap_count = static_cast<double>(turn.events - 1);
    const double ratio = compare_with_least(service.least_gap, turn.stream_ms / gap_count, settings, now);
    add_sample(service.gaps, turn.instance, ratio, now);
    add(service.long_turns, 1, settings.program_half_life, now);
    add(service.first_ms, service.least_first_event[find_bucket(turn)].ms, settings.program_half_life, now);
    add(service.gap_ms, service.least_gap.ms * gap_count, settings.program_half_life, now);
}

void record_program_start(service_congestion& service, const congestion_settings& settings, time_point now)
{
    add(service.programs, 1, settings.program_half_life, now);
}

void record_rejection(service_congestion& service, const congestion_settings& settings, time_point now)
{
    add(service.rejections, 1, settings.rate_half_life, now);
}

double estimate_stretch(const service_congestion& service, const congestion_settings& settings,
                        time_point now)
{
    const double first_ms = value_at(service.first_ms, settings.program_half_life, now);
    const double gap_ms = value_at(service.gap_ms, settings.program_half_life, now);
    if (first_ms + gap_ms <= 0) {
        return 1;
    }
    return (first_ms * find_median(service.first_events, settings, now) +
            gap_ms * find_median(service.gaps, settings, now)) /
           (first_ms + gap_ms);
}

double turn_rate(const service_congestion& service, const congestion_settings& settings, time_point now)
{
    return rate_at(service.turns, settings.rate_half_life, now);
}

double turns_per_program(const service_congestion& service, const congestion_settings& settings,
                         time_point now)
{
    const double programs = value_at(service.programs, settings.program_half_life, now);
    return std::max(1.0,
                    value_at(service.long_turns, settings.program_half_life, now) / std::max(programs, 1.0));
}

duration least_turn_time(const service_congestion& service, const congestion_settings& settings,
                         time_point now)
{
    const double turns = value_at(service.long_turns, settings.program_half_life, now);
    if (turns <= 0) {
        return {};
    }
    const double ms = (value_at(service.first_ms, settings.program_half_life, now) +
                       value_at(service.gap_ms, settings.program_half_life, now)) /
                      turns;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

} // namespace guavawick::admission
