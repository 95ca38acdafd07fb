// The control role of a fleet: commands of the operator, which may reach any replica.
#include "core/control_process.hpp"

#include "base/compress_func.hpp"
#include "base/event_type.hpp"
#include "base/failure_type.hpp"

namespace guavawick::core {

namespace asio = boost::asio;

namespace {

constexpr duration command_timeout = 900ms; ///< clients wait 1 s for a reply before they try another replica
constexpr duration read_timeout = 800ms;    ///< as command_timeout, for reads
constexpr duration order_base_timeout =
    500ms; ///< from reading an order to knowing the state that it is based on; together with min_stall less
           ///< than the second for which its sender waits

} // namespace

asio::awaitable<wire::envelope> control_process::call_leader(wire::envelope request)
{
    const wire::envelope_ptr reply =
        co_await client_->call(control_group, std::move(request), command_timeout);
    co_return *reply;
}

asio::awaitable<void> control_process::publish(published_document document)
{
    wire::envelope command;
    command.mutable_fleet()->mutable_publish()->set_version(document.version);
    command.mutable_fleet()->mutable_publish()->set_document(compress(document.bytes));
    co_await call_leader(std::move(command));
}

asio::awaitable<std::optional<std::uint64_t>> control_process::read_order_count()
{
    wire::envelope request;
    request.mutable_read()->set_order_count_only(true);
    const wire::envelope_ptr reply =
        co_await client_->call(control_group, std::move(request), order_base_timeout);
    if (!reply->document().has_order_count()) {
        co_return std::nullopt; // a leader of version 0.1.0
    }
    co_return reply->document().order_count();
}

asio::awaitable<wire::envelope> control_process::execute_order(wire::envelope command, order_source source)
{
    const time_point deadline = source.received_at + command_timeout;
    while (true) {
        const std::optional<std::uint64_t> order_count = co_await read_order_count();
        // The order is based on a state that a quorum confirmed while its sender was still waiting. Whatever
        // is committed from here on makes it void.
        const time_point now = runtime_clock::now();
        bool may_be_old = now - source.received_at > order_base_timeout;
        {
            const std::lock_guard lock(mutex_);
            may_be_old = may_be_old || runtime::may_read_backlog(stalls_, now);
        }
        if (may_be_old || (source.is_abandoned && source.is_abandoned())) {
            throw stale_order_error(may_be_old ? "the order may have waited while the process did not run"
                                               : "the sender of the order has left");
        }
        if (order_count) {
            command.mutable_fleet()->set_expected_order_count(*order_count);
        }
        const wire::envelope_ptr reply = co_await client_->call(control_group, command, deadline - now);
        if (!reply->has_refused()) {
            co_return *reply;
        }
    }
}

asio::awaitable<void> control_process::watch_stalls()
{
    while (running_.load()) {
        duration stall{};
        {
            const std::lock_guard lock(mutex_);
            stall = runtime::record_run(stalls_, runtime_clock::now());
        }
        if (stall > duration{}) {
            log_event(event::process_stalled, {{"ms", std::uint64_t(to_ms(stall))}});
        }
        co_await runtime::wait_for(runtime::stall_check_interval);
    }
}

asio::awaitable<void> control_process::set_evacuation(std::string data_centre, bool evacuated,
                                                      order_source source)
{
    wire::envelope command;
    command.mutable_fleet()->mutable_evacuation()->set_data_centre(std::move(data_centre));
    command.mutable_fleet()->mutable_evacuation()->set_out(evacuated);
    co_await execute_order(std::move(command), std::move(source));
}

asio::awaitable<published_document> control_process::read_document()
{
    wire::envelope request;
    request.mutable_read();
    const wire::envelope_ptr reply = co_await client_->call(control_group, std::move(request), read_timeout);
    published_document document;
    document.version = reply->document().version();
    document.bytes = document.version == 0 ? std::string() : decompress(reply->document().document());
    co_return document;
}

wire::envelope control_process::make_retirement_reply(const std::string& store, time_point now)
{
    retirement_phase phase = retirement_phase::undetermined;
    if (group_->has_read_lease()) {
        const std::lock_guard lock(mutex_);
        phase = evaluate_retirement(state_, stores_, store, 2 * settings_.tolerated_failures + 1, created_at_,
                                    now);
    }
    if (phase == retirement_phase::undetermined) {
        return make_redirect(*group_); // its sender asks again until its time is up
    }
    wire::envelope reply;
    wire::retire_answer* body = reply.mutable_retired();
    body->set_known(phase != retirement_phase::unknown);
    body->set_possible(phase != retirement_phase::unknown && phase != retirement_phase::impossible);
    body->set_completed(phase == retirement_phase::completed);
    return reply;
}

namespace {

retirement_phase decode_phase(const wire::envelope& reply)
{
    if (reply.has_done()) {
        return retirement_phase::running;
    }
    if (!reply.retired().known()) {
        return retirement_phase::unknown;
    }
    if (!reply.retired().possible()) {
        return retirement_phase::impossible;
    }
    return reply.retired().completed() ? retirement_phase::completed : retirement_phase::running;
}

} // namespace

asio::awaitable<retirement_phase> control_process::retire(std::string store, order_source source)
{
    wire::envelope command;
    command.mutable_fleet()->mutable_retire()->set_name(std::move(store));
    const wire::envelope reply = co_await execute_order(std::move(command), std::move(source));
    co_return decode_phase(reply);
}

asio::awaitable<retirement_phase> control_process::query_retirement(std::string store)
{
    wire::envelope request;
    request.mutable_retire()->set_name(std::move(store));
    const wire::envelope reply = co_await call_leader(std::move(request));
    co_return decode_phase(reply);
}

} // namespace guavawick::core
