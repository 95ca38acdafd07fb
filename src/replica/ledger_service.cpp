// A ledger group's state machine and its answers.
#include "replica/ledger_service.hpp"

#include "base/event_type.hpp"
#include "ledger/ledger_codec.hpp"
#include "wire.pb.h"

namespace guavawick::replica {
namespace {

constexpr duration session_limit = 4s;  ///< an entry that is not heard for this long is taken for dead
constexpr duration check_interval = 1s; ///< how often expiries, withdrawals and stuck calls are looked for
constexpr duration free_interval = 3s;  ///< how often the same freeing is asked for again
constexpr int most_freed_per_answer = 256;

wire::envelope make_opened(const ledger::open_result& result)
{
    wire::envelope reply;
    ledger::to_wire(result, reply.mutable_opened());
    return reply;
}

} // namespace

ledger_service::ledger_service(group& driver, const control_service& control)
    : group_(driver), control_(control)
{
}

void ledger_service::start()
{
    state_machine machine;
    machine.apply = [this](const std::string& command) { return apply(command); };
    machine.save = [this] { return ledger::encode_state(state_); };
    machine.restore = [this](const std::string& bytes) { state_ = ledger::decode_state(bytes); };
    machine.leadership_changed = [this](bool leads) { lead(leads); };
    machine.tick = [this](time_point now) { tick(now); };
    group_.start(std::move(machine));
}

void ledger_service::handle(wire::envelope_ptr request, reply_function answer)
{
    group_.post(
        [this, request = std::move(request), answer = std::move(answer)] { handle_here(request, answer); });
}

void ledger_service::handle_here(const wire::envelope_ptr& request, const reply_function& answer)
{
    if (!group_.has_read_lease()) {
        answer(redirect());
        return;
    }
    const time_point now = runtime_clock::now();
    switch (request->body_case()) {
    case wire::envelope::kOpen:
        open(request, answer);
        return;
    case wire::envelope::kClose:
    case wire::envelope::kFreed:
        propose(request, answer);
        return;
    case wire::envelope::kProgram:
        program(request, answer);
        return;
    case wire::envelope::kSession:
        answer(session(*request, now));
        return;
    case wire::envelope::kBorrow:
        answer(borrow(*request, now));
        return;
    default:
        break;
    }
    wire::envelope refused;
    refused.mutable_refused()->set_failure(static_cast<std::uint32_t>(failure::bad_request));
    answer(std::move(refused));
}

wire::envelope ledger_service::redirect() const
{
    wire::envelope reply;
    reply.mutable_redirect()->set_leader_endpoint(group_.leads() ? "" : group_.leader_endpoint());
    return reply;
}

ledger::group_time ledger_service::group_time() const
{
    return group_time_base_ + std::chrono::milliseconds(to_ms(runtime_clock::now() - leads_since_));
}

void ledger_service::lead(bool leads)
{
    leads_since_ = runtime_clock::now();
    group_time_base_ = state_.now;
    sessions_.clear();
    rates_.take_over(leads_since_);
    free_offered_.clear();
    if (leads) {
        return;
    }
    for (const auto& [key, waiting] : parked_) {
        waiting.answer(redirect());
    }
    parked_.clear();
}

bool ledger_service::session_is_dead(incarnation_id entry, time_point now) const
{
    const auto found = sessions_.find(entry);
    const time_point heard = found == sessions_.end() ? leads_since_ : found->second;
    return now - heard > session_limit;
}

const ledger::call_state* ledger_service::find_stuck(const ledger::program_key& key,
                                                     const request_name& request, time_point now) const
{
    const ledger::program_state* program = ledger::find_program(state_, key);
    if (program == nullptr || program->open_calls.empty()) {
        return nullptr;
    }
    const ledger::call_state& first = program->open_calls.front();
    const bool other = first.request_id != request && first.status == ledger::call_status::running;
    return other && session_is_dead(first.assignment.entry, now) ? &first : nullptr;
}

void ledger_service::open(const wire::envelope_ptr& request, const reply_function& answer)
{
    const ledger::open_request wish = ledger::from_wire(request->open());
    const ledger::call_state* stuck = find_stuck(wish.key, wish.request_id, runtime_clock::now());
    if (stuck != nullptr) {
        ledger::open_result result;
        result.outcome = ledger::open_outcome::settle;
        result.assignment = stuck->assignment;
        result.repeatable = stuck->repeatable;
        answer(make_opened(result));
        return;
    }
    const wire::envelope_ptr claimed = claim_upstream(request, wish.key);
    propose(claimed, [this, request, answer,
                      key = parked_key{wish.key, wish.request_id}](const wire::envelope& reply) {
        const bool waits =
            reply.has_opened() &&
            reply.opened().outcome() == static_cast<std::uint32_t>(ledger::open_outcome::waiting);
        if (waits) {
            parked_[key] = {request, answer};
            return;
        }
        answer(reply);
    });
}

/// Names the upstream where the call ends soonest. The leader decides, and what is committed is its decision.
wire::envelope_ptr ledger_service::claim_upstream(const wire::envelope_ptr& request,
                                                  const ledger::program_key& key) const
{
    const std::vector<ledger::upstream_choice> choices = ledger::choices_from_wire(request->open());
    const auto place = ledger::choose_upstream(ledger::find_program(state_, key), choices);
    auto claimed = std::make_shared<wire::envelope>(*request);
    claimed->mutable_open()->clear_choices();
    if (place) {
        const ledger::upstream_choice& there = choices[*place];
        claimed->mutable_open()->set_upstream(there.upstream.value);
        claimed->mutable_open()->set_upstream_incarnation(there.incarnation.value);
        claimed->mutable_open()->set_upstream_endpoint(there.endpoint);
    }
    return claimed;
}

void ledger_service::program(const wire::envelope_ptr& request, const reply_function& answer)
{
    const wire::program_request& asked = request->program();
    if (asked.remove()) {
        propose(request, answer);
        return;
    }
    const ledger::program_key key{organisation_name{asked.organisation()}, program_name{asked.program()}};
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
    answer(group_.has_read_lease() ? std::move(reply) : redirect());
}

void ledger_service::propose(const wire::envelope_ptr& request, reply_function answer)
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
                   [this, answer = std::move(answer)](const wire::envelope* reply) {
                       answer(reply == nullptr ? redirect() : *reply);
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
        reply = make_opened(ledger::open_call(state_, ledger::from_wire(decoded.open())));
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
    answer_promoted(dequeued);
    return reply;
}

void ledger_service::answer_promoted(const std::vector<ledger::dequeued_call>& dequeued)
{
    for (const ledger::dequeued_call& one : dequeued) {
        const auto found = parked_.find({one.key, one.request_id});
        if (found == parked_.end()) {
            continue;
        }
        const parked_open waiting = std::move(found->second);
        parked_.erase(found);
        waiting.answer(make_opened(one.result));
    }
}

wire::envelope ledger_service::session(const wire::envelope& request, time_point now)
{
    sessions_[incarnation_id{request.session().entry_incarnation()}] = now;
    wire::envelope reply;
    wire::session_reply* body = reply.mutable_session_is();
    for (const auto& [key, upstreams] : state_.memory_to_free) {
        if (body->freed_size() >= most_freed_per_answer) {
            break;
        }
        time_point& offered = free_offered_[key];
        if (offered != time_point{} && now - offered < free_interval) {
            continue;
        }
        offered = now;
        wire::freed_program* made = body->add_freed();
        made->set_organisation(key.organisation.value);
        made->set_program(key.program.value);
        for (const upstream_name& upstream : upstreams) {
            made->add_upstreams(upstream.value);
        }
    }
    return reply;
}

wire::envelope ledger_service::borrow(const wire::envelope& request, time_point now)
{
    wire::envelope reply = rates_.borrow(request.borrow(), now);
    if (reply.has_borrowed() && !group_.has_read_lease()) {
        return redirect(); // the lease ended meanwhile; what was lent lapses unused
    }
    return reply;
}

void ledger_service::settle_parked(time_point now)
{
    for (auto entry = parked_.begin(); entry != parked_.end();) {
        const ledger::call_state* stuck = find_stuck(entry->first.first, entry->first.second, now);
        if (stuck == nullptr) {
            ++entry;
            continue;
        }
        ledger::open_result result;
        result.outcome = ledger::open_outcome::settle;
        result.assignment = stuck->assignment;
        result.repeatable = stuck->repeatable;
        entry->second.answer(make_opened(result));
        entry = parked_.erase(entry);
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
    const auto withdrawn = control_.withdrawn();
    for (const std::string& name : *withdrawn) {
        const organisation_name who{name};
        const bool has_programs =
            std::any_of(state_.programs.begin(), state_.programs.end(),
                        [&](const auto& item) { return item.first.organisation == who; });
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
    std::erase_if(sessions_, [now](const auto& item) { return now - item.second > 10 * session_limit; });
    settle_parked(now);
    propose_expiry();
    propose_withdrawals();
}

} // namespace guavawick::replica
