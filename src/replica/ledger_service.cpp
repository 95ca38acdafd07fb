// A ledger group's state machine and its requests.
#include "replica/ledger_service.hpp"

#include "base/event_type.hpp"
#include "ledger/ledger_codec.hpp"
#include "replica/redirect_func.hpp"
#include "wire.pb.h"

namespace guavawick::replica {
namespace {

constexpr duration session_timeout = 4s; ///< time without a session request until an entry counts as crashed
constexpr duration check_interval = 1s;  ///< between checks for expiries, withdrawals and orphaned calls
constexpr duration free_request_interval = 3s; ///< until the freeing of a program's memory is requested again
constexpr int max_freed_per_reply = 256;

wire::envelope make_open_reply(const ledger::open_result& result)
{
    wire::envelope reply;
    ledger::to_wire(result, reply.mutable_opened());
    return reply;
}

} // namespace

ledger_service::ledger_service(group& consensus_group, const control_service& control)
    : group_(consensus_group), control_(control)
{
}

void ledger_service::start()
{
    state_machine machine;
    machine.apply = [this](const std::string& command) { return apply(command); };
    machine.save = [this] { return ledger::encode_state(state_); };
    machine.restore = [this](const std::string& bytes) { state_ = ledger::decode_state(bytes); };
    machine.leadership_changed = [this](bool leads) { handle_leadership_change(leads); };
    machine.tick = [this](time_point now) { tick(now); };
    group_.start(std::move(machine));
}

void ledger_service::handle_request(wire::envelope_ptr request, reply_function send_reply)
{
    group_.post([this, request = std::move(request), send_reply = std::move(send_reply)] {
        process_request(request, send_reply);
    });
}

void ledger_service::process_request(const wire::envelope_ptr& request, const reply_function& send_reply)
{
    if (!group_.has_read_lease()) {
        send_reply(make_redirect(group_));
        return;
    }
    const time_point now = runtime_clock::now();
    switch (request->body_case()) {
    case wire::envelope::kOpen:
        handle_open(request, send_reply);
        return;
    case wire::envelope::kClose:
    case wire::envelope::kFreed:
        propose(request, send_reply);
        return;
    case wire::envelope::kProgram:
        handle_program(request, send_reply);
        return;
    case wire::envelope::kSession:
        send_reply(handle_session(*request, now));
        return;
    case wire::envelope::kBorrow:
        send_reply(lend_tokens(*request, now));
        return;
    default:
        break;
    }
    wire::envelope refused;
    refused.mutable_refused()->set_failure(static_cast<std::uint32_t>(failure::bad_request));
    send_reply(std::move(refused));
}

ledger::group_time ledger_service::group_time() const
{
    return group_time_base_ + std::chrono::milliseconds(to_ms(runtime_clock::now() - leader_since_));
}

void ledger_service::handle_leadership_change(bool leads)
{
    leader_since_ = runtime_clock::now();
    group_time_base_ = state_.now;
    sessions_.clear();
    rate_owner_.take_over(leader_since_);
    last_free_request_.clear();
    if (leads) {
        return;
    }
    for (const auto& [key, pending] : pending_opens_) {
        pending.send_reply(make_redirect(group_));
    }
    pending_opens_.clear();
}

bool ledger_service::is_session_expired(incarnation_id entry, time_point now) const
{
    const auto found = sessions_.find(entry);
    const time_point last_seen = found == sessions_.end() ? leader_since_ : found->second;
    return now - last_seen > session_timeout;
}

const ledger::call_state* ledger_service::find_orphaned_call(const ledger::program_key& key,
                                                             const request_name& request,
                                                             time_point now) const
{
    const ledger::program_state* program = ledger::find_program(state_, key);
    if (program == nullptr || program->open_calls.empty()) {
        return nullptr;
    }
    const ledger::call_state& current = program->open_calls.front();
    const bool is_blocking = current.request_id != request && current.status == ledger::call_status::running;
    return is_blocking && is_session_expired(current.assignment.entry, now) ? &current : nullptr;
}

void ledger_service::handle_open(const wire::envelope_ptr& request, const reply_function& send_reply)
{
    const ledger::open_request open_request = ledger::from_wire(request->open());
    const ledger::call_state* orphaned =
        find_orphaned_call(open_request.key, open_request.request_id, runtime_clock::now());
    if (orphaned != nullptr) {
        ledger::open_result result;
        result.outcome = ledger::open_outcome::settle;
        result.assignment = orphaned->assignment;
        result.repeatable = orphaned->repeatable;
        send_reply(make_open_reply(result));
        return;
    }
    const wire::envelope_ptr assigned = assign_upstream(request, open_request.key);
    propose(assigned,
            [this, request, send_reply,
             key = pending_key{open_request.key, open_request.request_id}](const wire::envelope& reply) {
                const bool waits =
                    reply.has_opened() &&
                    reply.opened().outcome() == static_cast<std::uint32_t>(ledger::open_outcome::waiting);
                if (waits) {
                    pending_opens_[key] = {request, send_reply};
                    return;
                }
                send_reply(reply);
            });
}

/// @return the request with the choices replaced by the upstream that is expected to finish the call first.
/// The leader chooses, and its choice is committed, so that all replicas apply the same one.
wire::envelope_ptr ledger_service::assign_upstream(const wire::envelope_ptr& request,
                                                   const ledger::program_key& key) const
{
    const std::vector<ledger::upstream_choice> choices = ledger::choices_from_wire(request->open());
    const auto index = ledger::choose_upstream(ledger::find_program(state_, key), choices);
    auto assigned = std::make_shared<wire::envelope>(*request);
    assigned->mutable_open()->clear_choices();
    if (index) {
        const ledger::upstream_choice& choice = choices[*index];
        assigned->mutable_open()->set_upstream(choice.upstream.value);
        assigned->mutable_open()->set_upstream_incarnation(choice.incarnation.value);
        assigned->mutable_open()->set_upstream_endpoint(choice.endpoint);
    }
    return assigned;
}

void ledger_service::handle_program(const wire::envelope_ptr& request, const reply_function& send_reply)
{
    const wire::program_request& program_request = request->program();
    if (program_request.remove()) {
        propose(request, send_reply);
        return;
    }
    const ledger::program_key key{organisation_name{program_request.organisation()},
                                  program_name{program_request.program()}};
    const ledger::program_state* found = ledger::find_program(state_, key);
    wire::envelope reply;
    wire::program_reply* body = reply.mutable_program_is();
    body->set_found(found != nullptr);
    const std::optional<program_name> alias = ledger::find_alias(state_, key);
    if (alias) {
        body->set_parent(alias->value);
    }
    if (found != nullptr) {
        body->set_calls(found->calls);
        body->set_tokens(found->tokens);
        body->set_messages(found->history.size());
        body->set_call_open(!found->open_calls.empty());
        body->set_waiting(found->open_calls.empty() ? 0 : found->open_calls.size() - 1);
        body->set_parent(found->parent.value);
    }
    send_reply(group_.has_read_lease() ? std::move(reply) : make_redirect(group_));
}

void ledger_service::propose(const wire::envelope_ptr& request, reply_function send_reply)
{
    wire::ledger_command command;
    command.set_group_time_ms(group_time().count());
    if (request->has_open()) {
        *command.mutable_open() = request->open();
    }
    if (request->has_close()) {
        *command.mutable_close() = request->close();
    }
    if (request->has_program()) {
        *command.mutable_program() = request->program();
    }
    if (request->has_freed()) {
        *command.mutable_freed() = request->freed();
    }
    group_.propose(command.SerializeAsString(),
                   [this, send_reply = std::move(send_reply)](const wire::envelope* reply) {
                       send_reply(reply == nullptr ? make_redirect(group_) : *reply);
                   });
}

wire::envelope ledger_service::apply(const std::string& command)
{
    wire::ledger_command decoded;
    wire::envelope reply;
    if (!decoded.ParseFromString(command)) {
        return reply;
    }
    ledger::advance_time(state_, ledger::group_time{decoded.group_time_ms()});
    std::vector<ledger::dequeued_call> dequeued;
    switch (decoded.body_case()) {
    case wire::ledger_command::kOpen:
        reply = make_open_reply(ledger::open_call(state_, ledger::from_wire(decoded.open())));
        break;
    case wire::ledger_command::kClose: {
        ledger::close_result result = ledger::close_call(state_, ledger::from_wire(decoded.close()));
        reply.mutable_closed()->set_accepted(result.accepted);
        dequeued = std::move(result.dequeued);
        break;
    }
    case wire::ledger_command::kProgram: {
        const ledger::program_key key{organisation_name{decoded.program().organisation()},
                                      program_name{decoded.program().program()}};
        reply.mutable_program_is()->set_found(ledger::end_program(state_, key, dequeued));
        break;
    }
    case wire::ledger_command::kFreed: {
        const ledger::program_key key{organisation_name{decoded.freed().organisation()},
                                      program_name{decoded.freed().program()}};
        ledger::record_memory_freed(state_, key, upstream_name{decoded.freed().upstream()});
        reply.mutable_done();
        break;
    }
    case wire::ledger_command::kExpire:
        ledger::expire_programs(state_, dequeued);
        break;
    case wire::ledger_command::kWithdrawOrganisation:
        ledger::withdraw_organisation(state_, organisation_name{decoded.withdraw_organisation()}, dequeued);
        break;
    case wire::ledger_command::BODY_NOT_SET:
        break;
    }
    reply_to_dequeued(dequeued);
    return reply;
}

void ledger_service::reply_to_dequeued(const std::vector<ledger::dequeued_call>& dequeued)
{
    for (const ledger::dequeued_call& call : dequeued) {
        const auto found = pending_opens_.find({call.key, call.request_id});
        if (found == pending_opens_.end()) {
            continue;
        }
        const pending_open pending = std::move(found->second);
        pending_opens_.erase(found);
        pending.send_reply(make_open_reply(call.result));
    }
}

wire::envelope ledger_service::handle_session(const wire::envelope& request, time_point now)
{
    sessions_[incarnation_id{request.session().entry_incarnation()}] = now;
    wire::envelope reply;
    wire::session_reply* body = reply.mutable_session_is();
    for (const auto& [key, upstreams] : state_.memory_to_free) {
        if (body->freed_size() >= max_freed_per_reply) {
            break;
        }
        time_point& last_request = last_free_request_[key];
        if (last_request != time_point{} && now - last_request < free_request_interval) {
            continue;
        }
        last_request = now;
        wire::freed_program* freed = body->add_freed();
        freed->set_organisation(key.organisation.value);
        freed->set_program(key.program.value);
        for (const upstream_name& upstream : upstreams) {
            freed->add_upstreams(upstream.value);
        }
    }
    return reply;
}

wire::envelope ledger_service::lend_tokens(const wire::envelope& request, time_point now)
{
    wire::envelope reply = rate_owner_.borrow(request.borrow(), now);
    if (reply.has_borrowed() && !group_.has_read_lease()) {
        return make_redirect(group_); // the read lease has ended; the lent tokens expire unused
    }
    return reply;
}

void ledger_service::settle_pending_opens(time_point now)
{
    for (auto pending = pending_opens_.begin(); pending != pending_opens_.end();) {
        const ledger::call_state* orphaned =
            find_orphaned_call(pending->first.first, pending->first.second, now);
        if (orphaned == nullptr) {
            ++pending;
            continue;
        }
        ledger::open_result result;
        result.outcome = ledger::open_outcome::settle;
        result.assignment = orphaned->assignment;
        result.repeatable = orphaned->repeatable;
        pending->second.send_reply(make_open_reply(result));
        pending = pending_opens_.erase(pending);
    }
}

void ledger_service::propose_expiry()
{
    if (state_.expiries.empty() || state_.expiries.begin()->first > group_time()) {
        return;
    }
    wire::ledger_command command;
    command.set_group_time_ms(group_time().count());
    command.set_expire(true);
    group_.propose(command.SerializeAsString(), [](const wire::envelope*) {});
}

void ledger_service::propose_withdrawals()
{
    const auto withdrawn = control_.withdrawn_organisations();
    for (const std::string& name : *withdrawn) {
        const organisation_name organisation{name};
        const bool has_programs =
            std::any_of(state_.programs.begin(), state_.programs.end(),
                        [&](const auto& item) { return item.first.organisation == organisation; });
        if (!has_programs) {
            continue;
        }
        wire::ledger_command command;
        command.set_group_time_ms(group_time().count());
        command.set_withdraw_organisation(name);
        group_.propose(command.SerializeAsString(), [](const wire::envelope*) {});
    }
}

void ledger_service::tick(time_point now)
{
    if (now < next_check_ || !group_.has_read_lease()) {
        return;
    }
    next_check_ = now + check_interval;
    std::erase_if(sessions_, [now](const auto& item) { return now - item.second > 10 * session_timeout; });
    settle_pending_opens(now);
    propose_expiry();
    propose_withdrawals();
}

} // namespace guavawick::replica
