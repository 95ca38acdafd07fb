// Choice of the upstream instance for an attempt of a call.
#include "base/event_type.hpp"
#include "gateway/call_run.hpp"
#include "gateway/prompt_placement.hpp"
#include "load/load_func.hpp"

#include <algorithm>

namespace guavawick::gateway {
namespace {

constexpr double min_cold_rate = 0.2; ///< calls per second of one gateway to one cold upstream

/// @return calls per second that one gateway may send to one cold upstream of a service; 0 if unlimited.
double cold_rate_share(const gateway_state& state, const plan::service& service)
{
    return service.cold_rate <= 0
               ? 0
               : std::max(min_cold_rate, service.cold_rate / static_cast<double>(state.gateway_count));
}

/// @return the serving instances of a service outside evacuated data centres.
std::vector<placing::candidate> find_candidates(active_call& call, const plan::service& service,
                                                time_point now)
{
    gateway_state& state = *call.context.state;
    std::vector<placing::candidate> candidates;
    for (auto& [id, record] : state.instances.instances) {
        const bool usable = record.state == directory::instance_state::serving &&
                            record.service == service.name.value &&
                            !state.evacuated_data_centres.contains(record.data_centre.value);
        if (!usable || (call.stream_version && record.version != *call.stream_version)) {
            continue;
        }
        if (directory::is_leaving(state.leaving, record)) {
            state.counters.leaving_avoided.fetch_add(1);
            continue;
        }
        // Upstreams in a data centre whose evacuation ended may have become cold without announcing it.
        const auto evacuation_end = state.evacuation_ended_at.find(record.data_centre.value);
        if (evacuation_end != state.evacuation_ended_at.end() && service.cold_rate > 0) {
            record.cold_until = std::max(record.cold_until, evacuation_end->second + service.cold_start);
        }
        candidates.push_back({&record, &state.loads[id]});
    }
    select_versions(call, candidates, now);
    return candidates;
}

placing::placement_request make_placement_request(const active_call& call, const plan::service& service)
{
    placing::placement_request request;
    request.model = service.model.has_value();
    request.load_aware = call.context.state->settings.features.load_aware;
    request.learned_load = call.context.state->settings.features.learned_load;
    request.affinity_key =
        call.metadata.program.empty() ? call.metadata.request.value : call.metadata.program.value;
    request.warm_instance = call.warm_instance;
    request.prompt_tokens = call.metadata.prompt_tokens;
    if (!call.metadata.prompt.empty()) {
        request.shared_prefix_tokens = call.metadata.prompt.front().tokens;
    }
    request.memory_tokens = service.model ? service.model->memory_tokens : 0;
    request.own_data_centre = data_centre_name{call.context.state->settings.data_centre};
    request.tried_instances = call.tried_instances;
    request.cold_rate_share = cold_rate_share(*call.context.state, service);
    return request;
}

std::string describe_age(time_point time, time_point now)
{
    return time == time_point{} ? "never" : std::to_string(to_ms(now - time));
}

/// Sets the gauges of learned speed and of the age of load reports.
void update_load_metrics(gateway_counters& counters, const std::vector<placing::candidate>& candidates,
                         time_point now)
{
    double slowest = 0;
    duration total_age{};
    std::uint64_t reports = 0;
    for (const placing::candidate& instance : candidates) {
        slowest = std::max(slowest, load::recent_slowness(instance.load->timing, load::load_settings{}, now));
        if (instance.load->reported_at != time_point{}) {
            total_age += now - instance.load->reported_at;
            ++reports;
        }
    }
    counters.slowest_percent.store(static_cast<std::uint64_t>(slowest * 100));
    counters.report_age_ms.store(reports == 0 ? 0 : static_cast<std::uint64_t>(to_ms(total_age)) / reports);
}

} // namespace

directory::instance_record choose_instance(active_call& call)
{
    gateway_state& state = *call.context.state;
    const auto service = call.plan->plan.services.find(call.service);
    if (service == call.plan->plan.services.end()) {
        return {};
    }
    const time_point now = runtime_clock::now();
    std::vector<placing::candidate> candidates = find_candidates(call, service->second, now);
    placing::placement_request request = make_placement_request(call, service->second);
    prompt_placement prompt;
    if (state.settings.features.load_aware) {
        prompt = find_cached_prefixes(call, service->second, candidates, request, now);
        update_load_metrics(state.counters, candidates, now);
    }
    const int chosen = placing::choose_instance(candidates, request, placing::placement_costs{}, now);
    if (chosen < 0) {
        std::vector<event_field> fields = call_fields(call);
        fields.push_back({"candidates", std::uint64_t{candidates.size()}});
        fields.push_back({"known", std::uint64_t{state.instances.instances.size()}});
        fields.push_back({"evacuated", std::uint64_t{state.evacuated_data_centres.size()}});
        log_event(event::attempt_failed, fields);
        return {};
    }
    const placing::candidate& best = candidates[static_cast<std::size_t>(chosen)];
    record_prompt(state.prefixes, prompt, best.record->id, now);
    const double slowness = load::recent_slowness(best.load->timing, load::load_settings{}, now);
    const std::uint64_t cached_tokens =
        request.cached_tokens.empty() ? 0 : request.cached_tokens[static_cast<std::size_t>(chosen)];
    log_event(event::attempt_sent, {{"request", call.metadata.request.value},
                                    {"to", best.record->id.value},
                                    {"version", best.record->version},
                                    {"address", best.record->address},
                                    {"data_centre", best.record->data_centre.value},
                                    {"warm", call.warm_instance},
                                    {"cached_tokens", cached_tokens},
                                    {"candidates", std::uint64_t{candidates.size()}},
                                    {"own_running", std::uint64_t{best.load->own_running}},
                                    {"reported_running", std::uint64_t{best.load->reported_running}},
                                    {"reported_waiting", std::uint64_t{best.load->reported_waiting}},
                                    {"reported_ms_ago", describe_age(best.load->reported_at, now)},
                                    {"slowness_percent", static_cast<std::uint64_t>(slowness * 100)},
                                    {"heard_ms_ago", std::uint64_t(to_ms(now - best.record->last_seen_at))},
                                    {"suspect", best.load->suspect_until > now ? "yes" : "no"},
                                    {"attempt", std::uint64_t{call.attempts + 1}}});
    return *best.record;
}

} // namespace guavawick::gateway
