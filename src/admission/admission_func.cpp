// Decisions on the admission of programs.
#include "admission/admission_func.hpp"

#include "admission/congestion_func.hpp"

#include <algorithm>
#include <cmath>

namespace guavawick::admission {
namespace {

constexpr double min_active_tokens = 100;        ///< an organisation with less has gone
constexpr double min_start_rate = 0.05;          ///< per second; keeps the pace finite while no turn ends
constexpr double min_retry_after_seconds = 0.02; ///< two steps of the header's resolution
constexpr double max_return_share = 1.0 / 3;     ///< of the time that the caller has left

duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

/// @return how long a program may be held before it starts.
duration max_hold(const start_request& request, const admission_settings& settings)
{
    const double seconds = to_seconds(request.finish_in) * settings.hold_share;
    return std::clamp<duration>(
        from_seconds(seconds), duration{},
        std::min(settings.max_hold, std::max<duration>(request.time_left / 3, duration{})));
}

/// @return how many intervals of the pace a program may start ahead of its turn. Negative: it starts only if
/// the pace has had no other program for a while.
double start_credit(const start_request& request, const admission_settings& settings)
{
    const double by_priority = std::min(request.priority, settings.priority_steps) * settings.priority_credit;
    const double by_share = std::log2(std::max(request.share_use, 1.0));
    return std::clamp(settings.max_credit - by_priority - by_share, settings.min_credit, settings.max_credit);
}

/// @return when a refused caller should return: in the order of refusals at the pace of starts, spread.
duration make_retry_after(service_admission& service, const start_request& request, double rate,
                          const admission_settings& settings, time_point now)
{
    service.next_return_at =
        std::max({service.next_return_at, service.next_start_at, now}) + from_seconds(1 / rate);
    service.next_return_at = std::min(service.next_return_at, now + settings.max_retry_after);
    const double left = to_seconds(std::min(request.time_left, request.finish_in));
    const double wait =
        std::max(to_seconds(service.next_return_at - now), to_seconds(settings.min_retry_after));
    // The spread stays within what the caller has left, or those with little time would return together.
    const double spread = 1 + settings.retry_spread * request.random;
    const double limit =
        std::max(left * max_return_share, min_retry_after_seconds) / (1 + settings.retry_spread);
    return from_seconds(std::min(wait, limit) * spread);
}

} // namespace

void record_work(service_admission& service, const std::string& organisation, double weight, double tokens,
                 const admission_settings& settings, time_point now)
{
    organisation_work& work = service.work[organisation];
    work.weight = weight;
    add(work.tokens, tokens, settings.share_half_life, now);
}

double share_use(service_admission& service, const std::string& organisation,
                 const admission_settings& settings, time_point now)
{
    const auto own = service.work.find(organisation);
    if (own == service.work.end()) {
        return 0;
    }
    double tokens = 0;
    double weights = 0;
    std::size_t weighted = 0;
    std::size_t active = 0;
    std::erase_if(service.work, [&](const auto& entry) {
        const double used = value_at(entry.second.tokens, settings.share_half_life, now);
        if (used < min_active_tokens) {
            return entry.first != organisation;
        }
        ++active;
        tokens += used;
        weights += entry.second.weight;
        weighted += entry.second.weight > 0 ? 1 : 0;
        return false;
    });
    if (active < 2) {
        return 1;
    }
    const double mean_weight = weighted > 0 ? weights / static_cast<double>(weighted) : 1;
    const double total = weights + mean_weight * static_cast<double>(active - weighted);
    const double weight = own->second.weight > 0 ? own->second.weight : mean_weight;
    const double share = tokens * weight / total;
    const double used = value_at(own->second.tokens, settings.share_half_life, now);
    return std::max(used - settings.share_allowance, 0.0) / std::max(share, 1.0);
}

bool may_refuse(const believed_load& load, const service_congestion& congestion,
                const admission_settings& settings, time_point now)
{
    if (load.slots > 0 && load.taken >= settings.busy_share * load.slots) {
        return true;
    }
    if (load.waiting_instances >= settings.min_waiting_instances) {
        return true;
    }
    return value_at(congestion.rejections, settings.congestion.rate_half_life, now) >= settings.rejections;
}

start_decision decide_start(service_admission& service, const start_request& request,
                            const admission_settings& settings, time_point now)
{
    start_decision decision;
    decision.stretch = estimate_stretch(service.congestion, settings.congestion, now);
    service.paced = decision.stretch >= settings.max_stretch;
    if (!service.paced) {
        service.next_start_at = std::min(service.next_start_at, now);
        record_program_start(service.congestion, settings.congestion, now);
        return decision;
    }
    const double turns = turns_per_program(service.congestion, settings.congestion, now);
    const double factor =
        std::clamp(settings.target_stretch / decision.stretch, settings.min_rate_factor, 1.0);
    decision.rate =
        std::max(turn_rate(service.congestion, settings.congestion, now) / turns * factor, min_start_rate);
    const duration interval = from_seconds(1 / decision.rate);
    const time_point begin = std::max(service.next_start_at, now - interval);
    const time_point due = begin - from_seconds(start_credit(request, settings) / decision.rate);
    decision.wait = std::max<duration>(due - now, duration{});
    decision.max_wait = max_hold(request, settings);
    if (decision.wait > decision.max_wait && request.may_refuse) {
        decision.action = start_action::refuse;
        decision.retry_after = make_retry_after(service, request, decision.rate, settings, now);
        return decision;
    }
    decision.hold = std::min(decision.wait, decision.max_wait);
    decision.action = decision.hold > duration{} ? start_action::hold : start_action::start;
    // A program that is not refused although the pace has no place for it counts as one that has its place.
    const duration max_debt = settings.max_hold + from_seconds((1 + settings.max_credit) / decision.rate);
    service.next_start_at = std::min(begin + interval, now + max_debt);
    record_program_start(service.congestion, settings.congestion, now);
    return decision;
}

} // namespace guavawick::admission
