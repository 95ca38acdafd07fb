// Messages between an entry and the control group, the ledger groups and sidecars.
#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "entry/entry_process.hpp"
#include "ledger/ledger_func.hpp"
#include "wire.pb.h"

namespace guavawick::entry {

namespace asio = boost::asio;

namespace {

constexpr duration max_poll_wait = 500ms;
constexpr duration poll_timeout = 3s;
constexpr duration retry_interval = 50ms;
constexpr duration session_interval = 1s;
constexpr duration session_timeout = 3s;
constexpr duration load_interval = 500ms;
constexpr duration load_timeout = 2s;
constexpr duration relay_timeout = 5s;
constexpr duration free_timeout = 5s;
constexpr duration sidecar_poll_check_interval = 20ms;

} // namespace

asio::awaitable<void> entry_process::poll_loop()
{
    bool was_fresh = false;
    while (is_running()) {
        const auto [revision, version] = tables_.poll_position();
        wire::envelope request;
        wire::poll_request* body = request.mutable_poll();
        body->set_after_revision(revision);
        body->set_after_version(version);
        body->set_wait_ms(static_cast<std::uint32_t>(to_ms(max_poll_wait)));
        body->set_process(settings_.entry.listen);
        body->set_role("entry");
        const time_point sent_at = runtime_clock::now();
        wire::envelope_ptr reply;
        try {
            reply = co_await group_client_->call(0, std::move(request), poll_timeout, max_poll_wait);
        }
        catch (const link_error&) {
            reply = nullptr;
        }
        if (reply && reply->has_polled()) {
            if (tables_.apply_poll_reply(reply->polled(), sent_at)) {
                log_event(event::configuration_in_force, {{"revision", reply->polled().revision()}});
            }
        }
        else {
            co_await runtime::wait_for(retry_interval);
        }
        const bool fresh = tables_.is_fresh(runtime_clock::now());
        if (was_fresh && !fresh) {
            log_event(event::configuration_stale);
        }
        was_fresh = fresh;
    }
}

asio::awaitable<void> entry_process::session_loop(std::uint32_t shard)
{
    while (is_running()) {
        wire::envelope request;
        request.mutable_session()->set_entry_incarnation(self_.value);
        wire::envelope_ptr reply;
        try {
            reply = co_await group_client_->call(shard + 1, std::move(request), session_timeout);
        }
        catch (const link_error&) {
            reply = nullptr;
        }
        if (reply && reply->has_session_is()) {
            for (const wire::freed_program& freed : reply->session_is().freed()) {
                for (const std::string& upstream : freed.upstreams()) {
                    pool_.spawn(
                        free_program(shard, freed.organisation(), freed.program(), upstream_name{upstream}));
                }
            }
        }
        co_await runtime::wait_for(session_interval);
    }
}

/// Requests the upstream's sidecar to free the engine memory of an ended program, then confirms this to the
/// ledger.
asio::awaitable<void> entry_process::free_program(std::uint32_t shard, std::string organisation,
                                                  std::string program, upstream_name upstream)
{
    const std::string endpoint = tables_.endpoint_of(upstream);
    try {
        if (!endpoint.empty()) {
            wire::envelope request;
            request.mutable_free_program()->set_organisation(organisation);
            request.mutable_free_program()->set_program(program);
            co_await link_->call(endpoint, std::move(request), free_timeout);
        }
        else if (!tables_.is_fresh(runtime_clock::now())) {
            co_return;
        }
        // An upstream that has left the directory frees all engine memory when it registers again.
        wire::envelope confirmation;
        confirmation.mutable_freed()->set_organisation(organisation);
        confirmation.mutable_freed()->set_program(program);
        confirmation.mutable_freed()->set_upstream(upstream.value);
        co_await group_client_->call(shard + 1, std::move(confirmation), free_timeout);
    }
    catch (const link_error&) {
        // The ledger lists the program again in its reply to a later session message.
    }
}

asio::awaitable<void> entry_process::load_poll_loop()
{
    while (is_running()) {
        for (const auto& [name, endpoint] : tables_.endpoints()) {
            runtime::spawn(pool_.executor(),
                           [](entry_process* self, upstream_name upstream,
                              std::string endpoint) -> asio::awaitable<void> {
                               wire::envelope request;
                               request.mutable_load();
                               try {
                                   const wire::envelope_ptr reply = co_await self->link_->call(
                                       std::move(endpoint), std::move(request), load_timeout);
                                   self->tables_.record_load(upstream, reply->load());
                               }
                               catch (const link_error&) {
                                   // The directory removes an upstream that stays silent.
                               }
                           }(this, name, endpoint));
        }
        co_await runtime::wait_for(load_interval);
    }
}

void entry_process::handle_message(const wire::reply_target& from, const wire::envelope_ptr& message)
{
    switch (message->body_case()) {
    case wire::envelope::kPoll:
        pool_.spawn(handle_sidecar_poll(from, message));
        return;
    case wire::envelope::kAnnounce:
    case wire::envelope::kLoss:
    case wire::envelope::kClear:
    case wire::envelope::kClose:
        pool_.spawn(relay_to_leader(from, message));
        return;
    default:
        log_event(event::link_refused_peer, {{"reason", "unexpected message"}});
        return;
    }
}

asio::awaitable<void> entry_process::relay_to_leader(wire::reply_target from, wire::envelope_ptr message)
{
    std::uint32_t group = 0;
    if (message->has_close()) {
        const organisation_name organisation{message->close().organisation()};
        const std::string& root = message->close().root();
        const program_name owner{root.empty() ? message->close().program() : root};
        group =
            ledger::shard_of(organisation, owner, static_cast<std::uint32_t>(settings_.ledger_shards)) + 1;
    }
    wire::envelope request = *message;
    wire::envelope reply;
    try {
        const wire::envelope_ptr group_reply =
            co_await group_client_->call(group, std::move(request), relay_timeout);
        reply = *group_reply;
    }
    catch (const link_error&) {
        reply.mutable_refused()->set_failure(static_cast<std::uint32_t>(failure::ledger_unavailable));
    }
    link_->reply(from, std::move(reply));
}

asio::awaitable<void> entry_process::handle_sidecar_poll(wire::reply_target from, wire::envelope_ptr message)
{
    const wire::poll_request& request = message->poll();
    const time_point deadline =
        runtime_clock::now() +
        std::min<duration>(std::chrono::milliseconds(request.wait_ms()), max_poll_wait);
    while (runtime_clock::now() < deadline && tables_.poll_position().first == request.after_revision()) {
        co_await runtime::wait_for(sidecar_poll_check_interval);
    }
    wire::envelope reply;
    const time_point now = runtime_clock::now();
    if (!tables_.is_fresh(now)) {
        reply.mutable_refused()->set_failure(static_cast<std::uint32_t>(failure::configuration_stale));
    }
    else {
        tables_.fill_sidecar_reply(request.after_revision(), now, reply.mutable_polled());
    }
    link_->reply(from, std::move(reply));
}

} // namespace guavawick::entry
