// The way of one call through an entry: admission, placing and attempts.
#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
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

constexpr duration longest_rate_wait = 1500ms; ///< of running programs; longer waits are refused at once
constexpr duration longest_start_wait = 1s; ///< of programs that would begin: little is lost by coming back
constexpr duration start_again = 700ms;    ///< a program that found no token; others of its kind wait as well
constexpr duration default_deadline = 30s; ///< of callers that name none
constexpr duration deadline_slack = 60ms;  ///< for the upstream's own answer at the deadline to arrive
constexpr int too_many_requests = 429;
constexpr int most_placements = 6;             ///< tries to find an upstream that takes the call
constexpr duration soon = 200ms;               ///< when another try is worthwhile after a passing shortage
constexpr duration no_plan_yet = 500ms;        ///< an entry gets its plan within a subscription
constexpr duration longest_plan_wait = 1500ms; ///< an entry that has just started soon has its plan
constexpr duration plan_step = 20ms;           ///< how often a waiting call looks for the plan
constexpr double least_cold_rate = 0.2;        ///< calls a second of one entry to one cold upstream

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

asio::awaitable<void> refuse(std::shared_ptr<call_run> run, refusal why)
{
    gateway_counters& counters = run->context.state->counters;
    const bool promised = why.status != 502 && why.status != 504;
    (promised ? counters.refused : counters.failed).fetch_add(1);
    std::vector<event_field> fields = call_fields(*run);
    fields.push_back({"status", std::uint64_t(why.status)});
    fields.push_back({"reason", why.reason});
    fields.push_back({"retry_after_ms", std::uint64_t(to_ms(why.retry_after))});
    if (why.status == too_many_requests && run->organisation != nullptr) {
        fields.push_back({"rate", std::uint64_t(run->organisation->rate)});
        fields.push_back({"burst", std::uint64_t(run->organisation->burst)});
    }
    log_event(promised ? event::call_refused : event::call_failed, fields);
    header_list headers{{"Content-Type", "text/plain"}};
    if (why.retry_after > duration{}) {
        headers.emplace_back("Retry-After", to_seconds_text(why.retry_after));
    }
    std::string body = std::string(why.reason) + "\n";
    co_await run->port.send(why.status, reason_phrase(why.status), std::move(headers), std::move(body));
}

/// Looks route, organisation and service up. @return a refusal with status 0 if the call may go on.
refusal admit(call_run& run)
{
    gateway_state& state = *run.context.state;
    run.plan = state.plan;
    if (!run.plan) {
        return {503, "no configuration yet", no_plan_yet};
    }
    run.route = plan::find_route(*run.plan, run.facts.host, run.facts.path);
    if (run.route == nullptr) {
        return {404, "no such route", {}};
    }
    run.organisation = run.facts.key.empty() ? nullptr : plan::find_organisation(*run.plan, run.facts.key);
    const bool needs_key = !run.plan->plan.organisations.empty() && !run.route->allow_anonymous;
    if (needs_key && run.organisation == nullptr) {
        return {401, "unknown key", {}};
    }
    const duration asked = run.facts.deadline.value_or(default_deadline);
    run.deadline = run.begun + std::min(asked, run.route->timeout);
    const std::string& group = run.facts.program.empty() ? run.facts.request.value : run.facts.program.value;
    run.service = plan::pick_service(*run.route, hash_bytes(group)).service;
    const std::string who = run.organisation != nullptr ? run.organisation->name.value : "";
    run.request_hash = hash_bytes(who + "\n" + run.received.target + "\n" + run.received.body);
    if (directory::is_quarantined(state.crashes, run.request_hash, run.begun)) {
        return {503, "the request was running when several upstreams died", {}};
    }
    return {0, "", {}};
}

/// A program begins with a turn that continues from nothing; this entry has not heard of it before.
limit::demand_kind classify_demand(const call_run& run)
{
    const bool first = !run.facts.program.empty() && run.facts.previous_turn.empty() &&
                       run.facts.budget_tokens > 0 && run.route->kind == plan::call_kind::streaming;
    return first && !knows(run.context.state->programs, hash_bytes(run.facts.program.value))
               ? limit::demand_kind::new_program
               : limit::demand_kind::running_program;
}

