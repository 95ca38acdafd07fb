// One attempt of a call at one upstream instance, and what the ledger is told of turns.
#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "core/fleet_state.hpp"
#include "gateway/call_run.hpp"
#include "turns/turn_type.hpp"
#include "wire.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/beast/core/string.hpp>

namespace guavawick::gateway {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

constexpr duration connect_limit = 400ms;     ///< far above a handshake; a silent instance costs this once
constexpr duration ledger_limit = 2500ms;     ///< a new leader is found within two seconds
constexpr duration least_close_limit = 500ms; ///< for the end of a stream that ends just before its deadline
constexpr duration default_idle_limit = 5s;   ///< of connections to upstreams that name no limit
constexpr duration reuse_unrepeatable = 2s;   ///< a call that must not be lost uses connections idle for less
constexpr std::size_t most_buffered = 8U << 20U; ///< bytes of an answer that is not a stream
constexpr int least_failure = 500;               ///< statuses of an upstream's own failures
constexpr duration ledger_step = 20ms;           ///< how often a waiting call looks for the ledger groups
constexpr duration retry_ledger = 300ms;         ///< a new leader of the ledger needs about this long
constexpr int misdirected_status = 421;
constexpr duration crash_probe_delay = 30ms; ///< a crashed process no longer accepts after this

/// The head fields of an upstream's answer that are passed on.
header_list pass_on(const header_list& headers)
{
    header_list made;
    for (const auto& [name, value] : headers) {
        const bool own =
            boost::beast::iequals(name, "connection") || boost::beast::iequals(name, "keep-alive") ||
            boost::beast::iequals(name, "transfer-encoding") || boost::beast::iequals(name, "content-length");
        if (!own) {
            made.emplace_back(name, value);
        }
    }
    return made;
}

/// What one attempt has received so far.
struct attempt_state {
    answer_head head;
    bool has_head = false;
    bool streams = false;      ///< events are passed on as they arrive
    bool out_of_order = false; ///< events are missing or doubled
    std::string body;
    event_splitter splitter;
    std::optional<boost::asio::basic_waitable_timer<runtime_clock>> silence; ///< until the answer begins
};

std::string make_request(const call_run& run, const directory::instance_record& to)
{
    upstream_facts told;
    told.instance = to.id.value;
    told.organisation = run.organisation != nullptr ? run.organisation->name.value : "";
    told.time_left = run.deadline - runtime_clock::now();
    told.resume_after = run.head_sent ? run.last_event : std::nullopt;
    told.body_bytes = run.history.size() + run.received.body.size();
    const bool has_body =
        told.body_bytes > 0 || run.received.method == "POST" || run.received.method == "PUT";
    std::string made = run.received.method + " " + run.received.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] :
         run.context.state->speaks.make_upstream_headers(run.received.headers, told)) {
        made.append(name).append(": ").append(value).append("\r\n");
    }
    if (has_body) {
        made += "Content-Length: " + std::to_string(told.body_bytes) + "\r\n";
    }
    made += "\r\n";
    made += run.history;
    made += run.received.body;
    return made;
}

/// Passes one event on. @return false if it does not follow the one before.
asio::awaitable<bool> pass_event(std::shared_ptr<call_run> run, stream_event one)
{
    if (one.id && run->last_event && *one.id <= *run->last_event) {
        co_return false;
    }
    const std::uint64_t expected = run->last_event.value_or(run->facts.resume_after.value_or(0)) + 1;
    if (one.id && run->events > 0 && *one.id != expected) {
        co_return false;
    }
    if (one.id) {
        run->last_event = one.id;
    }
    ++run->events;
    if (run->route->keeps_turns) {
        run->output += one.data;
        run->output.push_back('\n');
    }
    co_await run->port.write(std::move(one.bytes));
    co_return true;
}

