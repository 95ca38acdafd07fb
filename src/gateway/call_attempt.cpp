// One attempt of a call at an upstream instance.
#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "gateway/call_admission.hpp"
#include "gateway/call_run.hpp"
#include "load/load_func.hpp"
#include "wire.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace guavawick::gateway {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

constexpr duration connect_timeout =
    400ms; ///< far above a handshake; an unreachable instance costs this once
constexpr duration default_idle_timeout = 5s; ///< for upstreams that send no idle timeout
constexpr duration non_repeatable_idle_timeout =
    2s; ///< of a connection reused for a call that can't be repeated
constexpr std::size_t max_buffered_bytes =
    8U << 20U; ///< of a response that is not a stream, and of the events of a turn that is kept
constexpr int min_error_status = 500; ///< from here on, statuses report errors of the upstream

/// @return the headers of an upstream's response that are forwarded to the caller.
header_list filter_response_headers(const header_list& headers)
{
    header_list forwarded;
    for (const auto& [name, value] : headers) {
        const bool hop_by_hop =
            boost::beast::iequals(name, "connection") || boost::beast::iequals(name, "keep-alive") ||
            boost::beast::iequals(name, "transfer-encoding") ||
            boost::beast::iequals(name, "content-length") || boost::beast::iequals(name, "upgrade");
        if (!hop_by_hop) {
            forwarded.emplace_back(name, value);
        }
    }
    return forwarded;
}

/// What was received of the response during one attempt.
struct attempt_state {
    response_head head;
    bool has_head = false;
    bool streaming = false; ///< events are forwarded as they arrive
    bool unusable = false;  ///< an event was missing or a duplicate
    exchange_report exchange;
    const char* given_up =
        nullptr; ///< why the gateway ended a response that the upstream may have sent correctly
    directory::instance_record target; ///< the instance, as it was known when the attempt began
    time_point first_event_at{};
    time_point last_event_at{};
    std::uint64_t events = 0; ///< of this attempt
    std::string body;
    event_splitter splitter;
    stream_times times;
    std::optional<boost::asio::basic_waitable_timer<runtime_clock>>
        silence_timer; ///< runs until the response begins
};

/// @return the bytes of the request to an upstream.
std::string serialise_request(const active_call& call, const directory::instance_record& target)
{
    upstream_metadata metadata;
    metadata.instance = target.id.value;
    metadata.organisation = call.organisation != nullptr ? call.organisation->name.value : "";
    const time_point now = runtime_clock::now();
    metadata.time_left = call.deadline - now;
    const auto service = call.plan->plan.services.find(call.service);
    const bool has_engine = service != call.plan->plan.services.end() && service->second.model.has_value();
    if (call.context.state->settings.features.engine_priority && has_engine) {
        metadata.priority = queueing::engine_priority(make_urgency(call, now));
    }
    metadata.resume_after = call.head_sent ? call.last_event_id : std::nullopt;
    metadata.body_bytes = call.history.size() + call.request.body.size();
    const bool has_body =
        metadata.body_bytes > 0 || call.request.method == "POST" || call.request.method == "PUT";
    std::string bytes = call.request.method + " " + call.request.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] :
         call.context.state->adapter.make_upstream_headers(call.request.headers, metadata)) {
        bytes.append(name).append(": ").append(value).append("\r\n");
    }
    if (has_body) {
        bytes += "Content-Length: " + std::to_string(metadata.body_bytes) + "\r\n";
    }
    bytes += "\r\n";
    bytes += call.history;
    bytes += call.request.body;
    return bytes;
}

/// Forwards an event to the caller.
/// @return false if its id does not follow that of the previous event, or the turn is too long to be kept.
asio::awaitable<bool> forward_event(std::shared_ptr<active_call> call, stream_event next)
{
    if (next.id && call->last_event_id && *next.id <= *call->last_event_id) {
        co_return false;
    }
    const std::uint64_t expected = call->last_event_id.value_or(call->metadata.resume_after.value_or(0)) + 1;
    if (next.id && call->event_count > 0 && *next.id != expected) {
        co_return false;
    }
    if (next.id) {
        call->last_event_id = next.id;
    }
    ++call->event_count;
    if (call->route->keeps_turns) {
        call->output += next.data;
        call->output.push_back('\n');
        if (call->output.size() > max_buffered_bytes) {
            co_return false;
        }
    }
    co_await call->response.write(std::move(next.bytes));
    co_return true;
}

