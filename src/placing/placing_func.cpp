// The choice of an upstream instance.
#include "placing/placing_func.hpp"

#include "base/hash_func.hpp"

#include <algorithm>
#include <cmath>

namespace guavawick::placing {
namespace {

constexpr duration first_suspicion = 300ms; ///< a quarter of the announcement interval
constexpr duration longest_suspicion = 3s;  ///< a crashed instance is back after some seconds
constexpr std::uint32_t most_doublings = 4;
constexpr duration silence_suspicion = 1s;    ///< then a call tries whether the instance answers again
constexpr int silence_factor = 4;             ///< of the objective: callers give a stream up after as much
constexpr duration least_silence = 800ms;     ///< four times the users' objective of streams
constexpr double error_weight = 0.2;          ///< of one answer in the share of failures
constexpr double error_half_life_seconds = 3; ///< several restarts of an instance
constexpr double cold_burst = 1.0;            ///< calls at once that a cold instance takes from one entry

bool is_cold(const candidate& one, time_point now)
{
    return one.record->cold_until > now;
}

/// Brings an instance's allowance while it is cold up to date.
void refill_cold(candidate& one, double share, time_point now)
{
    const double passed = to_seconds(now - one.load->cold_refilled_at);
    one.load->cold_tokens = std::min(cold_burst, one.load->cold_tokens + passed * share);
    one.load->cold_refilled_at = now;
}

/// Equal on every entry, so that calls with the same affinity meet at the same instance.
int find_preferred(const std::vector<candidate>& candidates, const placement_request& wish)
{
    int best = -1;
    std::uint64_t best_weight = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::string& id = candidates[i].record->id.value;
        if (!wish.warm_instance.empty() && id == wish.warm_instance) {
            return static_cast<int>(i);
        }
        const std::uint64_t weight = hash_bytes(id + "\n" + wish.affinity_key);
        if (best < 0 || weight > best_weight) {
            best = static_cast<int>(i);
            best_weight = weight;
        }
    }
    return wish.affinity_key.empty() && wish.warm_instance.empty() ? -1 : best;
}

} // namespace

double estimate_cost(const candidate& one, const placement_request& wish, const placement_costs& costs,
                     bool preferred, time_point now)
{
    const instance_load& load = *one.load;
    double running = load.own_running;
    double waiting = 0;
    if (now - load.reported_at < costs.max_report_age) {
        running += std::max(0.0, static_cast<double>(load.reported_running) - load.own_running_at_report);
        waiting = load.reported_waiting;
    }
    waiting += std::max(0.0, running - std::max(1U, one.record->slots));
    double cost = wish.model ? running * costs.model_running_ms + waiting * costs.model_waiting_ms
                             : running * costs.service_running_ms + waiting * costs.service_waiting_ms;
    if (wish.model && !preferred && wish.prompt_tokens > wish.shared_prefix_tokens) {
        // What was said in this line is read again everywhere but where it is cached.
        cost +=
            static_cast<double>(wish.prompt_tokens - wish.shared_prefix_tokens) / costs.prefill_tokens_per_ms;
    }
    if (one.record->data_centre != wish.own_data_centre) {
        cost += wish.model ? costs.model_other_data_centre_ms : costs.service_other_data_centre_ms;
    }
    cost += recent_error_rate(load, now) * costs.error_ms;
    if (load.suspect_until > now) {
        cost += costs.suspect_ms;
    }
    return cost;
}

int choose_instance(std::vector<candidate>& candidates, const placement_request& wish,
                    const placement_costs& costs, time_point now)
{
    const int preferred = wish.model ? find_preferred(candidates, wish) : -1;
    int best = -1;
    double best_cost = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        candidate& one = candidates[i];
        if (wish.tried_instances.contains(one.record->id.value)) {
            continue;
        }
        double cost = estimate_cost(one, wish, costs, static_cast<int>(i) == preferred, now);
        if (is_cold(one, now) && wish.cold_rate_share > 0) {
            refill_cold(one, wish.cold_rate_share, now);
            if (one.load->cold_tokens < 1.0) {
                continue;
            }
        }
        // Ties are broken by a hash, so that entries do not all take the first.
        cost += static_cast<double>(hash_bytes(one.record->id.value + wish.affinity_key) % 1000) / 1000.0;
        if (best < 0 || cost < best_cost) {
            best = static_cast<int>(i);
            best_cost = cost;
        }
    }
    if (best >= 0 && is_cold(candidates[static_cast<std::size_t>(best)], now)) {
        candidates[static_cast<std::size_t>(best)].load->cold_tokens -= 1.0;
    }
    return best;
}

void record_failure(instance_load& load, time_point now)
{
    const std::uint32_t doublings = std::min(load.consecutive_failures, most_doublings);
    load.suspect_until = now + std::min<duration>(first_suspicion * (1U << doublings), longest_suspicion);
    ++load.consecutive_failures;
}

void record_silence(instance_load& load, time_point now)
{
    load.suspect_until = std::max(load.suspect_until, now + silence_suspicion);
}

void record_answer(instance_load& load, bool failed, time_point now)
{
    load.consecutive_failures = 0;
    load.suspect_until = {};
    load.error_rate = recent_error_rate(load, now) * (1 - error_weight) + (failed ? error_weight : 0);
    load.error_rate_at = now;
}

double recent_error_rate(const instance_load& load, time_point now)
{
    if (load.error_rate <= 0) {
        return 0;
    }
    return load.error_rate * std::exp2(-to_seconds(now - load.error_rate_at) / error_half_life_seconds);
}

duration suspicion_timeout(duration objective)
{
    return std::max<duration>(objective * silence_factor, least_silence);
}

} // namespace guavawick::placing
