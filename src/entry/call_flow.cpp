// The way of one call through an entry.
#include "entry/call_flow.hpp"

#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "caller/problem.hpp"
#include "entry/answer_writer.hpp"
#include "ledger/ledger_codec.hpp"
#include "ledger/ledger_func.hpp"
#include "scheduling/attempt_type.hpp"
#include "sidecar/attempt_record.hpp"
#include "wire.pb.h"

#include <cmath>

namespace guavawick::entry {

namespace asio = boost::asio;

namespace {

constexpr duration idle_notice = 500ms;
constexpr duration close_limit = 20s;
constexpr duration tombstone_limit = 1500ms;
constexpr duration first_backoff = 20ms;
constexpr duration most_backoff = 1s;
constexpr duration no_upstream_pause = 100ms;
constexpr duration rate_wait_limit = 12s; ///< 10 s as promised, and the skew of order among entries
constexpr double first_choice_seconds =
    0.02; ///< preference for the entry's own choice where nothing else decides
constexpr std::uint64_t default_answer_tokens = 256;
constexpr std::uint64_t default_reserved_tokens = 4096;
constexpr double least_weighed_rate = 0.01; ///< requests a second; an open route has no rate
constexpr std::size_t most_tries = 40;
constexpr std::uint32_t most_lost_tries = 4;

/// How an attempt came out, as far as this entry can tell.
enum class run_outcome : std::uint8_t { finished, not_started, lost };

struct run_result {
    run_outcome outcome = run_outcome::lost;
    failure why = failure::none;
    std::uint32_t retry_after_ms = 0;
};

/// One call on its way. Lives in the coroutine of its request.
struct call_flow {
    flow_context& context;
    call_plan plan;
    answer_writer writer;
    program_name root;   ///< where the program lives, once known
    attempt_id replaces; ///< settled attempt that the next one takes over from
    bool suspect = false;
    bool opened = false;   ///< the ledger has an open call of ours
    ledger::claim bound;   ///< the attempt that the ledger granted
    time_point deadline{}; ///< for the start of the call
    duration backoff = first_backoff;
    std::vector<std::string> tried; ///< upstreams that just refused
    std::uint32_t lost_tries = 0;   ///< attempts that were lost while they may have run

    call_flow(flow_context& shared, call_plan wanted, http::responder& out)
        : context(shared), plan(std::move(wanted)),
          writer(out, plan.stream, plan.chat.include_usage, plan.request_id)
    {
    }