asio::awaitable<refusal> pass_rate(std::shared_ptr<call_run> run)
{
    const plan::organisation* who = run->organisation;
    if (who == nullptr || who->rate <= 0) {
        co_return refusal{0, "", {}};
    }
    const limit::rate_limit allowed = limit::apply_tolerance({who->rate, std::max(who->burst, 1.0)},
                                                             run->context.state->settings.rate_tolerance);
    configuration::organisation limits;
    limits.name = who->name;
    limits.rate = allowed.rate;
    limits.burst = allowed.burst;
    const std::uint64_t version = run->plan->plan.version.value;
    const limit::demand_kind kind = classify_demand(*run);
    const duration longest = kind == limit::demand_kind::new_program ? longest_start_wait : longest_rate_wait;
    const duration left = (run->deadline - run->begun) / 3;
    std::uint32_t retry_ms = 0;
    const bool known = co_await await_ledgers(run, run->begun + left);
    if (!known) {
        co_return refusal{503, "no configuration yet", no_plan_yet};
    }
    try {
        co_await run->context.state->rates->pass(limits, std::min(left, longest), version, kind);
        co_return refusal{0, "", {}};
    }
    catch (const refusal_error& refused) {
        retry_ms = refused.retry_after_ms;
    }
    duration again = std::chrono::milliseconds(retry_ms);
    if (kind == limit::demand_kind::new_program) {
        again = std::max(again, start_again);
    }
    co_return refusal{too_many_requests, "the organisation's rate is used up", again};
}

/// @return calls a second that one entry may send to one cold upstream of a service.
double cold_share(const gateway_state& state, const plan::service& of)
{
    return of.cold_rate <= 0 ? 0
                             : std::max(least_cold_rate, of.cold_rate / static_cast<double>(state.entries));
}

std::vector<placing::candidate> find_candidates(call_run& run, const plan::service& service, time_point now)
{
    gateway_state& state = *run.context.state;
    std::vector<placing::candidate> made;
    for (auto& [id, record] : state.instances.instances) {
        const bool usable = record.state == directory::instance_state::serving &&
                            record.service == service.name.value &&
                            !state.evacuated.contains(record.data_centre.value);
        if (!usable) {
            continue;
        }
        // The upstreams of a data centre that was brought back may have gone cold meanwhile, unannounced.
        const auto back = state.returned_at.find(record.data_centre.value);
        if (back != state.returned_at.end() && service.cold_rate > 0) {
            record.cold_until = std::max(record.cold_until, back->second + service.cold_start);
        }
        made.push_back({&record, &state.loads[id]});
    }
    return made;
}

placing::placement_request make_wish(const call_run& run, const plan::service& service)
{
    placing::placement_request wish;
    wish.model = service.model.has_value();
    wish.affinity_key = run.facts.program.empty() ? run.facts.request.value : run.facts.program.value;
    wish.warm_instance = run.warm_instance;
    wish.prompt_tokens = run.facts.prompt_tokens;
    if (!run.facts.prompt.empty()) {
        wish.shared_prefix_tokens = run.facts.prompt.front().tokens;
    }
    wish.own_data_centre = data_centre_name{run.context.state->settings.data_centre};
    wish.tried_instances = run.tried;
    wish.cold_rate_share = cold_share(*run.context.state, service);
    return wish;
}

std::string describe_age(time_point at, time_point now)
{
    return at == time_point{} ? "never" : std::to_string(to_ms(now - at));
}