/// Starts the streamed response to the caller.
asio::awaitable<void> start_response(std::shared_ptr<active_call> call, const response_head& head)
{
    call->head_sent = true;
    header_list headers = filter_response_headers(head.headers);
    co_await call->response.start(head.status, head.reason, std::move(headers));
}

/// Processes the head of a response. Starts the response to the caller if events will be forwarded. A stream
/// that may be taken up starts with its first event: until then another attempt may serve the caller.
/// @return false if the caller has left.
asio::awaitable<bool> receive_head(std::shared_ptr<active_call> call, attempt_state& state,
                                   const response_head& head)
{
    state.head = head;
    state.has_head = true;
    state.silence_timer.reset();
    const bool success = head.status >= 200 && head.status < 300;
    state.streaming = success && head.is_event_stream && head.metadata.signed_by_upstream;
    if (state.streaming && !call->head_sent && !call->route->resumable) {
        co_await start_response(call, head);
    }
    co_return !call->response.caller_left();
}

/// Processes a part of a response's body: forwards complete events of a stream, buffers any other body.
/// @return false if the attempt must end.
asio::awaitable<bool> receive_body(std::shared_ptr<active_call> call, attempt_state& state, std::string part)
{
    if (!state.streaming) {
        state.body += part;
        co_return state.body.size() <= max_buffered_bytes;
    }
    std::vector<stream_event> events = split_events(state.splitter, part);
    observe_events(*call, directory::instance_id{call->serving_instance}, state.times, events.size(),
                   runtime_clock::now());
    if (call->route->resumable && state.events == 0 && !events.empty()) {
        state.given_up = co_await bind_first_event(call, state.target);
        if (state.given_up != nullptr) {
            co_return false;
        }
        if (!call->head_sent) {
            co_await start_response(call, state.head);
        }
    }
    for (stream_event& next : events) {
        state.last_event_at = runtime_clock::now();
        state.first_event_at = state.events == 0 ? state.last_event_at : state.first_event_at;
        ++state.events;
        const bool in_order = co_await forward_event(call, std::move(next));
        if (!in_order) {
            state.unusable = true;
            co_return false;
        }
    }
    if (state.splitter.overflowed) {
        state.unusable = true;
        co_return false;
    }
    co_return !call->response.caller_left();
}

/// Takes over the load that a response reports.
void record_report(placing::instance_load& load, const response_metadata& metadata, time_point now)
{
    load.reported_running = metadata.running;
    load.reported_waiting = metadata.waiting;
    load.own_running_at_report = load.own_running;
    load.reported_at = now;
}

/// Updates what is known of an instance's load and error rate from a response.
void update_load(placing::instance_load& load, int status, const response_metadata& metadata, time_point now)
{
    const bool failed = status >= min_error_status && !metadata.not_executed;
    placing::record_response(load, failed, now);
    if (metadata.has_load) {
        record_report(load, metadata, now);
    }
}

/// @return memory that a call takes at an engine besides its shared prefix.
std::uint64_t count_own_tokens(const active_call& call)
{
    const std::uint64_t shared = call.metadata.prompt.empty() ? 0 : call.metadata.prompt.front().tokens;
    return call.metadata.prompt_tokens - std::min(call.metadata.prompt_tokens, shared);
}

