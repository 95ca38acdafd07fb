// Selection of an upstream instance by estimated cost.
#include "placing/placing_func.hpp"

#include "base/hash_func.hpp"
#include "load/load_func.hpp"

#include <algorithm>
#include <cmath>

namespace guavawick::placing {
namespace {

constexpr duration initial_suspicion = 300ms; ///< a quarter of the announcement interval
constexpr duration max_suspicion = 3s;        ///< a crashed instance restarts within some seconds
constexpr std::uint32_t max_suspicion_doublings = 4;
constexpr duration suspicion_after_silence = 1s; ///< after this a call probes the instance
constexpr int suspicion_timeout_factor =
    4; ///< multiple of the objective after which callers abandon a stream
constexpr duration min_suspicion_timeout = 800ms; ///< four times the users' latency objective for streams
constexpr double error_weight = 0.2;              ///< weight of one response in the moving error rate
constexpr double error_half_life_seconds = 3;     ///< spans several restarts of an instance
constexpr double max_cold_tokens = 1.0; ///< burst of calls that one gateway may send to a cold instance

bool is_cold(const candidate& instance, time_point now)
{
    return instance.record->cold_until > now;
}

/// Refills the token bucket that limits the calls to a cold instance.
void refill_cold(candidate& instance, double rate_share, time_point now)
{
    const double elapsed_seconds = to_seconds(now - instance.load->cold_refilled_at);
    instance.load->cold_tokens =
        std::min(max_cold_tokens, instance.load->cold_tokens + elapsed_seconds * rate_share);
    instance.load->cold_refilled_at = now;
}

/// Finds the instance that probably has the prompt cached: the warm instance, else the one with the highest
/// rendezvous hash. The hash is equal on every gateway, so that calls with the same key share an instance.
/// @return an index into the candidates, or -1 if there is neither a warm instance nor an affinity key.
int find_preferred(const std::vector<candidate>& candidates, const placement_request& request)
{
    int best_index = -1;
    std::uint64_t best_weight = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::string& id = candidates[i].record->id.value;
        if (!request.warm_instance.empty() && id == request.warm_instance) {
            return static_cast<int>(i);
        }
        const std::uint64_t weight = hash_bytes(id + "\n" + request.affinity_key);
        if (best_index < 0 || weight > best_weight) {
            best_index = static_cast<int>(i);
            best_weight = weight;
        }
    }
    return request.affinity_key.empty() && request.warm_instance.empty() ? -1 : best_index;
}

/// @return prompt tokens that a candidate has to read.
std::uint64_t count_uncached_tokens(const placement_request& request, std::size_t index, bool is_preferred)
{
    if (!request.cached_tokens.empty()) {
        return request.prompt_tokens - std::min(request.prompt_tokens, request.cached_tokens[index]);
    }
    // The history of the line needs a new prefill on every instance that does not have it cached.
    return is_preferred
               ? 0
               : request.prompt_tokens - std::min(request.prompt_tokens, request.shared_prefix_tokens);
}

/// @return running calls of other gateways, as last reported.
double reported_by_others(const instance_load& load)
{
    return std::max(0.0, static_cast<double>(load.reported_running) - load.own_running_at_report);
}

/// @return the weight of a report against the typical load: 1 up to the age limit, then decaying.
double report_weight(const instance_load& load, const placement_costs& costs, time_point now)
{
    if (load.reported_at == time_point{}) {
        return 0;
    }
    const double outdated_seconds = to_seconds(now - load.reported_at - costs.max_report_age);
    return std::exp2(-std::max(0.0, outdated_seconds) / to_seconds(costs.report_half_life));
}

/// @return calls that have to wait because the calls at an engine exceed its memory. The calls of others are
/// taken to be as long as this one.
double count_calls_over_memory(const candidate& instance, const placement_request& request,
                               double running_of_others)
{
    if (request.memory_tokens == 0 || request.prompt_tokens == 0) {
        return 0;
    }
    const double call_tokens = std::max(1.0, static_cast<double>(request.prompt_tokens) -
                                                 static_cast<double>(request.shared_prefix_tokens));
    const double used = static_cast<double>(request.shared_prefix_tokens + instance.load->own_tokens) +
                        call_tokens * (running_of_others + 1);
    return std::max(0.0, used - static_cast<double>(request.memory_tokens)) / call_tokens;
}

} // namespace

typical_load estimate_typical_load(const std::vector<candidate>& candidates, const placement_costs& costs,
                                   time_point now)
{
    typical_load typical;
    double weights = 0;
    for (const candidate& instance : candidates) {
        const double weight = report_weight(*instance.load, costs, now);
        typical.running += weight * reported_by_others(*instance.load);
        typical.waiting += weight * instance.load->reported_waiting;
        weights += weight;
    }
    if (weights > 0) {
        typical.running *= costs.unheard_load_share / weights;
        typical.waiting *= costs.unheard_load_share / weights;
    }
    return typical;
}

