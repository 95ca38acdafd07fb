// A call's talk with the sidecar of its upstream.
#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "entry/call_state.hpp"
#include "scheduling/attempt_type.hpp"
#include "sidecar/attempt_record.hpp"
#include "wire.pb.h"

#include <cmath>

namespace guavawick::entry {

namespace asio = boost::asio;

namespace {

constexpr duration idle_notice = 500ms;
constexpr duration tombstone_limit = 1500ms;
constexpr double least_weighed_rate = 0.01; ///< requests a second; an open route has no rate

} // namespace

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
    body->set_body(caller::build_upstream_body(flow.plan.chat, history));
    body->set_prompt_tokens(caller::estimate_tokens(body->body().size()));
    const program_cache cache = flow.context.tables.cache_of(flow.program_key());
    body->set_cached_tokens(cache.upstream == flow.bound.upstream ? cache.tokens : 0);
    body->set_most_tokens(flow.plan.chat.max_tokens != 0
                              ? std::min<std::uint64_t>(flow.plan.chat.max_tokens, default_answer_tokens)
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

asio::awaitable<void> back_off(call_flow& flow)
{
    const duration jitter{
        static_cast<std::int64_t>(random_id() % static_cast<std::uint64_t>(flow.backoff.count()))};
    co_await runtime::wait_for(flow.backoff / 2 + jitter);
    flow.backoff = std::min(flow.backoff * 2, duration{most_backoff});
}

} // namespace guavawick::entry
