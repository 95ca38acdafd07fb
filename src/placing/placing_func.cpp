// The choice of an upstream instance.
#include "placing/placing_func.hpp"

#include "base/hash_func.hpp"

#include <algorithm>

namespace guavawick::placing {
namespace {

constexpr duration first_suspicion = 300ms; ///< a quarter of the announcement interval
constexpr duration longest_suspicion = 3s;  ///< a crashed instance is back after some seconds
constexpr std::uint32_t most_doublings = 4;
constexpr double cold_burst = 1.0; ///< calls at once that a cold instance takes from one entry

bool is_cold(const candidate& one, time_point now)
{
    return one.record->cold_until > now;
}

/// Brings an instance's allowance while it is cold up to date.
void refill_cold(candidate& one, double share, time_point now)
{
    const double passed = to_seconds(now - one.load->cold_filled_at);
    one.load->cold_tokens = std::min(cold_burst, one.load->cold_tokens + passed * share);
    one.load->cold_filled_at = now;
}

/// Equal on every entry, so that calls with the same affinity meet at the same instance.
int find_preferred(const std::vector<candidate>& candidates, const placement_wish& wish)
{
    int best = -1;
    std::uint64_t best_weight = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::string& id = candidates[i].record->id.value;
        if (!wish.warm_instance.empty() && id == wish.warm_instance) {
            return static_cast<int>(i);
        }
        const std::uint64_t weight = hash_bytes(id + "\n" + wish.affinity);
        if (best < 0 || weight > best_weight) {
            best = static_cast<int>(i);
            best_weight = weight;
        }
    }
    return wish.affinity.empty() && wish.warm_instance.empty() ? -1 : best;
}

} // namespace

double estimate_cost(const candidate& one, const placement_wish& wish, const placement_costs& costs,
                     bool preferred, time_point now)
{
    const instance_load& load = *one.load;
    double running = load.own_running;
    double waiting = 0;
    if (now - load.reported_at < costs.report_age) {
        running += std::max(0.0, static_cast<double>(load.reported_running) - load.own_at_report);
        waiting = load.reported_waiting;
    }
    waiting += std::max(0.0, running - std::max(1U, one.record->slots));
    double cost = wish.model ? running * costs.model_running_ms + waiting * costs.model_waiting_ms
                             : running * costs.service_running_ms + waiting * costs.service_waiting_ms;
    if (wish.model && !preferred && wish.prompt_tokens > wish.shared_tokens) {
        // What was said in this line is read again everywhere but where it is cached.
        cost += static_cast<double>(wish.prompt_tokens - wish.shared_tokens) / costs.prefill_tokens_per_ms;
    }
    if (one.record->data_centre != wish.own_data_centre) {
        cost += wish.model ? costs.model_other_place_ms : costs.service_other_place_ms;
    }
    if (load.suspect_until > now) {
        cost += costs.suspect_ms;
    }
    return cost;
}

int choose(std::vector<candidate>& candidates, const placement_wish& wish, const placement_costs& costs,
           time_point now)
{
    const int preferred = wish.model ? find_preferred(candidates, wish) : -1;
    int best = -1;
    double best_cost = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        candidate& one = candidates[i];
        if (wish.tried.contains(one.record->id.value)) {
            continue;
        }
        double cost = estimate_cost(one, wish, costs, static_cast<int>(i) == preferred, now);
        if (is_cold(one, now) && wish.cold_share > 0) {
            refill_cold(one, wish.cold_share, now);
            if (one.load->cold_tokens < 1.0) {
                continue;
            }
        }
        // Ties are broken by a hash, so that entries do not all take the first.
        cost += static_cast<double>(hash_bytes(one.record->id.value + wish.affinity) % 1000) / 1000.0;
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

void note_failure(instance_load& load, time_point now)
{
    const std::uint32_t doublings = std::min(load.failures, most_doublings);
    load.suspect_until = now + std::min<duration>(first_suspicion * (1U << doublings), longest_suspicion);
    ++load.failures;
}

void note_success(instance_load& load)
{
    load.failures = 0;
    load.suspect_until = {};
}

} // namespace guavawick::placing