double estimate_cost(const candidate& instance, const placement_request& request,
                     const placement_costs& costs, std::uint64_t uncached_tokens, const typical_load& typical,
                     time_point now)
{
    const instance_load& load = *instance.load;
    double running = load.own_running;
    double waiting = 0;
    double calls_over_memory = 0;
    if (request.learned_load) {
        const double weight = report_weight(load, costs, now);
        const double others = weight * reported_by_others(load) + (1 - weight) * typical.running;
        running += others;
        waiting = weight * load.reported_waiting + (1 - weight) * typical.waiting;
        calls_over_memory = count_calls_over_memory(instance, request, others);
    }
    else if (now - load.reported_at < costs.max_report_age) {
        running += std::max(0.0, static_cast<double>(load.reported_running) - load.own_running_at_report);
        waiting = load.reported_waiting;
    }
    // Calls without a slot wait, as do those without memory.
    waiting += std::max({0.0, running - std::max(1U, instance.record->slots), calls_over_memory});
    const bool is_new_line = request.warm_instance.empty() && !request.cached_tokens.empty();
    const double model_running_ms = is_new_line ? costs.model_new_line_running_ms : costs.model_running_ms;
    double cost = request.model ? running * model_running_ms + waiting * costs.model_waiting_ms
                                : running * costs.service_running_ms + waiting * costs.service_waiting_ms;
    double failure_ms = costs.error_ms;
    if (request.model) {
        const double delayed_calls = request.load_aware ? running * costs.prefill_batch_share : 0;
        const double ms_per_token = (1 + delayed_calls) / costs.prefill_tokens_per_ms;
        cost += static_cast<double>(uncached_tokens) * ms_per_token;
        // A call that fails reads its whole prompt elsewhere, so a warm engine that fails its calls is left.
        failure_ms += request.load_aware ? static_cast<double>(request.prompt_tokens) * ms_per_token : 0;
    }
    if (request.learned_load) {
        const double duration_factor = guavawick::load::recent_slowness(load.timing, costs.speed, now) *
                                       guavawick::load::recent_pace(load.timing, costs.speed, now);
        cost = (cost + (request.model ? costs.model_call_ms : costs.service_call_ms)) * duration_factor;
    }
    if (instance.record->data_centre != request.own_data_centre) {
        cost += request.model ? costs.model_other_data_centre_ms : costs.service_other_data_centre_ms;
    }
    cost += recent_error_rate(load, now) * failure_ms;
    if (load.suspect_until > now) {
        cost += costs.suspect_ms;
    }
    return cost;
}

int choose_instance(std::vector<candidate>& candidates, const placement_request& request,
                    const placement_costs& costs, time_point now)
{
    const int preferred_index =
        request.model && request.cached_tokens.empty() ? find_preferred(candidates, request) : -1;
    const typical_load typical =
        request.learned_load ? estimate_typical_load(candidates, costs, now) : typical_load{};
    int best_index = -1;
    double best_cost = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        candidate& instance = candidates[i];
        if (request.tried_instances.contains(instance.record->id.value)) {
            continue;
        }
        const std::uint64_t uncached_tokens =
            count_uncached_tokens(request, i, static_cast<int>(i) == preferred_index);
        double cost = estimate_cost(instance, request, costs, uncached_tokens, typical, now);
        if (is_cold(instance, now) && request.cold_rate_share > 0) {
            refill_cold(instance, request.cold_rate_share, now);
            if (instance.load->cold_tokens < 1.0) {
                continue;
            }
        }
        // Breaks ties by a hash, so that gateways do not all choose the first candidate.
        cost +=
            static_cast<double>(hash_bytes(instance.record->id.value + request.affinity_key) % 1000) / 1000.0;
        if (best_index < 0 || cost < best_cost) {
            best_index = static_cast<int>(i);
            best_cost = cost;
        }
    }
    if (best_index >= 0 && is_cold(candidates[static_cast<std::size_t>(best_index)], now)) {
        candidates[static_cast<std::size_t>(best_index)].load->cold_tokens -= 1.0;
    }
    return best_index;
}

void record_failure(instance_load& load, time_point now)
{
    const std::uint32_t doublings = std::min(load.consecutive_failures, max_suspicion_doublings);
    load.suspect_until = now + std::min<duration>(initial_suspicion * (1U << doublings), max_suspicion);
    ++load.consecutive_failures;
}

void record_silence(instance_load& load, time_point now)
{
    load.suspect_until = std::max(load.suspect_until, now + suspicion_after_silence);
}

void record_response(instance_load& load, bool failed, time_point now)
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
    return std::max<duration>(objective * suspicion_timeout_factor, min_suspicion_timeout);
}

} // namespace guavawick::placing
