// Messages to the upstream's sidecar: an attempt is started, tombstoned or cancelled.
#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "entry/call_state.hpp"
#include "http/response_status.hpp"
#include "scheduling/attempt_type.hpp"
#include "sidecar/attempt_record.hpp"
#include "wire.pb.h"

#include <cmath>

namespace guavawick::entry {

namespace asio = boost::asio;

namespace {

constexpr duration idle_notice_interval = 500ms;
constexpr duration tombstone_timeout = 1500ms;
constexpr double min_weighted_rate =
    0.01; ///< requests a second; used for calls without an API key, which have no rate

/// A sidecar of an older version passes on any status.
bool has_final_status(const wire::run_chunk& chunk)
{
    return http::classify_status(static_cast<int>(chunk.status())) == http::response_kind::final_response;
}

} // namespace

wire::envelope make_run_request(const active_call& call, const std::vector<std::string>& history,
                                std::uint64_t attained_tokens, bool join_only)
{
    wire::envelope request;
    wire::run_request* body = request.mutable_run();
    body->set_attempt(call.assignment.attempt.value);
    body->set_organisation(call.request.organisation.name.value);
    body->set_program(call.request.program.value);
    body->set_root(call.root.value);
    body->set_upstream_incarnation(call.assignment.upstream_incarnation.value);
    body->set_entry_incarnation(call.context.links.own_incarnation().value);
    body->set_repeatable(call.request.route.repeatable);
    body->set_attained_tokens(attained_tokens);
    body->set_weight(call.request.organisation.weight *
                     std::sqrt(std::max(call.request.organisation.rate, min_weighted_rate)));
    body->set_service(call.is_service());
    body->set_ephemeral(call.request.ephemeral);
    body->set_body_hash(call.request.request_hash.value);
    body->set_suspect(call.suspect);
    body->set_join_only(join_only);
    body->set_request_id(call.request.request_id);
    body->set_deadline_ms(
        static_cast<std::uint32_t>(std::max<std::int64_t>(1, to_ms(call.deadline - runtime_clock::now()))));
    if (call.is_service()) {
        body->set_method(call.request.method);
        body->set_path(call.request.path);
        body->set_content_type(call.request.content_type);
        body->set_body(call.request.service_body);
        return request;
    }
    body->set_method("POST");
    body->set_path("/v1/chat/completions");
    body->set_content_type("application/json");
    body->set_body(caller::build_upstream_body(call.request.chat, history));
    body->set_prompt_tokens(caller::estimate_tokens(body->body().size()));
    const program_cache cached = call.context.tables.cache_of(call.program_key());
    body->set_cached_tokens(cached.upstream == call.assignment.upstream ? cached.tokens : 0);
    body->set_most_tokens(call.request.chat.max_tokens != 0
                              ? std::min<std::uint64_t>(call.request.chat.max_tokens, default_expected_tokens)
                              : default_expected_tokens);
    return request;
}

bool is_upstream_gone(const active_call& call)
{
    if (!call.context.tables.is_fresh(runtime_clock::now())) {
        return false; // the directory may be out of date
    }
    return call.context.tables.incarnation_of(call.assignment.upstream) !=
           call.assignment.upstream_incarnation;
}

asio::awaitable<bool> tombstone_attempt(active_call& call)
{
    wire::envelope request;
    request.mutable_tombstone()->set_attempt(call.assignment.attempt.value);
    bool confirmed = false;
    try {
        const wire::envelope_ptr reply = co_await call.context.links.call(
            call.assignment.upstream_endpoint, std::move(request), tombstone_timeout);
        confirmed =
            reply->tombstoned().state() == static_cast<std::uint32_t>(scheduling::attempt_status::tombstoned);
    }
    catch (const link_error&) {
        confirmed = false;
    }
    co_return confirmed;
}

void cancel_attempt(active_call& call)
{
    wire::envelope message;
    message.mutable_cancel()->set_attempt(call.assignment.attempt.value);
    call.context.links.send(call.assignment.upstream_endpoint, std::move(message));
}

asio::awaitable<attempt_result> run_attempt(active_call& call, wire::envelope request)
{
    call.context.tables.record_sent(call.assignment.upstream);
    const auto replies =
        call.context.links.open_stream(call.assignment.upstream_endpoint, std::move(request),
                                       call.context.settings.call_limit, idle_notice_interval);
    std::uint64_t notices_since_gone = 0;
    while (true) {
        const wire::envelope_ptr message = co_await replies->next();
        if (!message) {
            co_return attempt_result{attempt_outcome::lost, failure::timeout, 0};
        }
        if (!message->has_chunk()) {
            if (call.writer.caller_left() && call.request.route.repeatable) {
                cancel_attempt(call);
                co_return attempt_result{attempt_outcome::lost, failure::cancelled, 0};
            }
            notices_since_gone = is_upstream_gone(call) ? notices_since_gone + 1 : 0;
            if (notices_since_gone > 2) {
                co_return attempt_result{attempt_outcome::lost, failure::upstream_lost, 0};
            }
            co_await call.writer.send_heartbeat();
            continue;
        }
        const wire::run_chunk& chunk = message->chunk();
        if (chunk.attempt() != call.assignment.attempt.value) {
            continue; // chunk of another attempt
        }
        if (chunk.has_load()) {
            call.context.tables.record_load(call.assignment.upstream, chunk.load());
        }
        switch (static_cast<sidecar::chunk_kind>(chunk.kind())) {
        case sidecar::chunk_kind::refused:
            co_return attempt_result{attempt_outcome::not_started, to_failure(chunk.failure()),
                                     chunk.retry_after_ms()};
        case sidecar::chunk_kind::end:
            if (chunk.failure() != 0) {
                const failure error = to_failure(chunk.failure());
                co_return attempt_result{error == failure::no_upstream ? attempt_outcome::not_started
                                                                       : attempt_outcome::lost,
                                         error, 0};
            }
            if (!call.writer.is_complete(chunk.count(), chunk.checksum())) {
                continue; // missing chunks are sent again over a new connection
            }
            if (!has_final_status(chunk)) {
                co_return attempt_result{attempt_outcome::lost, failure::upstream_lost, 0};
            }
            call.writer.set_head(static_cast<int>(chunk.status()), chunk.content_type());
            co_return attempt_result{attempt_outcome::finished, failure::none, 0};
        case sidecar::chunk_kind::part:
            if (!has_final_status(chunk)) {
                co_return attempt_result{attempt_outcome::lost, failure::upstream_lost, 0};
            }
            co_await call.writer.add_chunk(chunk.number(), static_cast<int>(chunk.status()),
                                           chunk.content_type(), chunk.data());
            continue;
        default:
            continue;
        }
    }
}

asio::awaitable<void> back_off(active_call& call)
{
    const duration jitter{
        static_cast<std::int64_t>(random_id() % static_cast<std::uint64_t>(call.backoff.count()))};
    co_await runtime::wait_for(call.backoff / 2 + jitter);
    call.backoff = std::min(call.backoff * 2, duration{max_backoff});
}

} // namespace guavawick::entry
