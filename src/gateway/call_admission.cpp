// Admission of programs by the load of their service, and the observations that it is based on.
#include "gateway/call_admission.hpp"

#include "admission/admission_func.hpp"
#include "admission/congestion_func.hpp"
#include "base/event_type.hpp"
#include "base/hash_func.hpp"

#include <algorithm>

namespace guavawick::gateway {

namespace asio = boost::asio;

namespace {

constexpr admission::admission_settings settings;

/// @return the service of the call if it has engines and its load decides about calls, else nullptr.
const plan::service* find_engine_service(const active_call& call)
{
    if (!call.context.state->settings.features.paced_starts || !call.plan) {
        return nullptr;
    }
    const auto found = call.plan->plan.services.find(call.service);
    return found != call.plan->plan.services.end() && found->second.model ? &found->second : nullptr;
}

admission::service_admission& admission_of(const active_call& call)
{
    return call.context.state->admissions[call.service];
}

std::string organisation_name_of(const active_call& call)
{
    return call.organisation != nullptr ? call.organisation->name.value : "";
}

admission::believed_load sum_load(const active_call& call, time_point now)
{
    gateway_state& state = *call.context.state;
    admission::believed_load sum;
    for (const auto& [id, record] : state.instances.instances) {
        const bool serves = record.state == directory::instance_state::serving &&
                            record.service == call.service.value &&
                            !state.evacuated_data_centres.contains(record.data_centre.value);
        if (!serves) {
            continue;
        }
        sum.slots += record.slots;
        const auto load = state.loads.find(id);
        if (load == state.loads.end()) {
            continue;
        }
        if (now - load->second.reported_at > settings.max_report_age) {
            sum.taken += load->second.own_running;
            continue;
        }
        ++sum.reports;
        sum.taken += std::max<double>(load->second.reported_running, load->second.own_running);
        sum.waiting_instances += load->second.reported_waiting > 0 ? 1 : 0;
    }
    return sum;
}

admission::turn_observation make_observation(const active_call& call, const directory::instance_id& instance,
                                             const stream_times& times, time_point now)
{
    admission::turn_observation turn;
    turn.instance = hash_bytes(instance.value);
    turn.prompt_tokens = call.metadata.prompt_tokens;
    turn.warm = instance.value == call.warm_instance;
    const std::vector<prompt_part>& prompt = call.metadata.prompt;
    turn.new_tokens = prompt.size() > 1 ? prompt.back().tokens : turn.prompt_tokens;
    turn.first_event_ms = to_seconds(times.first_event_at - times.sent_at) * 1000;
    turn.stream_ms = to_seconds(now - times.first_event_at) * 1000;
    turn.events = times.events;
    return turn;
}

/// Logs when the pace of starts begins or ends to apply.
void log_pace(const active_call& call, bool was_paced, bool is_paced, double stretch)
{
    if (was_paced != is_paced) {
        log_event(is_paced ? event::service_congested : event::service_relieved,
                  {{"service", call.service.value}, {"stretch_percent", std::uint64_t(stretch * 100)}});
    }
}

void log_refusal(const active_call& call, const admission::start_request& request,
                 const admission::start_decision& decision, const admission::believed_load& load)
{
    std::vector<event_field> fields = call_fields(call);
    fields.push_back({"service", call.service.value});
    fields.push_back({"stretch_percent", std::uint64_t(decision.stretch * 100)});
    fields.push_back({"starts_per_minute", std::uint64_t(decision.rate * 60)});
    fields.push_back({"wait_ms", std::uint64_t(to_ms(decision.wait))});
    fields.push_back({"max_wait_ms", std::uint64_t(to_ms(decision.max_wait))});
    fields.push_back({"finish_ms", std::uint64_t(std::max<std::int64_t>(to_ms(request.finish_in), 0))});
    fields.push_back({"share_percent", std::uint64_t(request.share_use * 100)});
    fields.push_back({"priority", std::uint64_t{request.priority}});
    fields.push_back({"slots", std::uint64_t(load.slots)});
    fields.push_back({"taken", std::uint64_t(load.taken)});
    fields.push_back({"reports", std::uint64_t{load.reports}});
    fields.push_back({"waiting_at", std::uint64_t{load.waiting_instances}});
    fields.push_back({"retry_after_ms", std::uint64_t(to_ms(decision.retry_after))});
    log_event(event::start_refused, fields);
}

} // namespace

queueing::urgency_inputs make_urgency(const active_call& call, time_point now)
{
    queueing::urgency_inputs inputs;
    inputs.starts_program = call.starts_program;
    inputs.priority = call.organisation != nullptr && call.organisation->priority
                          ? *call.organisation->priority
                          : call.route->priority;
    if (call.metadata.finish_in) {
        inputs.finish_in = *call.metadata.finish_in - (now - call.started_at);
    }
    const duration least =
        admission::least_turn_time(admission_of(call).congestion, settings.congestion, now);
    if (least > duration{}) {
        inputs.least_turn_time = least;
    }
    return inputs;
}

asio::awaitable<refusal> admit_start(std::shared_ptr<active_call> call)
{
    if (!call->starts_program || find_engine_service(*call) == nullptr) {
        co_return refusal{0, "", {}};
    }
    const time_point now = runtime_clock::now();
    admission::service_admission& service = admission_of(*call);
    gateway_counters& counters = call->context.state->counters;
    const queueing::urgency_inputs urgency = make_urgency(*call, now);
    admission::start_request request;
    request.time_left = call->deadline - now;
    request.finish_in = urgency.finish_in.value_or(request.time_left);
    request.priority = urgency.priority;
    admission::believed_load load;
    const double stretch = admission::estimate_stretch(service.congestion, settings.congestion, now);
    counters.stretch_percent.store(static_cast<std::uint64_t>(stretch * 100));
    if (stretch >= settings.max_stretch) {
        load = sum_load(*call, now);
        request.share_use = admission::share_use(service, organisation_name_of(*call), settings, now);
        request.may_refuse = admission::may_refuse(load, service.congestion, settings, now);
        request.random = static_cast<double>(hash_bytes(call->metadata.request.value) % 1000) / 1000;
    }
    const bool was_paced = service.paced;
    const admission::start_decision decision = admission::decide_start(service, request, settings, now);
    log_pace(*call, was_paced, service.paced, stretch);
    if (decision.action == admission::start_action::refuse) {
        counters.starts_refused.fetch_add(1);
        log_refusal(*call, request, decision, load);
        co_return refusal{503, "the service is overloaded", decision.retry_after};
    }
    if (decision.action == admission::start_action::hold) {
        counters.starts_held.fetch_add(1);
        counters.start_hold_ms.fetch_add(static_cast<std::uint64_t>(to_ms(decision.hold)));
        counters.starts_waiting.fetch_add(1);
        co_await runtime::wait_for(decision.hold);
        counters.starts_waiting.fetch_sub(1);
    }
    co_return refusal{0, "", {}};
}

void observe_events(const active_call& call, const directory::instance_id& instance, stream_times& times,
                    std::uint64_t events, time_point now)
{
    const bool is_first = times.events == 0 && events > 0;
    times.events += events;
    if (!is_first) {
        return;
    }
    times.first_event_at = now;
    if (find_engine_service(call) != nullptr) {
        admission::record_first_event(admission_of(call).congestion,
                                      make_observation(call, instance, times, now), settings.congestion, now);
    }
}

void observe_stream_end(const active_call& call, const directory::instance_id& instance,
                        const stream_times& times, time_point now)
{
    const plan::service* service = find_engine_service(call);
    if (service == nullptr || times.events == 0) {
        return;
    }
    admission::service_admission& admission = admission_of(call);
    const admission::turn_observation turn = make_observation(call, instance, times, now);
    admission::record_turn(admission.congestion, turn, settings.congestion, now);
    const std::uint64_t tokens =
        (turn.warm ? turn.new_tokens : turn.prompt_tokens) + times.events * service->model->tokens_per_event;
    admission::record_work(admission, organisation_name_of(call),
                           call.organisation != nullptr ? call.organisation->rate : 0,
                           static_cast<double>(tokens), settings, now);
}

void observe_rejection(const active_call& call, time_point now)
{
    if (find_engine_service(call) != nullptr) {
        admission::record_rejection(admission_of(call).congestion, settings.congestion, now);
    }
}

} // namespace guavawick::gateway
