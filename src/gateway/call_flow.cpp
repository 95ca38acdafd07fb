// Handling of one call by the gateway: admission, placement and attempts.
#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "gateway/call_admission.hpp"
#include "gateway/call_run.hpp"
#include "wire.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>

namespace guavawick::gateway {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

constexpr duration max_rate_wait = 1500ms; ///< of a running program; longer waits are refused at once
constexpr duration max_start_wait = 1s;    ///< of a program that starts, which loses little by a retry
constexpr duration start_retry_after =
    700ms; ///< of a refused program start; other starts wait for tokens as well
constexpr duration default_timeout = 30s; ///< for callers that send none
constexpr duration deadline_grace = 60ms; ///< for an upstream's own response at the deadline to arrive
constexpr int too_many_requests = 429;
constexpr int max_placements = 6;                ///< instances tried until one accepts the call
constexpr duration shortage_retry_after = 200ms; ///< a shortage of upstreams may have passed after this
constexpr duration plan_retry_after = 500ms;     ///< one subscription, by which a gateway receives its plan
constexpr duration max_plan_wait = 1500ms;       ///< a gateway that has just started soon receives its plan
constexpr int max_settle_attempts = 5;           ///< half a minute, far longer than an election
constexpr duration first_settle_pause = 1s;      ///< doubled for each further attempt
constexpr duration plan_poll_interval = 20ms;    ///< at which a waiting call checks for the plan
constexpr duration stop_retry_after = 50ms;      ///< a new connection reaches another gateway

std::string to_seconds_text(duration value)
{
    std::array<char, 32> text{};
    const int length = std::snprintf(text.data(), text.size(), "%.2f", to_seconds(value));
    return {text.data(), static_cast<std::size_t>(length)};
}

const char* reason_phrase(int status)
{
    switch (status) {
    case 401:
        return "Unauthorized";
    case 402:
        return "Payment Required";
    case 404:
        return "Not Found";
    case too_many_requests:
        return "Too Many Requests";
    case 502:
        return "Bad Gateway";
    case 504:
        return "Gateway Timeout";
    default:
        return "Service Unavailable";
    }
}

/// Sends the response of a call that is refused or failed. 502 and 504 are failures, as an upstream may have
/// executed the call; any other status promises that it did not run.
asio::awaitable<void> refuse(std::shared_ptr<active_call> call, refusal cause)
{
    gateway_counters& counters = call->context.state->counters;
    const bool not_executed = cause.status != 502 && cause.status != 504;
    (not_executed ? counters.refused : counters.failed).fetch_add(1);
    std::vector<event_field> fields{{"status", std::uint64_t(cause.status)},
                                    {"reason", cause.reason},
                                    {"retry_after_ms", std::uint64_t(to_ms(cause.retry_after))}};
    if (cause.status == too_many_requests && call->organisation != nullptr) {
        fields.push_back({"rate", std::uint64_t(call->organisation->rate)});
        fields.push_back({"burst", std::uint64_t(call->organisation->burst)});
    }
    header_list headers{{"Content-Type", "text/plain"}};
    if (cause.retry_after > duration{}) {
        headers.emplace_back("Retry-After", to_seconds_text(cause.retry_after));
    }
    std::string body = std::string(cause.reason) + "\n";
    co_await call->response.send(cause.status, reason_phrase(cause.status), std::move(headers),
                                 std::move(body));
    record_response(*call, not_executed ? call_end::refused : call_end::failed, fields);
}

/// Determines the call's route, organisation, deadline and service, and refuses quarantined requests.
/// @return a refusal with status 0 if the call may proceed.
refusal admit(active_call& call)
{
    gateway_state& state = *call.context.state;
    call.plan = state.plan;
    if (!call.plan) {
        return {503, "no configuration yet", plan_retry_after};
    }
    call.route = plan::find_route(*call.plan, call.metadata.host, call.metadata.path);
    if (call.route == nullptr && !call.metadata.previous_turn.empty()) {
        // The turn may have been served under a newer plan, and 404 would say that it does not exist.
        return {503, "no such route yet", plan_retry_after};
    }
    if (call.route == nullptr) {
        return {404, "no such route", {}};
    }
    call.organisation =
        call.metadata.api_key.empty() ? nullptr : plan::find_organisation(*call.plan, call.metadata.api_key);
    const bool needs_key = !call.plan->plan.organisations.empty() && !call.route->allow_anonymous;
    if (needs_key && call.organisation == nullptr) {
        return {401, "unknown key", {}};
    }
    const duration requested_timeout = call.metadata.timeout.value_or(default_timeout);
    call.deadline = call.started_at + std::min(requested_timeout, call.route->timeout);
    if (state.stop_ends_at) {
        const std::optional<time_point> limited = limit_deadline(
            *state.stop_ends_at, call.deadline, state.route_timings[call.route->name], runtime_clock::now());
        if (!limited) {
            return {503, "the gateway stops", stop_retry_after};
        }
        call.deadline = *limited;
    }
    const request_name& first_request =
        call.metadata.resumed_request.empty() ? call.metadata.request : call.metadata.resumed_request;
    const std::string& affinity_key =
        call.metadata.program.empty() ? first_request.value : call.metadata.program.value;
    call.service = plan::pick_service(*call.route, hash_bytes(affinity_key)).service;
    const std::string organisation = call.organisation != nullptr ? call.organisation->name.value : "";
    // A turn that the route keeps is run with its history in front of its body.
    const std::string previous = call.route->keeps_turns ? call.metadata.previous_turn.value : "";
    call.request_hash = hash_bytes(call.request.body,
                                   hash_bytes(organisation + "\n" + call.request.target + "\n" + previous));
    if (directory::is_quarantined(state.crashes, call.request_hash, call.started_at)) {
        return {503, "the request was running when several upstreams died", {}};
    }
    if (is_budget_known_spent(call)) {
        return {402, "the program's budget is spent", {}};
    }
    return {0, "", {}};
}

/// A call starts a program if it has no previous turn and this gateway has not admitted a call of the program
/// recently.
bool starts_program(const active_call& call)
{
    const bool first_turn = !call.metadata.program.empty() && call.metadata.previous_turn.empty() &&
                            call.metadata.budget_tokens > 0 &&
                            call.route->kind == plan::call_kind::streaming && !takes_up_stream(call);
    return first_turn &&
           !is_recent_program(call.context.state->programs, hash_bytes(call.metadata.program.value));
}

/// Waits for a rate token of the call's organisation, if it has a rate limit.
/// @return a refusal with status 0 if the call may proceed.
asio::awaitable<refusal> acquire_rate_token(std::shared_ptr<active_call> call)
{
    const plan::organisation* organisation = call->organisation;
    if (organisation == nullptr || organisation->rate <= 0) {
        co_return refusal{0, "", {}};
    }
    const limit::rate_limit allowed =
        limit::apply_tolerance({organisation->rate, std::max(organisation->burst, 1.0)},
                               call->context.state->settings.rate_tolerance);
    configuration::organisation limits;
    limits.name = organisation->name;
    limits.rate = allowed.rate;
    limits.burst = allowed.burst;
    const std::uint64_t version = call->plan->plan.version.value;
    const limit::demand_kind kind =
        call->starts_program ? limit::demand_kind::new_program : limit::demand_kind::running_program;
    const duration max_wait = kind == limit::demand_kind::new_program ? max_start_wait : max_rate_wait;
    const duration wait_timeout = (call->deadline - call->started_at) / 3;
    std::uint32_t retry_ms = 0;
    const bool groups_known = co_await await_ledger_groups(call, call->started_at + wait_timeout);
    if (!groups_known) {
        co_return refusal{503, "no configuration yet", plan_retry_after};
    }
    try {
        co_await call->context.state->rate_limiter->acquire_token(limits, std::min(wait_timeout, max_wait),
                                                                  version, kind);
        co_return refusal{0, "", {}};
    }
    catch (const refusal_error& error) {
        retry_ms = error.retry_after_ms;
    }
    duration retry_after = std::chrono::milliseconds(retry_ms);
    if (kind == limit::demand_kind::new_program) {
        retry_after = std::max(retry_after, start_retry_after);
    }
    co_return refusal{too_many_requests, "the organisation's rate is used up", retry_after};
}

/// @return the caller's response after all attempts failed. Its status promises that the call did not run
/// only if no upstream may have executed it.
refusal make_final_refusal(bool maybe_executed, bool deadline_passed)
{
    if (maybe_executed) {
        return deadline_passed ? refusal{504, "the upstream did not answer in time", {}}
                               : refusal{502, "the upstream broke off", {}};
    }
    return {503, deadline_passed ? "no upstream took the call in time" : "no upstream took the call",
            shortage_retry_after};
}

/// Attempts the call until an attempt finishes it or no further attempt is allowed, then sends the caller the
/// outcome. A call that an upstream may have executed is retried only if the route permits it.
asio::awaitable<void> run_attempts(std::shared_ptr<active_call> call)
{
    attempt_result result = attempt_result::not_executed;
    bool maybe_executed = false;
    const std::uint32_t max_attempts = std::max(1U, call->route->max_attempts);
    for (int placement = 0; placement < max_placements && call->attempts < max_attempts; ++placement) {
        if (call->response.caller_left() || runtime_clock::now() >= call->deadline) {
            break;
        }
        const directory::instance_record instance = choose_instance(*call);
        if (instance.id.empty()) {
            break;
        }
        if (placement > 0) {
            call->context.state->counters.retried.fetch_add(1);
        }
        call->tried_instances.insert(instance.id.value);
        result = co_await run_attempt(call, instance);
        if (result == attempt_result::finished) {
            co_return;
        }
        maybe_executed = maybe_executed || result != attempt_result::not_executed;
        if (directory::is_quarantined(call->context.state->crashes, call->request_hash,
                                      runtime_clock::now())) {
            break;
        }
        const bool may_retry = result == attempt_result::not_executed || call->route->repeatable();
        if (!may_retry || call->cancellation != cancel_reason::none) {
            break;
        }
    }
    if (call->response.caller_left()) {
        co_return;
    }
    if (call->response.started()) {
        record_cut(*call, cut_cause::stream_broke_off, {});
        call->context.state->counters.failed.fetch_add(1);
        call->response.abort();
        co_return;
    }
    if (call->fallback_response) {
        co_await forward_response(call, std::move(*call->fallback_response));
        co_return;
    }
    const refusal cause = make_final_refusal(maybe_executed, runtime_clock::now() >= call->deadline);
    co_await refuse(call, cause);
}

/// Cancels the attempt in progress, since the deadline has passed.
void cancel_at_deadline(active_call& call)
{
    call.cancellation = cancel_reason::deadline;
    if (call.current_connection) {
        close_connection(*call.current_connection);
    }
}

/// Cancels the attempt in progress when the deadline has passed.
void start_deadline_timer(const std::shared_ptr<active_call>& call,
                          asio::basic_waitable_timer<runtime_clock>& timer)
{
    timer.expires_at(call->deadline + deadline_grace);
    timer.async_wait([weak = std::weak_ptr<active_call>(call)](boost::system::error_code error) {
        const std::shared_ptr<active_call> locked_call = weak.lock();
        if (error || !locked_call) {
            return;
        }
        cancel_at_deadline(*locked_call);
    });
}

/// Logs the parsed request, the plan version that admitted it and the time since its arrival.
void log_admission(const active_call& call)
{
    const time_point now = runtime_clock::now();
    const gateway_state& state = *call.context.state;
    log_event(event::call_opened,
              {{"request", call.metadata.request.value},
               {"route", call.route->name.value},
               {"organisation", call.organisation != nullptr ? call.organisation->name.value : ""},
               {"program", call.metadata.program.value},
               {"line", call.metadata.line},
               {"previous", call.metadata.previous_turn.value},
               {"resumes", call.metadata.resumed_request.value},
               {"after", call.metadata.resume_after.value_or(0)},
               {"plan", call.plan->plan.version.value},
               {"plan_confirmed_ms_ago", std::uint64_t(to_ms(now - state.plan_confirmed_at))},
               {"deadline_ms", std::uint64_t(to_ms(call.deadline - call.started_at))},
               {"waited_ms", std::uint64_t(to_ms(now - call.started_at))}});
}

/// Closes the call's turn without keeping it. A budget lacks the turn's reserved tokens until then, so that
/// the request is repeated while the ledger does not confirm it.
asio::awaitable<void> settle_turn(std::shared_ptr<active_call> call)
{
    call->history = std::string(); // a call that waits for the ledger holds no contents
    call->output = std::string();
    const int attempts = call->metadata.budget_tokens > 0 ? max_settle_attempts : 1;
    duration pause = first_settle_pause;
    for (int attempt = 1; attempt <= attempts; ++attempt) {
        const bool settled = co_await close_turn(call, false);
        if (settled || attempt == attempts) {
            co_return;
        }
        co_await runtime::wait_for(pause);
        pause *= 2;
    }
}

/// Opens the call's turn in the ledger, binds the call to the stream that it takes up and admits a program
/// that starts. @return a refusal with status 0 if the call may proceed.
asio::awaitable<refusal> open_call(std::shared_ptr<active_call> call)
{
    const bool takes_up = takes_up_stream(*call);
    if (!call->is_turn && !takes_up) {
        co_return refusal{0, "", {}};
    }
    refusal cause;
    if (takes_up) {
        cause = co_await open_taken_up_turn(call);
    }
    else {
        cause = co_await open_turn(call);
    }
    if (cause.status == 0 && takes_up) {
        cause = bind_to_origin(*call);
    }
    if (cause.status == 0) {
        cause = co_await admit_start(call);
        if (cause.status != 0) {
            forget_program(call->context.state->programs, hash_bytes(call->metadata.program.value));
        }
    }
    if (cause.status != 0 && call->may_be_open && call->is_turn) {
        const auto executor = co_await asio::this_coro::executor;
        asio::co_spawn(executor, settle_turn(call), asio::detached);
    }
    co_return cause;
}

asio::awaitable<void> handle_call(call_context context, raw_request& request, responder& response)
{
    auto call = std::make_shared<active_call>(std::move(context), request, response);
    call->started_at = runtime_clock::now();
    call->metadata = call->context.state->adapter.read_call(request);
    const duration plan_wait =
        std::min<duration>(max_plan_wait, call->metadata.timeout.value_or(default_timeout) / 3);
    while (!call->context.state->plan && runtime_clock::now() - call->started_at < plan_wait &&
           !response.caller_left()) {
        co_await runtime::wait_for(plan_poll_interval);
    }
    refusal cause = admit(*call);
    if (cause.status == 0) {
        call->starts_program = starts_program(*call);
        cause = co_await acquire_rate_token(call);
    }
    if (cause.status != 0) {
        co_await refuse(call, cause);
        co_return;
    }
    log_admission(*call);
    const running_call registration(call);
    if (!call->metadata.program.empty()) {
        record_program(call->context.state->programs, hash_bytes(call->metadata.program.value),
                       call->started_at);
    }
    const auto executor = co_await asio::this_coro::executor;
    asio::basic_waitable_timer<runtime_clock> timer(executor);
    start_deadline_timer(call, timer);
    response.on_caller_left = [weak = std::weak_ptr<active_call>(call)] {
        const std::shared_ptr<active_call> locked_call = weak.lock();
        if (locked_call && locked_call->cancellation == cancel_reason::none) {
            locked_call->cancellation = cancel_reason::caller_left;
            if (locked_call->current_connection) {
                close_connection(*locked_call->current_connection);
            }
        }
    };
    call->is_turn = call->route->kind == plan::call_kind::streaming &&
                    (call->route->keeps_turns || call->metadata.budget_tokens > 0);
    cause = co_await open_call(call);
    if (cause.status != 0) {
        if (call->organisation != nullptr && call->organisation->rate > 0) {
            call->context.state->rate_limiter->return_token(call->organisation->name);
        }
        co_await refuse(call, cause);
        co_return;
    }
    if (!response.caller_left()) {
        co_await run_attempts(call);
    }
    timer.cancel();
    if (call->end == call_end::answered) {
        record_duration(call->context.state->route_timings[call->route->name],
                        runtime_clock::now() - call->started_at);
    }
    response.on_caller_left = nullptr;
    if (call->is_turn) {
        // Releases the tokens that the turn reserved and did not use. Has no effect on a turn that was kept,
        // which is settled already.
        asio::co_spawn(executor, settle_turn(call), asio::detached);
    }
}

} // namespace