/// @return a copy of the chosen instance's record, without an id if there is none.
directory::instance_record place(call_run& run)
{
    gateway_state& state = *run.context.state;
    const auto found = run.plan->plan.services.find(run.service);
    if (found == run.plan->plan.services.end()) {
        return {};
    }
    const time_point now = runtime_clock::now();
    std::vector<placing::candidate> candidates = find_candidates(run, found->second, now);
    const placing::placement_request wish = make_wish(run, found->second);
    const int chosen = placing::choose_instance(candidates, wish, placing::placement_costs{}, now);
    if (chosen < 0) {
        std::vector<event_field> fields = call_fields(run);
        fields.push_back({"candidates", std::uint64_t{candidates.size()}});
        fields.push_back({"known", std::uint64_t{state.instances.instances.size()}});
        fields.push_back({"evacuated", std::uint64_t{state.evacuated.size()}});
        log_event(event::attempt_failed, fields);
        return {};
    }
    const placing::candidate& best = candidates[static_cast<std::size_t>(chosen)];
    log_event(event::attempt_sent, {{"request", run.facts.request.value},
                                    {"to", best.record->id.value},
                                    {"address", best.record->address},
                                    {"data_centre", best.record->data_centre.value},
                                    {"warm", run.warm_instance},
                                    {"candidates", std::uint64_t{candidates.size()}},
                                    {"own_running", std::uint64_t{best.load->own_running}},
                                    {"reported_running", std::uint64_t{best.load->reported_running}},
                                    {"reported_waiting", std::uint64_t{best.load->reported_waiting}},
                                    {"reported_ms_ago", describe_age(best.load->reported_at, now)},
                                    {"heard_ms_ago", std::uint64_t(to_ms(now - best.record->last_seen_at))},
                                    {"suspect", best.load->suspect_until > now ? "yes" : "no"},
                                    {"attempt", std::uint64_t{run.attempts + 1}}});
    return *best.record;
}

/// What the caller is told after the last attempt. Only what no upstream may have run is said not to have
/// run.
refusal judge_end(bool maybe_ran, bool late)
{
    if (maybe_ran) {
        return late ? refusal{504, "the upstream did not answer in time", {}}
                    : refusal{502, "the upstream broke off", {}};
    }
    return {503, late ? "no upstream took the call in time" : "no upstream took the call", soon};
}

asio::awaitable<void> run_attempts(std::shared_ptr<call_run> run)
{
    attempt_end last = attempt_end::not_run;
    bool maybe_ran = false;
    const std::uint32_t most = std::max(1U, run->route->max_attempts);
    for (int placement = 0; placement < most_placements && run->attempts < most; ++placement) {
        if (run->port.caller_left() || runtime_clock::now() >= run->deadline) {
            break;
        }
        const directory::instance_record to = place(*run);
        if (to.id.empty()) {
            break;
        }
        if (placement > 0) {
            run->context.state->counters.retried.fetch_add(1);
        }
        run->tried.insert(to.id.value);
        last = co_await run_attempt(run, to);
        if (last == attempt_end::answered) {
            co_return;
        }
        maybe_ran = maybe_ran || last != attempt_end::not_run;
        const bool again = last == attempt_end::not_run || run->route->repeatable();
        if (!again || run->stopped != stop_reason::none) {
            break;
        }
    }
    if (run->port.caller_left()) {
        log_event(event::caller_left, call_fields(*run));
        co_return;
    }
    if (run->port.started()) {
        std::vector<event_field> fields = call_fields(*run);
        fields.push_back({"reason", "the stream broke off"});
        log_event(event::call_failed, fields);
        run->context.state->counters.failed.fetch_add(1);
        run->port.abort();
        co_return;
    }
    if (run->spare) {
        co_await pass_answer(run, std::move(*run->spare));
        co_return;
    }
    const refusal why = judge_end(maybe_ran, runtime_clock::now() >= run->deadline);
    co_await refuse(run, why);
}

/// Ends the attempt in hand when the deadline passes.
void arm_deadline(const std::shared_ptr<call_run>& run, asio::basic_waitable_timer<runtime_clock>& timer)
{
    timer.expires_at(run->deadline + deadline_slack);
    timer.async_wait([weak = std::weak_ptr<call_run>(run)](boost::system::error_code cancelled) {
        const std::shared_ptr<call_run> held = weak.lock();
        if (cancelled || !held) {
            return;
        }
        held->stopped = stop_reason::deadline;
        if (held->current) {
            close_connection(*held->current);
        }
    });
}