asio::awaitable<bool> take_head(std::shared_ptr<call_run> run, attempt_state& state, const answer_head& head)
{
    state.head = head;
    state.has_head = true;
    state.silence.reset();
    const bool success = head.status >= 200 && head.status < 300;
    state.streams = success && head.is_event_stream && head.facts.signed_by_upstream;
    if (state.streams && !run->head_sent) {
        run->head_sent = true;
        header_list headers = pass_on(head.headers);
        co_await run->port.start(head.status, head.reason, std::move(headers));
    }
    co_return !run->port.caller_left();
}

asio::awaitable<bool> take_body(std::shared_ptr<call_run> run, attempt_state& state, std::string part)
{
    if (!state.streams) {
        state.body += part;
        co_return state.body.size() <= most_buffered;
    }
    for (stream_event& one : split_events(state.splitter, part)) {
        const bool fits = co_await pass_event(run, std::move(one));
        if (!fits) {
            state.out_of_order = true;
            co_return false;
        }
    }
    co_return !run->port.caller_left();
}

/// An upstream that crashed no longer accepts connections: then the request is suspected of it.
asio::awaitable<void> probe_crash(call_context context, std::uint64_t request_hash, std::string instance,
                                  std::string address)
{
    co_await runtime::wait_for(crash_probe_delay);
    const connection_ptr alive = co_await connect_upstream(instance, address, connect_limit);
    if (alive) {
        co_return;
    }
    gateway_state& state = *context.state;
    if (!directory::record_crash(state.crashes, request_hash, instance, runtime_clock::now())) {
        co_return;
    }
    log_event(
        event::request_quarantined,
        {{"body_hash", request_hash},
         {"instance", instance},
         {"refused",
          directory::is_quarantined(state.crashes, request_hash, runtime_clock::now()) ? "yes" : "no"}});
    wire::envelope report;
    wire::crash_record* made = report.mutable_directory()->add_crashes();
    made->set_request_hash(request_hash);
    made->set_instance(instance);
    for (const std::string& endpoint : state.controls) {
        context.links->send(endpoint, report);
    }
}

void note_load(placing::instance_load& load, int status, const answer_facts& facts, time_point now)
{
    const bool failed = status >= least_failure && !facts.not_run;
    placing::record_response(load, failed, now);
    if (facts.has_load) {
        load.reported_running = facts.running;
        load.reported_waiting = facts.waiting;
        load.own_running_at_report = load.own_running;
        load.reported_at = now;
    }
}

/// Avoids an instance for a while.
void suspect(const directory::instance_record& one, placing::instance_load& load, time_point now)
{
    placing::record_failure(load, now);
    log_event(event::instance_suspected, {{"instance", one.id.value},
                                          {"address", one.address},
                                          {"failures", std::uint64_t{load.consecutive_failures}},
                                          {"for_ms", std::uint64_t(to_ms(load.suspect_until - now))},
                                          {"heard_ms_ago", std::uint64_t(to_ms(now - one.last_seen_at))}});
}

/// While the answer has not begun in time, new calls avoid the instance. A call that may be repeated goes to
/// another one.
void watch_silence(const asio::any_io_executor& executor, const std::shared_ptr<call_run>& run,
                   const connection_ptr& with, const directory::instance_id& to, attempt_state& state)
{
    state.silence.emplace(executor, placing::suspicion_timeout(run->route->latency_objective));
    state.silence->async_wait([executor, weak = std::weak_ptr<call_run>(run), with, to,
                               &state](boost::system::error_code cancelled) {
        const std::shared_ptr<call_run> held = weak.lock();
        if (cancelled || !held || held->current != with) {
            return;
        }
        const time_point now = runtime_clock::now();
        placing::record_silence(held->context.state->loads[to], now);
        log_event(event::instance_suspected, {{"instance", to.value},
                                              {"request", held->facts.request.value},
                                              {"reason", "no answer has begun in time"}});
        if (held->route->repeatable() && held->attempts < held->route->max_attempts) {
            close_connection(*with);
            return;
        }
        watch_silence(executor, held, with, to, state);
    });
}

