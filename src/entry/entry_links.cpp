// An entry's talk with the control group, the ledger groups and sidecars.
#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "entry/entry_process.hpp"
#include "ledger/ledger_func.hpp"
#include "wire.pb.h"

namespace guavawick::entry {

namespace asio = boost::asio;

namespace {

constexpr duration poll_wait = 500ms;
constexpr duration poll_limit = 3s;
constexpr duration retry_pause = 50ms;
constexpr duration session_interval = 1s;
constexpr duration session_limit = 3s;
constexpr duration load_interval = 500ms;
constexpr duration load_limit = 2s;
constexpr duration relay_limit = 5s;
constexpr duration free_limit = 5s;
constexpr duration sidecar_poll_step = 20ms;

} // namespace

asio::awaitable<void> entry_process::poll_loop()
{
    bool was_fresh = false;
    while (running()) {
        const auto [revision, version] = tables_.position();
        wire::envelope question;
        wire::poll_request* body = question.mutable_poll();
        body->set_after_revision(revision);
        body->set_after_version(version);
        body->set_wait_ms(static_cast<std::uint32_t>(to_ms(poll_wait)));
        body->set_process(settings_.entry.listen);
        body->set_role("entry");
        const time_point sent_at = runtime_clock::now();
        wire::envelope_ptr answer;
        try {
            answer = co_await client_->call(0, std::move(question), poll_limit, poll_wait);
        }
        catch (const link_error&) {
            answer = nullptr;
        }
        if (answer && answer->has_polled()) {
            if (tables_.apply_poll_reply(answer->polled(), sent_at)) {
                log_event(event::configuration_in_force, {{"revision", answer->polled().revision()}});
            }
        }
        else {
            co_await runtime::wait_for(retry_pause);
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
    while (running()) {
        wire::envelope question;
        question.mutable_session()->set_entry_incarnation(self_.value);
        wire::envelope_ptr answer;
        try {
            answer = co_await client_->call(shard + 1, std::move(question), session_limit);
        }
        catch (const link_error&) {
            answer = nullptr;
        }
        if (answer && answer->has_session_is()) {
            for (const wire::freed_program& one : answer->session_is().freed()) {
                for (const std::string& upstream : one.upstreams()) {
                    pool_.spawn(
                        free_program(shard, one.organisation(), one.program(), upstream_name{upstream}));
                }
            }
        }
        co_await runtime::wait_for(session_interval);
    }
}

/// Has a sidecar free the engine memory of a program that is gone, and confirms it to the ledger.
asio::awaitable<void> entry_process::free_program(std::uint32_t shard, std::string organisation,
                                                  std::string program, upstream_name upstream)
{
    const std::string endpoint = tables_.endpoint_of(upstream);
    try {
        if (!endpoint.empty()) {
            wire::envelope question;
            question.mutable_free_program()->set_organisation(organisation);
            question.mutable_free_program()->set_program(program);
            co_await links_->call(endpoint, std::move(question), free_limit);
        }
        else if (!tables_.is_fresh(runtime_clock::now())) {
            co_return;
        }
        // An upstream that left the directory frees everything when it comes back.
        wire::envelope done;
        done.mutable_freed()->set_organisation(organisation);
        done.mutable_freed()->set_program(program);
        done.mutable_freed()->set_upstream(upstream.value);
        co_await client_->call(shard + 1, std::move(done), free_limit);
    }
    catch (const link_error&) {
        // Offered again by the ledger.
    }
}

asio::awaitable<void> entry_process::load_loop()
{
    while (running()) {
        for (const auto& [name, endpoint] : tables_.endpoints()) {
            runtime::spawn(
                pool_.executor(),
                [](entry_process* self, upstream_name who, std::string where) -> asio::awaitable<void> {
                    wire::envelope question;
                    question.mutable_load();
                    try {
                        const wire::envelope_ptr answer =
                            co_await self->links_->call(std::move(where), std::move(question), load_limit);
                        self->tables_.note_load(who, answer->load());
                    }
                    catch (const link_error&) {
                        // The directory drops an upstream that stays silent.
                    }
                }(this, name, endpoint));
        }
        co_await runtime::wait_for(load_interval);
    }
}

void entry_process::receive(const wire::peer_route& from, const wire::envelope_ptr& message)
{
    switch (message->body_case()) {
    case wire::envelope::kPoll:
        pool_.spawn(answer_sidecar_poll(from, message));
        return;
    case wire::envelope::kAnnounce:
    case wire::envelope::kLoss:
    case wire::envelope::kClear:
    case wire::envelope::kClose:
        pool_.spawn(relay(from, message));
        return;
    default:
        log_event(event::link_refused_peer, {{"reason", "unexpected message"}});
        return;
    }
}

asio::awaitable<void> entry_process::relay(wire::peer_route from, wire::envelope_ptr message)
{
    std::uint32_t group = 0;
    if (message->has_close()) {
        const organisation_name organisation{message->close().organisation()};
        const std::string& root = message->close().root();
        const program_name home{root.empty() ? message->close().program() : root};
        group = ledger::shard_of(organisation, home, static_cast<std::uint32_t>(settings_.ledger_shards)) + 1;
    }
    wire::envelope question = *message;
    wire::envelope reply;
    try {
        const wire::envelope_ptr answer = co_await client_->call(group, std::move(question), relay_limit);
        reply = *answer;
    }
    catch (const link_error&) {
        reply.mutable_refused()->set_failure(static_cast<std::uint32_t>(failure::ledger_unavailable));
    }
    links_->reply(from, std::move(reply));
}

asio::awaitable<void> entry_process::answer_sidecar_poll(wire::peer_route from, wire::envelope_ptr message)
{
    const wire::poll_request& asked = message->poll();
    const time_point due =
        runtime_clock::now() + std::min<duration>(std::chrono::milliseconds(asked.wait_ms()), poll_wait);
    while (runtime_clock::now() < due && tables_.position().first == asked.after_revision()) {
        co_await runtime::wait_for(sidecar_poll_step);
    }
    wire::envelope reply;
    const time_point now = runtime_clock::now();
    if (!tables_.is_fresh(now)) {
        reply.mutable_refused()->set_failure(static_cast<std::uint32_t>(failure::configuration_stale));
    }
    else {
        tables_.fill_for_sidecar(asked.after_revision(), now, reply.mutable_polled());
    }
    links_->reply(from, std::move(reply));
}

} // namespace guavawick::entry
