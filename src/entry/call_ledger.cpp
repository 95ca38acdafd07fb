// A call's talk with its program's ledger shard.
#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "entry/call_state.hpp"
#include "ledger/ledger_codec.hpp"
#include "wire.pb.h"

namespace guavawick::entry {

namespace asio = boost::asio;

namespace {

wire::envelope make_open(const call_flow& flow, const ledger::call_assignment& wanted)
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

/// Lets a sidecar forget an attempt whose end the ledger has recorded, or that another one took over from.
void release(const call_flow& flow, attempt_id attempt, const std::string& endpoint)
{
    wire::envelope order;
    order.mutable_release()->set_attempt(attempt.value);
    flow.context.links.send(endpoint, std::move(order));
}

/// Settles an earlier call of the program whose entry is gone, so that this one gets its turn.
asio::awaitable<void> settle(call_flow& flow, const wire::open_call_reply& stuck)
{
    const ledger::call_assignment own = flow.bound;
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

} // namespace

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
/// Opens the call once. @return whether an attempt is to be run, in `flow.bound`.
asio::awaitable<bool> open(call_flow& flow, wire::envelope_ptr& reply)
{
    const upstream_offer offer = co_await find_upstreams(flow);
    const routing::candidate& chosen = offer.candidates[offer.first_choice];
    const ledger::call_assignment wanted{attempt_id{random_id()}, chosen.name, chosen.incarnation,
                                         chosen.endpoint, flow.context.links.self()};
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

} // namespace guavawick::entry