/// What was read, and by which plan and how long after its arrival it was admitted.
void log_admission(const call_run& run)
{
    const time_point now = runtime_clock::now();
    const gateway_state& state = *run.context.state;
    log_event(event::call_opened,
              {{"request", run.facts.request.value},
               {"route", run.route->name.value},
               {"organisation", run.organisation != nullptr ? run.organisation->name.value : ""},
               {"program", run.facts.program.value},
               {"line", run.facts.line},
               {"previous", run.facts.previous_turn.value},
               {"plan", run.plan->plan.version.value},
               {"plan_confirmed_ms_ago", std::uint64_t(to_ms(now - state.plan_confirmed_at))},
               {"deadline_ms", std::uint64_t(to_ms(run.deadline - run.begun))},
               {"waited_ms", std::uint64_t(to_ms(now - run.begun))}});
}

asio::awaitable<void> settle_turn(std::shared_ptr<call_run> run)
{
    co_await close_turn(run, false);
}

asio::awaitable<void> handle_call(call_context context, raw_request& received, answer_port& port)
{
    auto run = std::make_shared<call_run>(std::move(context), received, port);
    run->begun = runtime_clock::now();
    run->facts = run->context.state->speaks.read_call(received);
    const duration patience =
        std::min<duration>(longest_plan_wait, run->facts.deadline.value_or(default_deadline) / 3);
    while (!run->context.state->plan && runtime_clock::now() - run->begun < patience && !port.caller_left()) {
        co_await runtime::wait_for(plan_step);
    }
    refusal refused = admit(*run);
    if (refused.status == 0) {
        refused = co_await pass_rate(run);
    }
    if (refused.status != 0) {
        co_await refuse(run, refused);
        co_return;
    }
    log_admission(*run);
    if (!run->facts.program.empty()) {
        note(run->context.state->programs, hash_bytes(run->facts.program.value), run->begun);
    }
    const auto executor = co_await asio::this_coro::executor;
    asio::basic_waitable_timer<runtime_clock> timer(executor);
    arm_deadline(run, timer);
    port.on_left = [weak = std::weak_ptr<call_run>(run)] {
        const std::shared_ptr<call_run> held = weak.lock();
        if (held && held->stopped == stop_reason::none) {
            held->stopped = stop_reason::caller_left;
            if (held->current) {
                close_connection(*held->current);
            }
        }
    };
    run->is_turn = run->route->kind == plan::call_kind::streaming &&
                   (run->route->keeps_turns || run->facts.budget_tokens > 0);
    if (run->is_turn) {
        refused = co_await open_turn(run);
        if (refused.status != 0) {
            if (run->organisation != nullptr && run->organisation->rate > 0) {
                run->context.state->rates->give_back(run->organisation->name);
            }
            co_await refuse(run, refused);
            co_return;
        }
    }
    if (!port.caller_left()) {
        co_await run_attempts(run);
    }
    timer.cancel();
    port.on_left = nullptr;
    if (run->is_turn) {
        // What was kept is settled already; this returns what the turn did not use.
        asio::co_spawn(executor, settle_turn(run), asio::detached);
    }
}

} // namespace

std::vector<event_field> call_fields(const call_run& run)
{
    return {{"request", run.facts.request.value},
            {"route", run.route != nullptr ? run.route->name.value : ""},
            {"organisation", run.organisation != nullptr ? run.organisation->name.value : ""},
            {"program", run.facts.program.value},
            {"plan", run.plan ? run.plan->plan.version.value : 0},
            {"attempts", std::uint64_t{run.attempts}},
            {"upstream", run.ran_at},
            {"events", run.events},
            {"ms", std::uint64_t(to_ms(runtime_clock::now() - run.begun))}};
}

call_handler make_call_handler(call_context context)
{
    return [context = std::move(context)](raw_request& received, answer_port& port) {
        return handle_call(context, received, port);
    };
}

} // namespace guavawick::gateway