std::vector<event_field> call_fields(const active_call& call)
{
    return {{"request", call.metadata.request.value},
            {"route", call.route != nullptr ? call.route->name.value : ""},
            {"organisation", call.organisation != nullptr ? call.organisation->name.value : ""},
            {"program", call.metadata.program.value},
            {"plan", call.plan ? call.plan->plan.version.value : 0},
            {"attempts", std::uint64_t{call.attempts}},
            {"upstream", call.serving_instance},
            {"events", call.event_count},
            {"ms", std::uint64_t(to_ms(runtime_clock::now() - call.started_at))}};
}

void send_to_control(const call_context& context, const wire::envelope& report)
{
    for (const std::string& endpoint : context.state->control_endpoints) {
        context.link->send(endpoint, report);
    }
}

void end_running_calls(gateway_state& state)
{
    const time_point now = runtime_clock::now();
    for (active_call* call : state.running_calls) {
        if (!call->response.started() && call->cancellation == cancel_reason::none) {
            call->deadline = std::min(call->deadline, now);
            cancel_at_deadline(*call);
        }
    }
}

call_handler make_call_handler(call_context context)
{
    return [context = std::move(context)](raw_request& request, responder& response) {
        return handle_call(context, request, response);
    };
}

} // namespace guavawick::gateway
