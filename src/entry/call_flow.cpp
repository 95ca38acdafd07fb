// Serving of a call.
#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "entry/call_state.hpp"
#include "wire.pb.h"

namespace guavawick::entry {

namespace asio = boost::asio;

namespace {

constexpr duration max_rate_wait = 12s; ///< the promised 10 s plus the skew in request order among entries
constexpr std::size_t max_attempts = 40;
constexpr std::uint32_t max_lost_attempts = 4;

/// Records the answer in the ledger, then sends its end to the caller.
asio::awaitable<void> complete_call(active_call& call)
{
    const bool succeeded = call.writer.status() < 400;
    wire::close_call_request body =
        make_close_request(call, succeeded ? ledger::call_outcome::done : ledger::call_outcome::failed);
    body.set_prompt_tokens(call.writer.completion().prompt_tokens());
    body.set_completion_tokens(call.writer.completion().completion_tokens());
    if (call.request.keep_answer) {
        body.mutable_answer()->set_status(static_cast<std::uint32_t>(call.writer.status()));
        body.mutable_answer()->set_content_type(call.writer.response_content_type());
        body.mutable_answer()->set_body(call.writer.response_body());
    }
    if (succeeded && !call.is_service() && !call.request.ephemeral) {
        wire::chat_message* message = body.add_messages();
        message->set_role("assistant");
        message->set_content(call.writer.completion().message());
    }
    if (!call.is_service() && !call.request.ephemeral) {
        const std::uint64_t tokens =
            call.writer.completion().prompt_tokens() + call.writer.completion().completion_tokens();
        call.context.tables.record_cache(call.program_key(), call.assignment.upstream, tokens);
    }
    const bool accepted = co_await close_call(call, std::move(body));
    if (!accepted) {
        throw refusal_error(failure::outcome_unknown,
                            "another attempt of this call has already been recorded", ran_state::unknown);
    }
    if (call.suspect) {
        wire::envelope message;
        message.mutable_clear()->set_body_hash(call.request.request_hash.value);
        co_await call.context.client.call(0, std::move(message), close_timeout);
    }
    log_event(event::call_closed, {{"request", call.request.request_id},
                                   {"program", call.request.program.value},
                                   {"upstream", call.assignment.upstream.value}});
    co_await call.writer.finish();
}

bool take_retry_credit(call_context& context)
{
    if (context.retry_credit.fetch_sub(retry_cost) >= retry_cost) {
        return true;
    }
    context.retry_credit.fetch_add(retry_cost);
    return false;
}

void earn_retry_credit(call_context& context)
{
    if (context.retry_credit.fetch_add(retry_credit_per_call) > max_retry_credit) {
        context.retry_credit.fetch_sub(retry_credit_per_call);
    }
}

/// Reports the loss of an upstream whose sidecar is gone too, so that it counts towards the quarantine of the
/// request.
asio::awaitable<void> report_upstream_loss(active_call& call)
{
    wire::envelope message;
    message.mutable_loss()->set_upstream(call.assignment.upstream.value);
    message.mutable_loss()->set_incarnation(call.assignment.upstream_incarnation.value);
    message.mutable_loss()->add_body_hashes(call.request.request_hash.value);
    try {
        co_await call.context.client.call(0, std::move(message), close_timeout);
    }
    catch (const link_error&) {
        // This loss is not counted. A later loss of the same request is reported again.
    }
}

/// Handles an attempt that did not start and never will. @throw refusal_error if the call is not retried.
void handle_not_started(active_call& call, const attempt_result& result)
{
    call.replaced_attempt = call.assignment.attempt;
    call.refused_upstreams.push_back(call.assignment.upstream.value);
    const bool is_free_retry = result.error == failure::incarnation_mismatch;
    const bool retry =
        result.error != failure::overloaded && (is_free_retry || take_retry_credit(call.context));
    if (retry) {
        return;
    }
    const failure reason = result.error == failure::tombstoned ? failure::overloaded : result.error;
    throw refusal_error(reason, find_failure(reason).meaning, 1000U);
}

/// Checks whether the call is retried after a lost attempt that may have run. @throw refusal_error if not.
void check_lost_attempt_retry(active_call& call)
{
    if (!call.request.route.repeatable) {
        throw refusal_error(failure::outcome_unknown, "the upstream was lost and the call may have run",
                            ran_state::unknown);
    }
    if (call.writer.has_sent_data()) {
        throw refusal_error(failure::upstream_lost, "the upstream was lost in the middle of its answer",
                            ran_state::unknown);
    }
    ++call.lost_attempts;
    if (call.lost_attempts >= max_lost_attempts || !take_retry_credit(call.context)) {
        throw refusal_error(failure::upstream_lost,
                            "every upstream that was tried was lost or sent an incomplete answer",
                            ran_state::unknown);
    }
}

[[noreturn]] void throw_cancelled()
{
    throw refusal_error(failure::cancelled, "the caller closed its connection", ran_state::unknown);
}

/// Prepares the next attempt after one that did not finish. @throw refusal_error if the call is not retried.
asio::awaitable<void> prepare_retry(active_call& call, attempt_result result)
{
    if (result.outcome == attempt_outcome::not_started) {
        handle_not_started(call, result);
        co_await back_off(call);
        co_return;
    }
    if (result.error == failure::cancelled) {
        throw_cancelled();
    }
    if (result.error == failure::upstream_lost) {
        call.suspect = true;
        if (is_upstream_gone(call)) {
            co_await report_upstream_loss(call);
        }
    }
    const bool never_runs = co_await tombstone_attempt(call);
    if (!never_runs) {
        check_lost_attempt_retry(call);
        cancel_attempt(call);
        call.writer.reset();
        log_event(event::call_retried, {{"request", call.request.request_id},
                                        {"program", call.request.program.value},
                                        {"upstream", call.assignment.upstream.value}});
        co_await back_off(call);
    }
    call.replaced_attempt = call.assignment.attempt;
}

/// Runs attempts until the call has an outcome. @throw refusal_error if the call fails.
asio::awaitable<void> run_attempts(active_call& call)
{
    for (std::size_t attempt = 0; attempt < max_attempts; ++attempt) {
        wire::envelope_ptr reply;
        const bool must_run = co_await open_call(call, reply);
        const wire::open_call_reply& body = reply->opened();
        if (body.outcome() == static_cast<std::uint32_t>(ledger::open_outcome::stored)) {
            co_await call.writer.send_stored(static_cast<int>(body.answer().status()),
                                             body.answer().content_type(), body.answer().body());
            co_return;
        }
        if (!must_run) {
            continue;
        }
        const bool join_only = body.outcome() == static_cast<std::uint32_t>(ledger::open_outcome::running);
        if (join_only) {
            log_event(event::call_joined,
                      {{"request", call.request.request_id}, {"attempt", to_hex(body.attempt())}});
        }
        const attempt_result result = co_await run_attempt(
            call, make_run_request(call, extract_history(body), body.attained_tokens(), join_only));
        if (result.outcome == attempt_outcome::finished) {
            co_await complete_call(call);
            co_return;
        }
        co_await prepare_retry(call, result);
    }
    throw refusal_error(failure::overloaded, "the call found no upstream that accepts it", 1000U);
}

/// Closes a refused call in the ledger if it is open there, so that the program's next call can start.
asio::awaitable<void> close_refused_call(active_call& call, const refusal_error& refusal)
{
    if (!call.is_open) {
        co_return;
    }
    const bool never_runs = call.replaced_attempt == call.assignment.attempt && refusal.ran == ran_state::no;
    const auto outcome = never_runs                      ? ledger::call_outcome::not_executed
                         : call.request.route.repeatable ? ledger::call_outcome::abandoned
                                                         : ledger::call_outcome::unknown;
    try {
        co_await close_call(call, make_close_request(call, outcome));
    }
    catch (const refusal_error&) {
        // The ledger can't be reached. Another entry settles the attempt after this entry's session has
        // expired.
    }
}

} // namespace

asio::awaitable<void> serve_call(call_context& context, call_request request, http::responder& out)
{
    earn_retry_credit(context);
    active_call call(context, std::move(request), out);
    call.deadline = call.request.received_at + context.settings.queue_limit;
    std::optional<refusal_error> refusal;
    try {
        if (call.request.organisation.rate > 0) {
            co_await context.limiter.acquire_token(
                call.request.organisation, std::min<duration>(max_rate_wait, context.settings.queue_limit));
        }
        co_await resolve_root(call);
        co_await run_attempts(call);
    }
    catch (const refusal_error& error) {
        refusal = error;
    }
    if (!refusal) {
        co_return;
    }
    co_await close_refused_call(call, *refusal);
    log_event(event::call_refused, {{"request", call.request.request_id},
                                    {"program", call.request.program.value},
                                    {"failure", find_failure(refusal->kind).name},
                                    {"detail", refusal->what()}});
    co_await call.writer.send_refusal(*refusal);
}

} // namespace guavawick::entry