/// Learns the instance's speed from a successful response that was read to its end.
void learn_speed(const active_call& call, placing::instance_load& load, const attempt_state& state,
                 time_point sent_at, time_point now)
{
    const bool success = state.head.status >= 200 && state.head.status < 300;
    if (!success || (state.streaming && state.events == 0)) {
        return;
    }
    guavawick::load::call_timing timing;
    timing.events = state.events;
    timing.first_event = state.first_event_at - sent_at;
    timing.all_pauses = state.last_event_at - state.first_event_at;
    timing.response = now - sent_at;
    guavawick::load::service_timing& service = call.context.state->timings[call.service.value];
    guavawick::load::record_call(load.timing, service, timing, guavawick::load::load_settings{}, now);
}

/// Makes placement avoid an instance for a while.
void suspect_instance(const directory::instance_record& instance, placing::instance_load& load,
                      time_point now)
{
    placing::record_failure(load, now);
    log_event(event::instance_suspected,
              {{"instance", instance.id.value},
               {"address", instance.address},
               {"failures", std::uint64_t{load.consecutive_failures}},
               {"for_ms", std::uint64_t(to_ms(load.suspect_until - now))},
               {"heard_ms_ago", std::uint64_t(to_ms(now - instance.last_seen_at))}});
}

/// Starts a timer for the beginning of the response. When it expires, new calls avoid the instance, and a
/// repeatable call with attempts left is cancelled, so that it is retried at another instance. Otherwise the
/// timer is started again.
void start_silence_timer(const asio::any_io_executor& executor, const std::shared_ptr<active_call>& call,
                         const connection_ptr& connection, const directory::instance_id& instance,
                         attempt_state& state)
{
    state.silence_timer.emplace(executor, placing::suspicion_timeout(call->route->latency_objective));
    state.silence_timer->async_wait([executor, weak = std::weak_ptr<active_call>(call), connection, instance,
                                     &state](boost::system::error_code error) {
        const std::shared_ptr<active_call> locked_call = weak.lock();
        if (error || !locked_call || locked_call->current_connection != connection) {
            return;
        }
        const time_point now = runtime_clock::now();
        placing::record_silence(locked_call->context.state->loads[instance], now);
        log_event(event::instance_suspected, {{"instance", instance.value},
                                              {"request", locked_call->metadata.request.value},
                                              {"reason", "no answer has begun in time"}});
        if (locked_call->route->repeatable() && locked_call->attempts < locked_call->route->max_attempts) {
            close_connection(*connection);
            return;
        }
        start_silence_timer(executor, locked_call, connection, instance, state);
    });
}

/// @param status of the response, 0 if there was none.
void log_failed_attempt(const active_call& call, const directory::instance_record& target,
                        const std::string& reason, int status)
{
    std::vector<event_field> fields = call_fields(call);
    fields.push_back({"to", target.id.value});
    fields.push_back({"address", target.address});
    fields.push_back({"heard_ms_ago", std::uint64_t(to_ms(runtime_clock::now() - target.last_seen_at))});
    fields.push_back({"status", std::uint64_t(status)});
    fields.push_back({"reason", reason});
    log_event(event::attempt_failed, fields);
}

/// @return an idle connection to the instance or a new one, nullptr if none could be opened.
asio::awaitable<connection_ptr> acquire_connection(std::shared_ptr<active_call> call,
                                                   const directory::instance_record& target)
{
    gateway_state& state = *call->context.state;
    const time_point now = runtime_clock::now();
    while (connection_ptr connection = state.connections.acquire(target.id.value, now)) {
        const bool usable =
            call->route->repeatable() || now - connection->idle_since < non_repeatable_idle_timeout;
        if (usable) {
            co_return connection;
        }
    }
    state.counters.connects.fetch_add(1);
    const duration time_left = call->deadline - now;
    co_return co_await connect_upstream(target.id.value, target.address,
                                        std::min(connect_timeout, time_left));
}