void log_attempt(const call_run& run, const directory::instance_record& to, const char* reason, int status)
{
    std::vector<event_field> fields = call_fields(run);
    fields.push_back({"to", to.id.value});
    fields.push_back({"address", to.address});
    fields.push_back({"heard_ms_ago", std::uint64_t(to_ms(runtime_clock::now() - to.last_seen_at))});
    fields.push_back({"status", std::uint64_t(status)});
    fields.push_back({"reason", reason});
    log_event(event::attempt_failed, fields);
}

asio::awaitable<connection_ptr> get_connection(std::shared_ptr<call_run> run,
                                               const directory::instance_record& to)
{
    gateway_state& state = *run->context.state;
    const time_point now = runtime_clock::now();
    while (connection_ptr held = state.connections.take(to.id.value, now)) {
        const bool trusted = run->route->repeatable() || now - held->idle_since < reuse_unrepeatable;
        if (trusted) {
            co_return held;
        }
    }
    state.counters.connects.fetch_add(1);
    const duration left = run->deadline - now;
    co_return co_await connect_upstream(to.id.value, to.address, std::min(connect_limit, left));
}

std::string chain_key(const call_run& run, const request_name& turn)
{
    return make_chain_key(run.organisation != nullptr ? run.organisation->name.value : "", turn.value);
}

/// Ends a stream whose last event was passed on.
asio::awaitable<attempt_end> end_stream(std::shared_ptr<call_run> run, attempt_state& state)
{
    if (!state.splitter.pending.empty()) {
        // Bytes after the last whole event belong to the body.
        std::string rest = std::move(state.splitter.pending);
        co_await run->port.write(std::move(rest));
    }
    if (run->route->keeps_turns) {
        const bool kept = co_await close_turn(run, true);
        if (!kept) {
            std::vector<event_field> fields = call_fields(*run);
            fields.push_back({"reason", "the ledger did not confirm the turn"});
            log_event(event::call_failed, fields);
            run->context.state->counters.failed.fetch_add(1);
            run->port.abort();
            co_return attempt_end::answered;
        }
        keep_chain(run->context.state->chains, chain_key(*run, run->facts.request),
                   run->history + run->received.body + run->output);
    }
    run->context.state->counters.answered.fetch_add(1);
    log_event(event::call_answered, call_fields(*run));
    co_await run->port.finish();
    co_return attempt_end::answered;
}

/// Decides what an exchange that ended means for the call.
asio::awaitable<attempt_end> judge(std::shared_ptr<call_run> run, attempt_state& state, exchange_end end,
                                   const directory::instance_record& to)
{
    if (run->port.caller_left()) {
        co_return attempt_end::answered;
    }
    if (state.has_head && state.head.facts.not_run) {
        log_attempt(*run, to, "the upstream did not run the call", state.head.status);
        if (state.head.status == misdirected_status) {
            --run->attempts; // another instance has the address; the one that was meant got nothing
        }
        co_return attempt_end::not_run;
    }
    if (end == exchange_end::whole && !state.out_of_order) {
        if (state.streams) {
            co_return co_await end_stream(run, state);
        }
        const bool success = state.head.status >= 200 && state.head.status < 300;
        const bool genuine = !success || state.head.facts.signed_by_upstream;
        const bool again = run->route->kind == plan::call_kind::idempotent && state.head.status >= 500;
        if (genuine && !run->head_sent) {
            upstream_answer answer{state.head, std::move(state.body)};
            if (again) {
                run->spare = std::move(answer);
                co_return attempt_end::maybe_run;
            }
            co_await pass_answer(run, std::move(answer));
            co_return attempt_end::answered;
        }
        log_attempt(*run, to, "the upstream's answer can't be used", state.head.status);
        co_return run->head_sent ? attempt_end::stream_broken : attempt_end::maybe_run;
    }
    const bool stopped = run->stopped != stop_reason::none;
    log_attempt(*run, to,
                stopped          ? "stopped"
                : state.has_head ? "the answer broke off"
                                 : "no answer",
                state.has_head ? state.head.status : 0);
    if (!stopped && end == exchange_end::broken_head) {
        const auto executor = co_await asio::this_coro::executor;
        asio::co_spawn(executor, probe_crash(run->context, run->request_hash, to.id.value, to.address),
                       asio::detached);
    }
    co_return run->head_sent ? attempt_end::stream_broken : attempt_end::maybe_run;
}

