// Messages to the ledger shard of a call's program.
#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "entry/call_state.hpp"
#include "ledger/ledger_codec.hpp"
#include "wire.pb.h"

namespace guavawick::entry {

namespace asio = boost::asio;

namespace {

wire::envelope make_open_request(const active_call& call, const ledger::call_assignment& assignment)
{
    wire::envelope request;
    wire::open_call_request* body = request.mutable_open();
    body->set_organisation(call.request.organisation.name.value);
    body->set_program(call.request.program.value);
    body->set_parent(call.request.parent.value);
    body->set_root(call.root.value);
    body->set_request_id(call.request.ledger_request_id.value);
    body->set_body_hash(call.request.request_hash.value);
    body->set_most_tokens(reserved_tokens(call));
    body->set_repeatable(call.request.route.repeatable);
    body->set_upstream(assignment.upstream.value);
    body->set_upstream_incarnation(assignment.upstream_incarnation.value);
    body->set_upstream_endpoint(assignment.upstream_endpoint);
    body->set_entry_incarnation(call.context.links.own_incarnation().value);
    body->set_ephemeral(call.request.ephemeral);
    body->set_attempt(assignment.attempt.value);
    body->set_keep_answer(call.request.keep_answer);
    body->set_replaces_attempt(call.replaced_attempt.value);
    const configuration::budget& limits = call.request.budget;
    ledger::to_wire(ledger::budget_limits{limits.calls, limits.tokens, limits.seconds, limits.idle_seconds},
                    body->mutable_budget());
    for (const std::string& message : call.request.chat.messages) {
        wire::chat_message* chat_message = body->add_messages();
        chat_message->set_role(caller::role_of(message));
        chat_message->set_content(message);
    }
    return request;
}

/// Sends a request to the leader of the call's ledger group.
/// @param max_hold how long the ledger may hold the request before it replies, for calls that are queued.
/// @throw refusal_error if the ledger can't be reached or refuses the request.
asio::awaitable<wire::envelope_ptr> send_to_ledger(active_call& call, wire::envelope request,
                                                   duration timeout, duration max_hold = {})
{
    wire::envelope_ptr reply;
    try {
        reply = co_await call.context.client.call(call.ledger_group(), std::move(request), timeout, max_hold);
    }
    catch (const link_error& error) {
        throw refusal_error(failure::ledger_unavailable, error.what(),
                            call.is_open ? ran_state::unknown : ran_state::no);
    }
    if (reply->has_refused()) {
        throw refusal_error(to_failure(reply->refused().failure()), reply->refused().detail());
    }
    co_return reply;
}

/// Notifies a sidecar that it may forget an attempt whose end the ledger has recorded or that another attempt
/// has replaced.
void release_attempt(const active_call& call, attempt_id attempt, const std::string& endpoint)
{
    wire::envelope message;
    message.mutable_release()->set_attempt(attempt.value);
    call.context.links.send(endpoint, std::move(message));
}

/// Determines the outcome of an earlier call of the program whose entry is gone, so that this call can start.
asio::awaitable<void> settle_orphaned_call(active_call& call, const wire::open_call_reply& orphan)
{
    const ledger::call_assignment own_assignment = call.assignment;
    call.assignment = {attempt_id{orphan.attempt()}, upstream_name{orphan.upstream()},
                       incarnation_id{orphan.upstream_incarnation()}, orphan.upstream_endpoint(),
                       incarnation_id{orphan.entry_incarnation()}};
    const bool never_runs = co_await tombstone_attempt(call);
    if (never_runs || is_upstream_gone(call)) {
        const auto outcome = never_runs            ? ledger::call_outcome::not_executed
                             : orphan.repeatable() ? ledger::call_outcome::abandoned
                                                   : ledger::call_outcome::unknown;
        wire::envelope request;
        *request.mutable_close() = make_close_request(call, outcome);
        co_await send_to_ledger(call, std::move(request), close_timeout);
    }
    else {
        co_await back_off(call); // it runs or its sidecar is unreachable; the sidecar reports its end
    }
    call.assignment = own_assignment;
}

} // namespace

asio::awaitable<void> resolve_root(active_call& call)
{
    call.root = call.context.tables.root_of(call.program_key());
    if (!call.root.empty() || call.request.parent.empty()) {
        co_return;
    }
    const std::string parent_key = call.request.organisation.name.value + "/" + call.request.parent.value;
    program_name root = call.context.tables.root_of(parent_key);
    if (root.empty()) {
        wire::envelope request;
        request.mutable_program()->set_organisation(call.request.organisation.name.value);
        request.mutable_program()->set_program(call.request.parent.value);
        call.root = call.request.parent;
        const wire::envelope_ptr reply =
            co_await send_to_ledger(call, std::move(request), call.context.settings.queue_limit);
        const wire::program_reply& parent = reply->program_is();
        if (!parent.found() && parent.parent().empty()) {
            throw refusal_error(failure::program_unknown, "the parent program is not known");
        }
        root = parent.found() ? call.request.parent : program_name{parent.parent()};
    }
    call.root = {};
    wire::envelope request;
    wire::open_call_request* body = request.mutable_open();
    body->set_organisation(call.request.organisation.name.value);
    body->set_program(call.request.program.value);
    body->set_root(root.value);
    body->set_alias_only(true);
    const wire::envelope_ptr reply =
        co_await send_to_ledger(call, std::move(request), call.context.settings.queue_limit);
    if (reply->opened().failure() != 0) {
        throw refusal_error(to_failure(reply->opened().failure()),
                            "the program already exists without a parent");
    }
    call.root = program_name{reply->opened().root()};
    call.context.tables.record_root(call.program_key(), call.root);
}

wire::close_call_request make_close_request(const active_call& call, ledger::call_outcome outcome)
{
    wire::close_call_request body;
    body.set_organisation(call.request.organisation.name.value);
    body.set_program(call.request.program.value);
    body.set_attempt(call.assignment.attempt.value);
    body.set_outcome(static_cast<std::uint32_t>(outcome));
    return body;
}
asio::awaitable<bool> close_call(active_call& call, wire::close_call_request body)
{
    wire::envelope request;
    *request.mutable_close() = std::move(body);
    const wire::envelope_ptr reply = co_await send_to_ledger(call, std::move(request), close_timeout);
    call.is_open = false;
    release_attempt(call, call.assignment.attempt, call.assignment.upstream_endpoint);
    co_return reply->closed().accepted();
}
asio::awaitable<bool> open_call(active_call& call, wire::envelope_ptr& reply)
{
    const upstream_selection selection = co_await find_upstreams(call);
    const routing::candidate& candidate = selection.candidates[selection.preferred];
    const ledger::call_assignment assignment{attempt_id{random_id()}, candidate.name, candidate.incarnation,
                                             candidate.endpoint, call.context.links.own_incarnation()};
    const duration timeout = std::max<duration>(call.deadline - runtime_clock::now(), 1ms);
    wire::envelope request = make_open_request(call, assignment);
    add_choices(selection, request.mutable_open());
    reply = co_await send_to_ledger(call, std::move(request), timeout, timeout);
    const wire::open_call_reply& body = reply->opened();
    switch (static_cast<ledger::open_outcome>(body.outcome())) {
    case ledger::open_outcome::granted:
    case ledger::open_outcome::running:
        if (call.replaced_attempt && body.attempt() == assignment.attempt.value) {
            release_attempt(call, call.replaced_attempt, call.assignment.upstream_endpoint);
        }
        call.is_open = true;
        call.assignment = {attempt_id{body.attempt()}, upstream_name{body.upstream()},
                           incarnation_id{body.upstream_incarnation()}, body.upstream_endpoint(),
                           incarnation_id{body.entry_incarnation()}};
        log_event(event::call_opened, {{"request", call.request.request_id},
                                       {"program", call.request.program.value},
                                       {"attempt", to_hex(body.attempt())}});
        co_return true;
    case ledger::open_outcome::moved:
        call.root = program_name{body.root()};
        call.context.tables.record_root(call.program_key(), call.root);
        co_return false;
    case ledger::open_outcome::settle:
        co_await settle_orphaned_call(call, body);
        co_return false;
    case ledger::open_outcome::stored:
    case ledger::open_outcome::waiting:
        co_return false;
    case ledger::open_outcome::refused:
        break;
    }
    const failure error = to_failure(body.failure());
    throw refusal_error(error, find_failure(error).meaning, find_failure(error).ran);
}

std::vector<std::string> extract_history(const wire::open_call_reply& reply)
{
    std::vector<std::string> history;
    for (const wire::chat_message& message : reply.history()) {
        history.push_back(message.content());
    }
    return history;
}

} // namespace guavawick::entry