/// Completes the response to the caller after the last event was forwarded. A turn that the route keeps is
/// first stored in the ledger; if that fails, the response is aborted.
asio::awaitable<attempt_result> finish_stream(std::shared_ptr<active_call> call, attempt_state& state)
{
    if (!call->head_sent) {
        co_await start_response(call, state.head); // of a stream without events
    }
    if (!state.splitter.pending.empty()) {
        // Comments and empty lines after the last event belong to the body.
        std::string remainder = std::move(state.splitter.pending);
        co_await call->response.write(std::move(remainder));
    }
    if (call->route->keeps_turns) {
        const bool committed = co_await close_turn(call, true);
        if (!committed) {
            record_cut(*call, cut_cause::turn_not_confirmed, {});
            call->context.state->counters.failed.fetch_add(1);
            call->response.abort();
            co_return attempt_result::finished;
        }
        store_history(call->context.state->histories, history_key(*call, call->metadata.request),
                      call->history + call->request.body + call->output);
    }
    call->context.state->counters.answered.fetch_add(1);
    co_await call->response.finish();
    record_response(*call, call_end::answered, {});
    co_return attempt_result::finished;
}

/// Concludes an attempt whose exchange has ended: forwards the response if it is usable, otherwise determines
/// whether the upstream may have executed the call.
asio::awaitable<attempt_result> conclude_attempt(std::shared_ptr<active_call> call, attempt_state& state,
                                                 exchange_result result,
                                                 const directory::instance_record& target)
{
    if (call->response.caller_left()) {
        co_return attempt_result::finished;
    }
    if (state.has_head && state.head.metadata.not_executed) {
        log_failed_attempt(*call, target, "the upstream did not run the call", state.head.status);
        if (state.head.status == misdirected_status) {
            --call->attempts; // another instance has the address; the intended one received nothing
        }
        co_return attempt_result::not_executed;
    }
    if (result == exchange_result::complete && !state.unusable) {
        if (state.streaming) {
            co_return co_await finish_stream(call, state);
        }
        const bool success = state.head.status >= 200 && state.head.status < 300;
        const bool authentic = !success || state.head.metadata.signed_by_upstream;
        const bool retryable = call->route->kind == plan::call_kind::idempotent && state.head.status >= 500;
        if (authentic && !call->head_sent) {
            upstream_response response{state.head, std::move(state.body)};
            if (retryable) {
                call->fallback_response = std::move(response);
                co_return attempt_result::maybe_executed;
            }
            co_await forward_response(call, std::move(response));
            co_return attempt_result::finished;
        }
        log_failed_attempt(*call, target, "the upstream's answer can't be used", state.head.status);
        co_return call->head_sent ? attempt_result::stream_interrupted : attempt_result::maybe_executed;
    }
    const bool cancelled = call->cancellation != cancel_reason::none;
    const std::optional<int> rejected_status = state.exchange.last_head.rejected_status;
    log_failed_attempt(*call, target,
                       cancelled                   ? "stopped"
                       : state.given_up != nullptr ? state.given_up
                       : state.has_head            ? state.exchange.describe_break()
                       : rejected_status           ? state.exchange.last_head.describe()
                                                   : "no answer",
                       state.has_head ? state.head.status : rejected_status.value_or(0));
    co_return call->head_sent ? attempt_result::stream_interrupted : attempt_result::maybe_executed;
}

} // namespace