/// Asks the ledger group of the call's organisation. An entry that has just started first waits until control
/// told it of the groups. @throw link_error if no leader answered within the limit.
asio::awaitable<wire::envelope_ptr> call_ledger(std::shared_ptr<call_run> run, wire::envelope question,
                                                duration limit)
{
    const gateway_state& state = *run->context.state;
    const organisation_name who =
        run->organisation != nullptr ? run->organisation->name : organisation_name{};
    const time_point deadline = runtime_clock::now() + limit;
    const bool known = co_await await_ledgers(run, deadline);
    const std::optional<std::uint32_t> group = core::ledger_group_of(who, state.ledgers);
    if (!known || !group) {
        throw link_error("control has not told of the ledger groups yet");
    }
    dependency& asked =
        run->context.state->ledger.try_emplace(*group, dependency{"ledger group " + std::to_string(*group)})
            .first->second;
    try {
        wire::envelope_ptr reply =
            co_await run->context.ledger->call(*group, std::move(question), deadline - runtime_clock::now());
        note_answer(asked, runtime_clock::now());
        co_return reply;
    }
    catch (const link_error& fault) {
        note_silence(asked, fault.what(), runtime_clock::now());
        throw;
    }
}

} // namespace

asio::awaitable<attempt_end> run_attempt(std::shared_ptr<call_run> run, const directory::instance_record& to)
{
    gateway_state& shared = *run->context.state;
    const directory::instance_record target = to;
    placing::instance_load& load = shared.loads[target.id];
    const connection_ptr with = co_await get_connection(run, target);
    if (!with) {
        suspect(target, load, runtime_clock::now());
        log_attempt(*run, target, "no connection", 0);
        co_return attempt_end::not_run;
    }
    if (run->stopped != stop_reason::none || run->port.caller_left()) {
        co_return attempt_end::not_run;
    }
    attempt_state state;
    answer_sink sink;
    sink.head = [run, &state](const answer_head& head) { return take_head(run, state, head); };
    sink.body = [run, &state](std::string part) { return take_body(run, state, std::move(part)); };
    ++run->attempts;
    run->ran_at = target.id.value;
    run->current = with;
    ++load.own_running;
    const auto request = std::make_shared<const std::string>(make_request(*run, target));
    bool reusable = false;
    const auto executor = co_await asio::this_coro::executor;
    watch_silence(executor, run, with, target.id, state);
    const exchange_end end = co_await exchange(with, request, run->facts.request.value,
                                               run->received.method == "HEAD", shared.speaks, sink, reusable);
    state.silence.reset();
    --load.own_running;
    run->current = nullptr;
    const time_point now = runtime_clock::now();
    if (end == exchange_end::whole) {
        note_load(load, state.head.status, state.head.facts, now);
    }
    else if (run->stopped == stop_reason::none ||
             (run->stopped == stop_reason::deadline && !state.has_head)) {
        suspect(target, load, now);
    }
    if (reusable) {
        shared.connections.give_back(with, state.head.facts.idle_limit.value_or(default_idle_limit), now);
    }
    else {
        close_connection(*with);
    }
    co_return co_await judge(run, state, end, target);
}

asio::awaitable<void> pass_answer(std::shared_ptr<call_run> run, upstream_answer answer)
{
    run->context.state->counters.answered.fetch_add(1);
    std::vector<event_field> fields = call_fields(*run);
    fields.push_back({"status", std::uint64_t(answer.head.status)});
    log_event(event::call_answered, fields);
    header_list headers = pass_on(answer.head.headers);
    co_await run->port.send(answer.head.status, answer.head.reason, std::move(headers),
                            std::move(answer.body));
}

