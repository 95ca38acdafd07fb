// Conversions between the ledger's structs and wire messages, and the snapshot of a shard's state.
#include "ledger/ledger_codec.hpp"

#include "ledger/ledger_func.hpp"
#include "ledger/program_func.hpp"
#include "wire.pb.h"

namespace guavawick::ledger {

void to_wire(const std::vector<chat_message>& from,
             google::protobuf::RepeatedPtrField<wire::chat_message>* into)
{
    for (const chat_message& message : from) {
        wire::chat_message* added = into->Add();
        added->set_role(message.role);
        added->set_content(message.content);
    }
}

std::vector<chat_message> from_wire(const google::protobuf::RepeatedPtrField<wire::chat_message>& from)
{
    std::vector<chat_message> messages;
    messages.reserve(static_cast<std::size_t>(from.size()));
    for (const wire::chat_message& message : from) {
        messages.push_back({message.role(), message.content()});
    }
    return messages;
}

void to_wire(const stored_answer& from, wire::stored_answer* into)
{
    into->set_status(from.status);
    into->set_content_type(from.content_type);
    into->set_body(from.body);
    into->set_prompt_tokens(from.prompt_tokens);
    into->set_completion_tokens(from.completion_tokens);
}

stored_answer from_wire(const wire::stored_answer& from)
{
    return {from.status(), from.content_type(), from.body(), from.prompt_tokens(), from.completion_tokens()};
}

void to_wire(const budget_limits& from, wire::budget_limits* into)
{
    into->set_calls(from.calls);
    into->set_tokens(from.tokens);
    into->set_seconds(from.seconds);
    into->set_idle_seconds(from.idle_seconds);
}

budget_limits from_wire(const wire::budget_limits& from)
{
    return {from.calls(), from.tokens(), from.seconds(), from.idle_seconds()};
}

open_request from_wire(const wire::open_call_request& from)
{
    open_request request;
    request.key = {organisation_name{from.organisation()}, program_name{from.program()}};
    request.parent = program_name{from.parent()};
    request.root = program_name{from.root()};
    request.request_id = request_name{from.request_id()};
    request.assignment = {attempt_id{from.attempt()}, upstream_name{from.upstream()},
                          incarnation_id{from.upstream_incarnation()}, from.upstream_endpoint(),
                          incarnation_id{from.entry_incarnation()}};
    request.body = body_hash{from.body_hash()};
    request.max_tokens = from.most_tokens();
    request.repeatable = from.repeatable();
    request.ephemeral = from.ephemeral();
    request.keep_answer = from.keep_answer();
    request.alias_only = from.alias_only();
    request.budget = from_wire(from.budget());
    request.replaces = attempt_id{from.replaces_attempt()};
    request.messages = from_wire(from.messages());
    return request;
}

std::vector<upstream_choice> choices_from_wire(const wire::open_call_request& from)
{
    std::vector<upstream_choice> choices;
    for (const wire::upstream_choice& choice : from.choices()) {
        choices.push_back({upstream_name{choice.upstream()}, incarnation_id{choice.incarnation()},
                           choice.endpoint(), choice.seconds(), choice.prefill_tokens_per_second()});
    }
    return choices;
}

void to_wire(const open_result& from, wire::open_call_reply* into)
{
    into->set_outcome(static_cast<std::uint32_t>(from.outcome));
    into->set_failure(static_cast<std::uint32_t>(from.error));
    into->set_attempt(from.assignment.attempt.value);
    into->set_upstream(from.assignment.upstream.value);
    into->set_upstream_incarnation(from.assignment.upstream_incarnation.value);
    into->set_upstream_endpoint(from.assignment.upstream_endpoint);
    into->set_entry_incarnation(from.assignment.entry.value);
    into->set_repeatable(from.repeatable);
    to_wire(from.history, into->mutable_history());
    into->set_attained_tokens(from.attained_tokens);
    if (from.outcome == open_outcome::stored) {
        to_wire(from.answer, into->mutable_answer());
    }
    into->set_root(from.root.value);
}

close_request from_wire(const wire::close_call_request& from)
{
    close_request report;
    report.key = {organisation_name{from.organisation()}, program_name{from.program()}};
    report.attempt = attempt_id{from.attempt()};
    report.outcome = static_cast<call_outcome>(from.outcome());
    report.prompt_tokens = from.prompt_tokens();
    report.completion_tokens = from.completion_tokens();
    report.answer = from_wire(from.answer());
    report.messages = from_wire(from.messages());
    return report;
}

namespace {

void encode_call(const call_state& call, wire::call_record* into)
{
    into->set_request_id(call.request_id.value);
    into->set_status(static_cast<std::uint32_t>(call.status));
    into->set_attempt(call.assignment.attempt.value);
    into->set_upstream(call.assignment.upstream.value);
    into->set_upstream_incarnation(call.assignment.upstream_incarnation.value);
    into->set_upstream_endpoint(call.assignment.upstream_endpoint);
    into->set_entry_incarnation(call.assignment.entry.value);
    into->set_repeatable(call.repeatable);
    into->set_keep_answer(call.keep_answer);
    into->set_body_hash(call.body.value);
    into->set_most_tokens(call.reserved_tokens);
    to_wire(call.messages, into->mutable_messages());
    into->set_outcome(static_cast<std::uint32_t>(call.outcome));
    to_wire(call.answer, into->mutable_answer());
}

call_state decode_call(const wire::call_record& from)
{
    call_state call;
    call.request_id = request_name{from.request_id()};
    call.status = static_cast<call_status>(from.status());
    call.assignment = {attempt_id{from.attempt()}, upstream_name{from.upstream()},
                       incarnation_id{from.upstream_incarnation()}, from.upstream_endpoint(),
                       incarnation_id{from.entry_incarnation()}};
    call.repeatable = from.repeatable();
    call.keep_answer = from.keep_answer();
    call.body = body_hash{from.body_hash()};
    call.reserved_tokens = from.most_tokens();
    call.messages = from_wire(from.messages());
    call.outcome = static_cast<call_outcome>(from.outcome());
    call.answer = from_wire(from.answer());
    return call;
}

void encode_program(const program_state& program, wire::program_record* into)
{
    into->set_organisation(program.key.organisation.value);
    into->set_program(program.key.program.value);
    into->set_parent(program.parent.value);
    into->set_root(program.root.value);
    into->set_ephemeral(program.ephemeral);
    to_wire(program.budget, into->mutable_budget());
    into->set_calls(program.calls);
    into->set_tokens(program.tokens);
    into->set_reserved_tokens(program.reserved_tokens);
    into->set_attained(program.attained_tokens);
    into->set_last_upstream(program.last_upstream.value);
    into->set_history_tokens(program.history_tokens);
    into->set_opened_at_ms(program.opened_at.count());
    into->set_used_at_ms(program.used_at.count());
    to_wire(program.history, into->mutable_history());
    for (const call_state& call : program.open_calls) {
        encode_call(call, into->add_calls_open());
    }
    for (const call_state& call : program.closed_calls) {
        encode_call(call, into->add_calls_closed());
    }
    for (const upstream_name& upstream : program.held_by) {
        into->add_held_by(upstream.value);
    }
}

program_state decode_program(const wire::program_record& from)
{
    program_state program;
    program.key = {organisation_name{from.organisation()}, program_name{from.program()}};
    program.parent = program_name{from.parent()};
    program.root = program_name{from.root()};
    program.ephemeral = from.ephemeral();
    program.budget = from_wire(from.budget());
    program.calls = from.calls();
    program.tokens = from.tokens();
    program.reserved_tokens = from.reserved_tokens();
    program.attained_tokens = from.attained();
    program.last_upstream = upstream_name{from.last_upstream()};
    program.history_tokens = from.history_tokens();
    program.opened_at = group_time{from.opened_at_ms()};
    program.used_at = group_time{from.used_at_ms()};
    program.history = from_wire(from.history());
    for (const wire::call_record& call : from.calls_open()) {
        program.open_calls.push_back(decode_call(call));
    }
    for (const wire::call_record& call : from.calls_closed()) {
        program.closed_calls.push_back(decode_call(call));
    }
    for (const std::string& upstream : from.held_by()) {
        program.held_by.insert(upstream_name{upstream});
    }
    return program;
}

} // namespace

std::string encode_state(const ledger_state& state)
{
    wire::ledger_snapshot encoded;
    encoded.set_group_time_ms(state.now.count());
    std::map<program_key, const program_state*> sorted;
    for (const auto& [key, program] : state.programs) {
        sorted[key] = &program;
    }
    for (const auto& [key, program] : sorted) {
        encode_program(*program, encoded.add_programs());
    }
    for (const auto& [key, upstreams] : state.memory_to_free) {
        wire::freed_program* freed = encoded.add_freed();
        freed->set_organisation(key.organisation.value);
        freed->set_program(key.program.value);
        for (const upstream_name& upstream : upstreams) {
            freed->add_upstreams(upstream.value);
        }
    }
    for (const auto& [key, alias] : state.aliases) {
        wire::alias_record* record = encoded.add_aliases();
        record->set_organisation(key.organisation.value);
        record->set_program(key.program.value);
        record->set_root(alias.root.value);
        record->set_used_at_ms(alias.used_at.count());
    }
    return encoded.SerializeAsString();
}

ledger_state decode_state(const std::string& bytes)
{
    wire::ledger_snapshot encoded;
    if (!encoded.ParseFromString(bytes)) {
        throw decode_error("cannot decode a ledger snapshot");
    }
    ledger_state state;
    state.now = group_time{encoded.group_time_ms()};
    for (const wire::program_record& record : encoded.programs()) {
        program_state program = decode_program(record);
        const program_key key = program.key;
        const group_time used_at = program.used_at;
        program_state& inserted = state.programs.emplace(key, std::move(program)).first->second;
        const group_time now = state.now;
        state.now = used_at;
        touch_program(state, inserted);
        state.now = now;
    }
    for (auto& [key, program] : state.programs) {
        if (program.root != key.program) {
            state.programs[{key.organisation, program.root}].children.insert(key.program);
        }
    }
    for (const wire::freed_program& freed : encoded.freed()) {
        std::set<upstream_name>& upstreams =
            state.memory_to_free[{organisation_name{freed.organisation()}, program_name{freed.program()}}];
        for (const std::string& upstream : freed.upstreams()) {
            upstreams.insert(upstream_name{upstream});
        }
    }
    for (const wire::alias_record& alias : encoded.aliases()) {
        state.aliases[{organisation_name{alias.organisation()}, program_name{alias.program()}}] = {
            program_name{alias.root()}, group_time{alias.used_at_ms()}};
    }
    return state;
}

} // namespace guavawick::ledger