asio::awaitable<attempt_result> run_attempt(std::shared_ptr<active_call> call,
                                            const directory::instance_record& instance)
{
    gateway_state& gateway = *call->context.state;
    const directory::instance_record target = instance;
    placing::instance_load& load = gateway.loads[target.id];
    attempt_watch watch(*call, target);
    const connection_ptr connection = co_await acquire_connection(call, target);
    if (!connection) {
        suspect_instance(target, load, runtime_clock::now());
        log_failed_attempt(*call, target, "no connection", 0);
        co_return attempt_result::not_executed;
    }
    if (call->cancellation != cancel_reason::none || call->response.caller_left()) {
        co_return attempt_result::not_executed;
    }
    attempt_state state;
    state.target = target;
    response_sink sink;
    sink.on_authentic_head = [call, target](const response_head& head) {
        note_leaving(call->context, target, head);
    };
    const bool learned_load = gateway.settings.features.learned_load;
    sink.on_head = [call, &state, &load, learned_load](const response_head& head) {
        if (learned_load && head.metadata.has_load) {
            const time_point received_at = runtime_clock::now();
            record_report(load, head.metadata, received_at);
            if (head.metadata.pace_percent) {
                guavawick::load::record_pace(load.timing, *head.metadata.pace_percent,
                                             guavawick::load::load_settings{}, received_at);
            }
        }
        return receive_head(call, state, head);
    };
    sink.on_body = [call, &state](std::string part) { return receive_body(call, state, std::move(part)); };
    ++call->attempts;
    call->serving_instance = target.id.value;
    call->current_connection = connection;
    ++load.own_running;
    const std::uint64_t own_tokens = count_own_tokens(*call);
    load.own_tokens += own_tokens;
    const auto request = std::make_shared<const std::string>(serialise_request(*call, target));
    const time_point sent_at = runtime_clock::now();
    state.times.sent_at = sent_at;
    const auto executor = co_await asio::this_coro::executor;
    start_silence_timer(executor, call, connection, target.id, state);
    exchange_result result =
        co_await exchange(connection, request, call->metadata.request.value, call->request.method == "HEAD",
                          gateway.adapter, sink, state.exchange);
    state.silence_timer.reset();
    if (result == exchange_result::complete && state.streaming && is_inside_event(state.splitter)) {
        result = exchange_result::truncated_body; // whatever its framing says
        state.exchange.reusable = false;
    }
    --load.own_running;
    load.own_tokens -= own_tokens;
    call->current_connection = nullptr;
    const time_point now = runtime_clock::now();
    if (result == exchange_result::complete) {
        response_metadata metadata = state.head.metadata;
        // The head's report is as old as the response took, and was taken over when the head arrived.
        metadata.has_load = metadata.has_load && !learned_load;
        update_load(load, state.head.status, metadata, now);
        if (state.streaming && !state.unusable) {
            observe_stream_end(*call, target.id, state.times, now);
        }
        if (learned_load) {
            learn_speed(*call, load, state, sent_at, now);
        }
    }
    else if (state.given_up == nullptr &&
             (call->cancellation == cancel_reason::none ||
              (call->cancellation == cancel_reason::deadline && !state.has_head))) {
        suspect_instance(target, load, now);
    }
    if (state.exchange.reusable) {
        gateway.connections.release(connection,
                                    state.head.metadata.idle_timeout.value_or(default_idle_timeout), now);
    }
    else {
        close_connection(*connection);
    }
    const bool was_rejected = state.has_head && state.head.metadata.not_executed;
    if (!was_rejected && state.given_up == nullptr && call->cancellation != cancel_reason::caller_left) {
        const bool success = state.head.status >= 200 && state.head.status < 300;
        const bool forged = success && !state.head.metadata.signed_by_upstream;
        watch.record_outcome(result != exchange_result::complete || state.unusable || forged ||
                             state.head.status >= min_error_status);
    }
    if (was_rejected && state.head.status != misdirected_status) {
        observe_rejection(*call, now);
    }
    const bool broke_off =
        result == exchange_result::no_response || result == exchange_result::truncated_body;
    if (broke_off && !was_rejected) {
        const directory::crash_report report{call->request_hash, target.id, target.started_ms, sent_at, now};
        start_crash_probe(call->context, executor, report, target.address);
    }
    // An instance that crashes may close its connections in order, so that its answer seems to be whole.
    const bool ran_to_its_end = result == exchange_result::complete && !state.head.ends_with_connection;
    if (ran_to_its_end && !was_rejected && !state.unusable) {
        report_completion(call->context, call->request_hash);
    }
    co_return co_await conclude_attempt(call, state, result, target);
}

asio::awaitable<void> forward_response(std::shared_ptr<active_call> call, upstream_response response)
{
    call->context.state->counters.answered.fetch_add(1);
    const std::vector<event_field> details{{"status", std::uint64_t(response.head.status)}};
    header_list headers = filter_response_headers(response.head.headers);
    co_await call->response.send(response.head.status, response.head.reason, std::move(headers),
                                 std::move(response.body));
    record_response(*call, call_end::answered, details);
}

} // namespace guavawick::gateway
