// Streams that may be continued at another instance or by another call: the software version that began them.
#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "gateway/call_run.hpp"
#include "runtime/worker_pool.hpp"
#include "turns/turn_func.hpp"
#include "wire.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>

namespace guavawick::gateway {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

constexpr duration record_timeout = 2500ms;       ///< a new leader of a ledger group is elected within 2 s
constexpr duration origin_query_interval = 150ms; ///< several commits of a ledger group
constexpr int max_origin_queries = 2;             ///< after the first one
constexpr duration origin_retry_after = 300ms;    ///< a record that is on its way has been committed by then

/// Sends the origin of the call's stream to the ledger, at most until the call's deadline.
/// @return whether the ledger committed it.
asio::awaitable<bool> send_stream_origin(std::shared_ptr<active_call> call, std::string version,
                                         duration max_timeout)
{
    const duration time_left = std::max<duration>(call->deadline - runtime_clock::now(), 1ms);
    wire::envelope request;
    wire::record_stream* body = request.mutable_record_stream();
    body->set_organisation(call->organisation != nullptr ? call->organisation->name.value : "");
    body->set_request(call->metadata.request.value);
    body->set_run_timeout_ms(static_cast<std::uint64_t>(to_ms(time_left)));
    turns::to_wire({call->service.value, std::move(version), call->attempts, {}}, body->mutable_origin());
    std::string failure_reason = "the ledger refused the record";
    try {
        const wire::envelope_ptr reply =
            co_await call_ledger(call, std::move(request), std::min<duration>(time_left, max_timeout));
        if (reply->has_done()) {
            co_return true;
        }
    }
    catch (const link_error& error) {
        failure_reason = error.what();
    }
    std::vector<event_field> fields = call_fields(*call);
    fields.push_back({"reason", failure_reason});
    log_event(event::stream_not_recorded, fields);
    co_return false;
}

/// Sends the origin while the events are forwarded. The stream can't be taken up without it.
asio::awaitable<void> post_stream_origin(std::shared_ptr<active_call> call, std::string version)
{
    co_await send_stream_origin(std::move(call), std::move(version), duration::max());
}

/// Records which version begins the call's stream, if the ledger doesn't have it yet.
/// @return false if the ledger may still have another version.
asio::awaitable<bool> record_stream_version(std::shared_ptr<active_call> call, std::string version)
{
    if (!call->origin_uncertain && call->recorded_version == version) {
        co_return true;
    }
    if (!call->origin_uncertain && !call->recorded_version) {
        // A stream without a record is not continued, so that its events need not wait for the ledger. A
        // later attempt at another version waits, as it can't know whether this record was committed.
        call->recorded_version = version;
        const auto executor = co_await asio::this_coro::executor;
        asio::co_spawn(executor, post_stream_origin(call, std::move(version)), asio::detached);
        co_return true;
    }
    call->origin_uncertain = true;
    const bool recorded = co_await send_stream_origin(call, version, record_timeout);
    if (recorded) {
        call->recorded_version = std::move(version);
        call->origin_uncertain = false;
    }
    co_return recorded;
}

} // namespace

bool takes_up_stream(const active_call& call)
{
    return call.route->resumable && call.metadata.resume_after.value_or(0) > 0;
}

std::optional<std::string> find_only_version(const active_call& call, bool serving_only)
{
    std::optional<std::string> only;
    for (const auto& [id, record] : call.context.state->instances.instances) {
        const bool counts = !serving_only || record.state == directory::instance_state::serving;
        if (record.service != call.service.value || !counts) {
            continue;
        }
        if (only && *only != record.version) {
            return std::nullopt;
        }
        only = record.version;
    }
    return only;
}

refusal bind_to_origin(active_call& call)
{
    if (call.origin) {
        const plan::service_name service{call.origin->service};
        if (!plan::may_serve(*call.route, service)) {
            return {503, "the service that began the stream no longer serves the route", {}};
        }
        call.service = service;
        call.stream_version = call.origin->version;
    }
    else if (call.metadata.resumed_request.empty()) {
        // The caller doesn't say what it continues, which may have begun at an instance that is gone.
        call.stream_version = find_only_version(call, false);
    }
    if (!call.stream_version) {
        return {503, "the version that began the stream is not known", origin_retry_after};
    }
    return {0, "", {}};
}

asio::awaitable<refusal> open_taken_up_turn(std::shared_ptr<active_call> call)
{
    refusal cause = co_await open_turn(call);
    const bool is_named = !call->metadata.resumed_request.empty();
    for (int i = 0; i < max_origin_queries && cause.status == 0 && is_named && !call->origin; ++i) {
        co_await runtime::wait_for(origin_query_interval);
        cause = co_await open_turn(call);
    }
    co_return cause;
}

asio::awaitable<const char*> bind_first_event(std::shared_ptr<active_call> call,
                                              directory::instance_record target)
{
    const auto& instances = call->context.state->instances.instances;
    const auto known = instances.find(target.id);
    if (known != instances.end() &&
        (known->second.started_ms != target.started_ms || known->second.version != target.version)) {
        co_return "the instance has restarted";
    }
    if (call->stream_version) {
        co_return nullptr;
    }
    const bool recorded = co_await record_stream_version(call, target.version);
    if (!recorded) {
        co_return "the ledger did not record the stream";
    }
    call->stream_version = target.version;
    co_return nullptr;
}

} // namespace guavawick::gateway
