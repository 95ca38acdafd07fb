// The way of one call through an entry.
#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "entry/call_state.hpp"
#include "wire.pb.h"

namespace guavawick::entry {

namespace asio = boost::asio;

namespace {

constexpr duration rate_wait_limit = 12s; ///< 10 s as promised, and the skew of order among entries
constexpr std::size_t most_tries = 40;
constexpr std::uint32_t most_lost_tries = 4;

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
            co_await context.rates.acquire_token(
                flow.plan.organisation, std::min<duration>(rate_wait_limit, context.settings.queue_limit));
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