asio::awaitable<bool> await_ledgers(std::shared_ptr<call_run> run, time_point deadline)
{
    const gateway_state& state = *run->context.state;
    while (state.ledgers == 0 && runtime_clock::now() < deadline) {
        co_await runtime::wait_for(ledger_step);
    }
    co_return state.ledgers > 0;
}

asio::awaitable<refusal> open_turn(std::shared_ptr<call_run> run)
{
    wire::envelope question;
    wire::open_turn* body = question.mutable_open_turn();
    body->set_organisation(run->organisation != nullptr ? run->organisation->name.value : "");
    body->set_request(run->facts.request.value);
    body->set_program(run->facts.program.value);
    body->set_budget_tokens(run->facts.budget_tokens);
    body->set_most_tokens(run->facts.most_tokens);
    body->set_line(run->facts.line);
    std::string known_chain;
    if (run->route->keeps_turns) {
        body->set_previous(run->facts.previous_turn.value);
        if (const std::string* held =
                find_chain(run->context.state->chains, chain_key(*run, run->facts.previous_turn))) {
            known_chain = *held;
            body->set_has_history(true);
        }
    }
    const duration left = run->deadline - runtime_clock::now();
    std::string fault;
    wire::envelope_ptr reply;
    try {
        reply = co_await call_ledger(run, std::move(question), std::min<duration>(left / 2, ledger_limit));
    }
    catch (const link_error& error) {
        fault = error.what();
    }
    if (!reply || !reply->has_turn_opened()) {
        std::vector<event_field> fields = call_fields(*run);
        const bool overloaded = reply && reply->has_refused();
        fields.push_back({"reason", overloaded ? "the ledger is overloaded" : fault});
        log_event(event::attempt_failed, fields);
        co_return refusal{503, "the ledger does not answer", retry_ledger};
    }
    const wire::open_turn_reply& answer = reply->turn_opened();
    const auto outcome = static_cast<turns::open_outcome>(answer.outcome());
    if (outcome == turns::open_outcome::budget_spent) {
        co_return refusal{402, "the program's budget is spent", {}};
    }
    if (outcome == turns::open_outcome::unknown_turn) {
        co_return refusal{404, "no such turn", {}};
    }
    run->history = answer.history().empty() ? known_chain : answer.history();
    run->warm_instance = answer.upstream();
    co_return refusal{0, "", {}};
}

asio::awaitable<bool> close_turn(std::shared_ptr<call_run> run, bool whole)
{
    const auto service = run->plan->plan.services.find(run->service);
    const bool model = service != run->plan->plan.services.end() && service->second.model.has_value();
    const std::uint64_t per_event = model ? service->second.model->tokens_per_event : 1;
    wire::envelope report;
    wire::close_turn* body = report.mutable_close_turn();
    body->set_organisation(run->organisation != nullptr ? run->organisation->name.value : "");
    body->set_request(run->facts.request.value);
    body->set_program(run->facts.budget_tokens > 0 ? run->facts.program.value : "");
    body->set_used_tokens(run->events * per_event);
    body->set_upstream(run->ran_at);
    body->set_line(run->facts.line);
    if (whole) {
        body->set_keep(true);
        body->set_previous(run->facts.previous_turn.value);
        body->set_input(run->received.body);
        body->set_output(run->output);
        body->set_retention_ms(static_cast<std::uint64_t>(to_ms(run->route->retention)));
    }
    std::string fault;
    // The caller waits for the end of its answer; once it has gone nobody needs the turn any more.
    const duration left = run->deadline - runtime_clock::now();
    const duration limit = whole ? std::max<duration>(left, least_close_limit) : ledger_limit;
    try {
        const wire::envelope_ptr reply = co_await call_ledger(run, std::move(report), limit);
        co_return reply->has_done();
    }
    catch (const link_error& error) {
        fault = error.what();
    }
    std::vector<event_field> fields = call_fields(*run);
    fields.push_back({"reason", fault});
    log_event(event::turn_closed, fields);
    co_return false;
}

} // namespace guavawick::gateway