    [[nodiscard]] bool is_service() const { return plan.route.kind == configuration::service_kind::service; }
    [[nodiscard]] std::string program_key() const
    {
        return plan.organisation.name.value + "/" + plan.program.value;
    }
    [[nodiscard]] std::uint32_t shard() const
    {
        const program_name& home = root.empty() ? plan.program : root;
        return ledger::shard_of(plan.organisation.name, home, context.shards) + 1;
    }
};

std::uint64_t new_message_tokens(const call_flow& flow)
{
    std::uint64_t bytes = flow.plan.service_body.size();
    for (const std::string& one : flow.plan.chat.messages) {
        bytes += one.size();
    }
    return caller::estimate_tokens(bytes);
}

std::uint64_t reserved_tokens(const call_flow& flow)
{
    if (flow.is_service()) {
        return 0;
    }
    const std::uint64_t by_route =
        flow.plan.route.most_tokens != 0 ? flow.plan.route.most_tokens : default_reserved_tokens;
    return flow.plan.chat.most_tokens != 0 ? flow.plan.chat.most_tokens : by_route;
}

void check_still_allowed(const call_flow& flow)
{
    const time_point now = runtime_clock::now();
    if (!flow.context.tables.is_fresh(now)) {
        throw refusal_error(failure::configuration_stale, "the configuration could not be confirmed in time",
                            1000U);
    }
    if (flow.context.tables.losses_of(flow.plan.body) >= configuration::quarantine_losses) {
        throw refusal_error(failure::request_quarantined, "upstreams were lost while they ran this request");
    }
    if (now >= flow.deadline) {
        throw refusal_error(failure::overloaded, "the call could not start in time", 1000U);
    }
}

/// Upstreams that may take a call, and the one that it goes to unless the ledger knows better.
struct upstream_offer {
    std::vector<routing::candidate> candidates;
    std::size_t first_choice = 0;
    routing::route_wish wish;
};

/// Lists the upstreams that may take the call, waiting while none will do. @throw refusal_error at the
/// deadline.
asio::awaitable<upstream_offer> find_upstreams(call_flow& flow)
{
    routing::route_wish wish;
    wish.affinity = flow.plan.ephemeral ? 0 : hash_bytes(flow.program_key());
    wish.prompt_tokens =
        new_message_tokens(flow); // the ledger adds the prefill of the history, whose size it knows
    wish.expected_tokens = flow.plan.chat.most_tokens != 0
                               ? std::min<std::uint64_t>(flow.plan.chat.most_tokens, default_answer_tokens)
                               : default_answer_tokens;
    const std::string& policy = flow.context.settings.routing;
    wish.policy = policy == "round_robin"   ? routing::routing_policy::round_robin
                  : policy == "no_affinity" ? routing::routing_policy::no_affinity
                                            : routing::routing_policy::expected_time;
    while (true) {
        check_still_allowed(flow);
        wish.suspect = flow.suspect || flow.context.tables.losses_of(flow.plan.body) != 0;
        wish.turn = flow.context.turns.fetch_add(1);
        std::vector<routing::candidate> found =
            flow.context.tables.candidates(flow.plan.route.kind, flow.plan.route.serves, flow.program_key());
        std::erase_if(found, [&](const routing::candidate& one) {
            const bool refused =
                std::find(flow.tried.begin(), flow.tried.end(), one.name.value) != flow.tried.end();
            return refused || (wish.suspect && one.load.suspects != 0);
        });
        const auto place = routing::choose(found, wish);
        if (place) {
            flow.suspect = wish.suspect;
            upstream_offer offer;
            offer.candidates = std::move(found);
            offer.first_choice = *place;
            offer.wish = wish;
            co_return offer;
        }
        flow.tried.clear();
        if (runtime_clock::now() + no_upstream_pause >= flow.deadline) {
            throw refusal_error(failure::no_upstream, "no upstream serves " + flow.plan.route.serves + " now",
                                1000U);
        }
        co_await platform::wait_for(no_upstream_pause);
    }
}

/// Adds what the ledger needs to weigh the upstreams against where the history is cached.
void add_choices(const upstream_offer& offer, wire::open_call_request* into)
{
    if (offer.wish.policy != routing::routing_policy::expected_time) {
        return;
    }
    for (std::size_t place = 0; place < offer.candidates.size(); ++place) {
        const routing::candidate& there = offer.candidates[place];
        wire::upstream_choice* made = into->add_choices();
        made->set_upstream(there.name.value);
        made->set_incarnation(there.incarnation.value);
        made->set_endpoint(there.endpoint);
        const double preference = place == offer.first_choice ? first_choice_seconds : 0.0;
        made->set_seconds(routing::expected_seconds(there, offer.wish) - preference);
        made->set_prefill_tokens_per_second(there.load.prefill_tokens_per_second);
    }
}

wire::envelope make_open(const call_flow& flow, const ledger::claim& wanted)
{
    wire::envelope question;
    wire::open_call_request* body = question.mutable_open();
    body->set_organisation(flow.plan.organisation.name.value);
    body->set_program(flow.plan.program.value);
    body->set_parent(flow.plan.parent.value);
    body->set_root(flow.root.value);
    body->set_request_id(flow.plan.ledger_request.value);
    body->set_body_hash(flow.plan.body.value);
    body->set_most_tokens(reserved_tokens(flow));
    body->set_repeatable(flow.plan.route.repeatable);
    body->set_upstream(wanted.upstream.value);
    body->set_upstream_incarnation(wanted.upstream_incarnation.value);
    body->set_upstream_endpoint(wanted.upstream_endpoint);
    body->set_entry_incarnation(flow.context.links.self().value);
    body->set_ephemeral(flow.plan.ephemeral);
    body->set_attempt(wanted.attempt.value);
    body->set_keep_answer(flow.plan.keep_answer);
    body->set_replaces_attempt(flow.replaces.value);
    const configuration::budget& limits = flow.plan.budget;
    ledger::to_wire(ledger::budget_limits{limits.calls, limits.tokens, limits.seconds, limits.idle_seconds},
                    body->mutable_budget());
    for (const std::string& one : flow.plan.chat.messages) {
        wire::chat_message* made = body->add_messages();
        made->set_role(caller::role_of(one));
        made->set_content(one);
    }
    return question;
}

/// @param held how long the ledger may hold the question, for calls that wait for their turn.
asio::awaitable<wire::envelope_ptr> ask_ledger(call_flow& flow, wire::envelope question, duration limit,
                                               duration held = {})
{
    wire::envelope_ptr answer;
    try {
        answer = co_await flow.context.client.call(flow.shard(), std::move(question), limit, held);
    }
    catch (const link_error& fault) {
        throw refusal_error(failure::ledger_unavailable, fault.what(),
                            flow.opened ? ran_state::unknown : ran_state::no);
    }
    if (answer->has_refused()) {
        throw refusal_error(to_failure(answer->refused().failure()), answer->refused().detail());
    }
    co_return answer;
}

/// Finds the root of a sub-agent's parent and records that the sub-agent lives there.
asio::awaitable<void> locate(call_flow& flow)
{
    flow.root = flow.context.tables.root_of(flow.program_key());
    if (!flow.root.empty() || flow.plan.parent.empty()) {
        co_return;
    }
    const std::string parent_key = flow.plan.organisation.name.value + "/" + flow.plan.parent.value;
    program_name root = flow.context.tables.root_of(parent_key);
    if (root.empty()) {
        wire::envelope question;
        question.mutable_program()->set_organisation(flow.plan.organisation.name.value);
        question.mutable_program()->set_program(flow.plan.parent.value);
        flow.root = flow.plan.parent;
        const wire::envelope_ptr answer =
            co_await ask_ledger(flow, std::move(question), flow.context.settings.queue_limit);
        const wire::program_reply& parent = answer->program_is();
        if (!parent.found() && parent.parent().empty()) {
            throw refusal_error(failure::program_unknown, "the parent program is not known");
        }
        root = parent.found() ? flow.plan.parent : program_name{parent.parent()};
    }
    flow.root = {};
    wire::envelope question;
    wire::open_call_request* body = question.mutable_open();
    body->set_organisation(flow.plan.organisation.name.value);
    body->set_program(flow.plan.program.value);
    body->set_root(root.value);
    body->set_alias_only(true);
    const wire::envelope_ptr answer =
        co_await ask_ledger(flow, std::move(question), flow.context.settings.queue_limit);
    if (answer->opened().failure() != 0) {
        throw refusal_error(to_failure(answer->opened().failure()), "the program already lives on its own");
    }
    flow.root = program_name{answer->opened().root()};
    flow.context.tables.note_root(flow.program_key(), flow.root);
}

wire::close_call_request make_close(const call_flow& flow, ledger::call_outcome outcome)
{
    wire::close_call_request body;
    body.set_organisation(flow.plan.organisation.name.value);
    body.set_program(flow.plan.program.value);
    body.set_attempt(flow.bound.attempt.value);
    body.set_outcome(static_cast<std::uint32_t>(outcome));
    return body;
}

/// Lets a sidecar forget an attempt whose end the ledger has recorded, or that another one took over from.
void release(const call_flow& flow, attempt_id attempt, const std::string& endpoint)
{
    wire::envelope order;
    order.mutable_release()->set_attempt(attempt.value);
    flow.context.links.send(endpoint, std::move(order));
}

/// Commits how the call ended, then lets the sidecar forget it.
asio::awaitable<bool> close(call_flow& flow, wire::close_call_request body)
{
    wire::envelope question;
    *question.mutable_close() = std::move(body);
    const wire::envelope_ptr answer = co_await ask_ledger(flow, std::move(question), close_limit);
    flow.opened = false;
    release(flow, flow.bound.attempt, flow.bound.upstream_endpoint);
    co_return answer->closed().accepted();
}

wire::envelope make_run(const call_flow& flow, const std::vector<std::string>& history,
                        std::uint64_t attained, bool join_only)
{
    wire::envelope question;
    wire::run_request* body = question.mutable_run();
    body->set_attempt(flow.bound.attempt.value);
    body->set_organisation(flow.plan.organisation.name.value);
    body->set_program(flow.plan.program.value);
    body->set_root(flow.root.value);
    body->set_upstream_incarnation(flow.bound.upstream_incarnation.value);
    body->set_entry_incarnation(flow.context.links.self().value);
    body->set_repeatable(flow.plan.route.repeatable);
    body->set_attained_tokens(attained);
    body->set_weight(flow.plan.organisation.weight *
                     std::sqrt(std::max(flow.plan.organisation.rate, least_weighed_rate)));
    body->set_service(flow.is_service());
    body->set_ephemeral(flow.plan.ephemeral);
    body->set_body_hash(flow.plan.body.value);
    body->set_suspect(flow.suspect);
    body->set_join_only(join_only);
    body->set_request_id(flow.plan.request_id);
    body->set_deadline_ms(
        static_cast<std::uint32_t>(std::max<std::int64_t>(1, to_ms(flow.deadline - runtime_clock::now()))));
    if (flow.is_service()) {
        body->set_method(flow.plan.method);
        body->set_path(flow.plan.path);
        body->set_content_type(flow.plan.content_type);
        body->set_body(flow.plan.service_body);
        return question;
    }
    body->set_method("POST");
    body->set_path("/v1/chat/completions");
    body->set_content_type("application/json");
    body->set_body(caller::build_body(flow.plan.chat, history));
    body->set_prompt_tokens(caller::estimate_tokens(body->body().size()));
    const program_cache cache = flow.context.tables.cache_of(flow.program_key());
    body->set_cached_tokens(cache.upstream == flow.bound.upstream ? cache.tokens : 0);
    body->set_most_tokens(flow.plan.chat.most_tokens != 0
                              ? std::min<std::uint64_t>(flow.plan.chat.most_tokens, default_answer_tokens)
                              : default_answer_tokens);
    return question;
}

/// Tells whether the upstream incarnation of the attempt is known to be gone.
bool is_gone(const call_flow& flow)
{
    if (!flow.context.tables.is_fresh(runtime_clock::now())) {
        return false; // the directory itself may be out of date
    }
    return flow.context.tables.incarnation_of(flow.bound.upstream) != flow.bound.upstream_incarnation;
}

/// Asks the sidecar to make sure that the attempt never starts. @return whether it confirmed.
asio::awaitable<bool> tombstone(call_flow& flow)
{
    wire::envelope question;
    question.mutable_tombstone()->set_attempt(flow.bound.attempt.value);
    bool confirmed = false;
    try {
        const wire::envelope_ptr answer = co_await flow.context.links.call(
            flow.bound.upstream_endpoint, std::move(question), tombstone_limit);
        confirmed = answer->tombstoned().state() ==
                    static_cast<std::uint32_t>(scheduling::attempt_status::tombstoned);
    }
    catch (const link_error&) {
        confirmed = false;
    }
    co_return confirmed;
}

void cancel(call_flow& flow)
{
    wire::envelope order;
    order.mutable_cancel()->set_attempt(flow.bound.attempt.value);
    flow.context.links.send(flow.bound.upstream_endpoint, std::move(order));
}

/// Hands the attempt to the sidecar and its chunks to the caller.
asio::awaitable<run_result> run(call_flow& flow, wire::envelope question)
{
    flow.context.tables.note_sent(flow.bound.upstream);
    const auto stream = flow.context.links.open_stream(flow.bound.upstream_endpoint, std::move(question),
                                                       flow.context.settings.call_limit, idle_notice);
    std::uint64_t gone_notices = 0;
    while (true) {
        const wire::envelope_ptr message = co_await stream->next();
        if (!message) {
            co_return run_result{run_outcome::lost, failure::timeout, 0};
        }
        if (!message->has_chunk()) {
            if (flow.writer.caller_left() && flow.plan.route.repeatable) {
                cancel(flow);
                co_return run_result{run_outcome::lost, failure::cancelled, 0};
            }
            gone_notices = is_gone(flow) ? gone_notices + 1 : 0;
            if (gone_notices > 2) {
                co_return run_result{run_outcome::lost, failure::upstream_lost, 0};
            }
            co_await flow.writer.heartbeat();
            continue;
        }
        const wire::run_chunk& chunk = message->chunk();
        if (chunk.attempt() != flow.bound.attempt.value) {
            continue; // another attempt's chunk
        }
        if (chunk.has_load()) {
            flow.context.tables.note_load(flow.bound.upstream, chunk.load());
        }
        switch (static_cast<sidecar::chunk_kind>(chunk.kind())) {
        case sidecar::chunk_kind::refused:
            co_return run_result{run_outcome::not_started, to_failure(chunk.failure()),
                                 chunk.retry_after_ms()};
        case sidecar::chunk_kind::end:
            if (chunk.failure() != 0) {
                const failure why = to_failure(chunk.failure());
                co_return run_result{
                    why == failure::no_upstream ? run_outcome::not_started : run_outcome::lost, why, 0};
            }
            if (!flow.writer.is_complete(chunk.count(), chunk.checksum())) {
                continue; // chunks are missing; they are sent again over a new connection
            }
            co_return run_result{run_outcome::finished, failure::none, 0};
        case sidecar::chunk_kind::part:
            co_await flow.writer.take(chunk.number(), static_cast<int>(chunk.status()), chunk.content_type(),
                                      chunk.data());
            continue;
        default:
            continue;
        }
    }
}

/// Commits the answer, then gives its end to the caller.
asio::awaitable<void> finish(call_flow& flow)
{
    const bool answered = flow.writer.status() < 400;
    wire::close_call_request body =
        make_close(flow, answered ? ledger::call_outcome::done : ledger::call_outcome::failed);
    body.set_prompt_tokens(flow.writer.answer().prompt_tokens());
    body.set_completion_tokens(flow.writer.answer().completion_tokens());
    if (flow.plan.keep_answer) {
        body.mutable_answer()->set_status(static_cast<std::uint32_t>(flow.writer.status()));
        body.mutable_answer()->set_content_type(flow.writer.whole_content_type());
        body.mutable_answer()->set_body(flow.writer.whole_body());
    }
    if (answered && !flow.is_service() && !flow.plan.ephemeral) {
        wire::chat_message* message = body.add_messages();
        message->set_role("assistant");
        message->set_content(flow.writer.answer().message());
    }
    if (!flow.is_service() && !flow.plan.ephemeral) {
        const std::uint64_t tokens =
            flow.writer.answer().prompt_tokens() + flow.writer.answer().completion_tokens();
        flow.context.tables.note_cache(flow.program_key(), flow.bound.upstream, tokens);
    }
    const bool accepted = co_await close(flow, std::move(body));
    if (!accepted) {
        throw refusal_error(failure::outcome_unknown, "another attempt of this call was recorded",
                            ran_state::unknown);
    }
    if (flow.suspect) {
        wire::envelope clear;
        clear.mutable_clear()->set_body_hash(flow.plan.body.value);
        co_await flow.context.client.call(0, std::move(clear), close_limit);
    }
    log_event(event::call_closed, {{"request", flow.plan.request_id},
                                   {"program", flow.plan.program.value},
                                   {"upstream", flow.bound.upstream.value}});
    co_await flow.writer.finish();
}

bool take_retry_credit(flow_context& context)
{
    if (context.retry_credit.fetch_sub(retry_cost) >= retry_cost) {
        return true;
    }
    context.retry_credit.fetch_add(retry_cost);
    return false;
}

void earn_retry_credit(flow_context& context)
{
    if (context.retry_credit.fetch_add(retry_earned) > most_retry_credit) {
        context.retry_credit.fetch_sub(retry_earned);
    }
}

asio::awaitable<void> back_off(call_flow& flow)
{
    const duration jitter{
        static_cast<std::int64_t>(random_id() % static_cast<std::uint64_t>(flow.backoff.count()))};
    co_await platform::wait_for(flow.backoff / 2 + jitter);
    flow.backoff = std::min(flow.backoff * 2, duration{most_backoff});
}

/// Reports the loss of an upstream whose sidecar is gone too, so that the body's losses are counted.
asio::awaitable<void> report_loss(call_flow& flow)
{
    wire::envelope report;
    report.mutable_loss()->set_upstream(flow.bound.upstream.value);
    report.mutable_loss()->set_incarnation(flow.bound.upstream_incarnation.value);
    report.mutable_loss()->add_body_hashes(flow.plan.body.value);
    try {
        co_await flow.context.client.call(0, std::move(report), close_limit);
    }
    catch (const link_error&) {
        // Counted at the next loss.
    }
}

/// Notes an attempt that never started and never will. @throw refusal_error if the call is not tried
/// elsewhere.
void note_not_started(call_flow& flow, const run_result& result)
{
    flow.replaces = flow.bound.attempt;
    flow.tried.push_back(flow.bound.upstream.value);
    const bool free_retry = result.why == failure::incarnation_mismatch;
    const bool goes_on = result.why != failure::overloaded && (free_retry || take_retry_credit(flow.context));
    if (goes_on) {
        return;
    }
    const failure why = result.why == failure::tombstoned ? failure::overloaded : result.why;
    throw refusal_error(why, find_failure(why).meaning, 1000U);
}

/// Checks whether a lost attempt that may have run is tried again. @throw refusal_error if not.
void check_retry_of_lost(call_flow& flow)
{
    if (!flow.plan.route.repeatable) {
        throw refusal_error(failure::outcome_unknown, "the upstream was lost while the call may have run",
                            ran_state::unknown);
    }
    if (flow.writer.parts_reached_caller()) {
        throw refusal_error(failure::upstream_lost, "the upstream was lost in the middle of its answer",
                            ran_state::unknown);
    }
    ++flow.lost_tries;
    if (flow.lost_tries >= most_lost_tries || !take_retry_credit(flow.context)) {
        throw refusal_error(failure::upstream_lost,
                            "every upstream that was tried was lost or cut its answer", ran_state::unknown);
    }
}

[[noreturn]] void refuse_left()
{
    throw refusal_error(failure::cancelled, "the caller went away", ran_state::unknown);
}

/// Prepares the next attempt after one that did not finish. @throw refusal_error if there is none.
asio::awaitable<void> follow_up(call_flow& flow, run_result result)
{
    if (result.outcome == run_outcome::not_started) {
        note_not_started(flow, result);
        co_await back_off(flow);
        co_return;
    }
    if (result.why == failure::cancelled) {
        refuse_left();
    }
    if (result.why == failure::upstream_lost) {
        flow.suspect = true;
        if (is_gone(flow)) {
            co_await report_loss(flow);
        }
    }
    const bool never_started = co_await tombstone(flow);
    if (!never_started) {
        check_retry_of_lost(flow);
        cancel(flow);
        flow.writer.restart();
        log_event(event::call_retried, {{"request", flow.plan.request_id},
                                        {"program", flow.plan.program.value},
                                        {"upstream", flow.bound.upstream.value}});
        co_await back_off(flow);
    }
    flow.replaces = flow.bound.attempt;
}

/// Settles an earlier call of the program whose entry is gone, so that this one gets its turn.
asio::awaitable<void> settle(call_flow& flow, const wire::open_call_reply& stuck)
{
    const ledger::claim own = flow.bound;
    flow.bound = {attempt_id{stuck.attempt()}, upstream_name{stuck.upstream()},
                  incarnation_id{stuck.upstream_incarnation()}, stuck.upstream_endpoint(),
                  incarnation_id{stuck.entry_incarnation()}};
    const bool tombstoned = co_await tombstone(flow);
    if (tombstoned || is_gone(flow)) {
        const auto outcome = tombstoned           ? ledger::call_outcome::not_run
                             : stuck.repeatable() ? ledger::call_outcome::abandoned
                                                  : ledger::call_outcome::unknown;
        wire::envelope question;
        *question.mutable_close() = make_close(flow, outcome);
        co_await ask_ledger(flow, std::move(question), close_limit);
    }
    else {
        co_await back_off(flow); // it runs, or its sidecar can't be reached; the sidecar reports its end
    }
    flow.bound = own;
}

/// Opens the call once. @return whether an attempt is to be run, in `flow.bound`.
asio::awaitable<bool> open(call_flow& flow, wire::envelope_ptr& reply)
{
    const upstream_offer offer = co_await find_upstreams(flow);
    const routing::candidate& chosen = offer.candidates[offer.first_choice];
    const ledger::claim wanted{attempt_id{random_id()}, chosen.name, chosen.incarnation, chosen.endpoint,
                               flow.context.links.self()};
    const duration limit = std::max<duration>(flow.deadline - runtime_clock::now(), 1ms);
    wire::envelope question = make_open(flow, wanted);
    add_choices(offer, question.mutable_open());
    reply = co_await ask_ledger(flow, std::move(question), limit, limit);
    const wire::open_call_reply& body = reply->opened();
    switch (static_cast<ledger::open_outcome>(body.outcome())) {
    case ledger::open_outcome::granted:
    case ledger::open_outcome::running:
        if (flow.replaces && body.attempt() == wanted.attempt.value) {
            release(flow, flow.replaces, flow.bound.upstream_endpoint);
        }
        flow.opened = true;
        flow.bound = {attempt_id{body.attempt()}, upstream_name{body.upstream()},
                      incarnation_id{body.upstream_incarnation()}, body.upstream_endpoint(),
                      incarnation_id{body.entry_incarnation()}};
        log_event(event::call_opened, {{"request", flow.plan.request_id},
                                       {"program", flow.plan.program.value},
                                       {"attempt", to_hex(body.attempt())}});
        co_return true;
    case ledger::open_outcome::moved:
        flow.root = program_name{body.root()};
        flow.context.tables.note_root(flow.program_key(), flow.root);
        co_return false;
    case ledger::open_outcome::settle:
        co_await settle(flow, body);
        co_return false;
    case ledger::open_outcome::stored:
    case ledger::open_outcome::waiting:
        co_return false;
    case ledger::open_outcome::refused:
        break;
    }
    const failure why = to_failure(body.failure());
    throw refusal_error(why, find_failure(why).meaning, find_failure(why).ran);
}

std::vector<std::string> history_of(const wire::open_call_reply& reply)
{
    std::vector<std::string> history;
    for (const wire::chat_message& one : reply.history()) {
        history.push_back(one.content());
    }
    return history;
}

/// Tries until the call has an outcome.
asio::awaitable<void> serve_attempts(call_flow& flow)
{
    for (std::size_t tries = 0; tries < most_tries; ++tries) {
        wire::envelope_ptr reply;
        const bool runs = co_await open(flow, reply);
        const wire::open_call_reply& body = reply->opened();
        if (body.outcome() == static_cast<std::uint32_t>(ledger::open_outcome::stored)) {
            co_await flow.writer.send_stored(static_cast<int>(body.answer().status()),
                                             body.answer().content_type(), body.answer().body());
            co_return;
        }
        if (!runs) {
            continue;
        }
        const bool join_only = body.outcome() == static_cast<std::uint32_t>(ledger::open_outcome::running);
        if (join_only) {
            log_event(event::call_joined,
                      {{"request", flow.plan.request_id}, {"attempt", to_hex(body.attempt())}});
        }
        const run_result result =
            co_await run(flow, make_run(flow, history_of(body), body.attained_tokens(), join_only));
        if (result.outcome == run_outcome::finished) {
            co_await finish(flow);
            co_return;
        }
        co_await follow_up(flow, result);
    }
    throw refusal_error(failure::overloaded, "the call found no upstream that takes it", 1000U);
}

/// Closes what is still open after a refusal, so that the program's next call gets its turn.
asio::awaitable<void> close_after(call_flow& flow, const refusal_error& refused)
{
    if (!flow.opened) {
        co_return;
    }
    const bool settled = flow.replaces == flow.bound.attempt && refused.ran == ran_state::no;
    const auto outcome = settled                      ? ledger::call_outcome::not_run
                         : flow.plan.route.repeatable ? ledger::call_outcome::abandoned
                                                      : ledger::call_outcome::unknown;
    try {
        co_await close(flow, make_close(flow, outcome));
    }
    catch (const refusal_error&) {
        // The ledger can't be reached; another entry settles the attempt once this one's session ends.
    }
}

} // namespace

asio::awaitable<void> serve_call(flow_context& context, call_plan plan, http::responder& out)
{
    earn_retry_credit(context);
    call_flow flow(context, std::move(plan), out);
    flow.deadline = flow.plan.received_at + context.settings.queue_limit;
    std::optional<refusal_error> refused;
    try {
        if (flow.plan.organisation.rate > 0) {
            co_await context.rates.pass(flow.plan.organisation,
                                        std::min<duration>(rate_wait_limit, context.settings.queue_limit));
        }
        co_await locate(flow);
        co_await serve_attempts(flow);
    }
    catch (const refusal_error& fault) {
        refused = fault;
    }
    if (!refused) {
        co_return;
    }
    co_await close_after(flow, *refused);
    log_event(event::call_refused, {{"request", flow.plan.request_id},
                                    {"program", flow.plan.program.value},
                                    {"failure", find_failure(refused->kind).name},
                                    {"detail", refused->what()}});
    co_await flow.writer.fail(*refused);
}

} // namespace guavawick::entry
