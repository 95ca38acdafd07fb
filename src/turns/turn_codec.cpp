// Conversion of turns from messages, and to and from snapshots.
#include "base/failure_type.hpp"
#include "turns/turn_func.hpp"
#include "wire.pb.h"
#include "wire/content_codec.hpp"

namespace guavawick::turns {

void to_wire(const stream_origin& origin, wire::stream_origin* message)
{
    message->set_service(origin.service);
    message->set_version(origin.version);
    message->set_attempt(origin.attempt);
}

stream_origin from_wire(const wire::stream_origin& message)
{
    return {message.service(), message.version(), message.attempt(), {}};
}

std::string encode_state(const turn_state& state)
{
    wire::turn_snapshot encoded;
    encoded.set_now_ms(state.now.count());
    for (const auto& [key, turn] : state.turns) {
        wire::turn_record* record = encoded.add_turns();
        record->set_organisation(key.organisation.value);
        record->set_request(key.request.value);
        record->set_previous(turn.previous.value);
        wire::to_wire(turn.content, record->mutable_content());
        record->set_upstream(turn.upstream);
        record->set_keep_until_ms(turn.keep_until.count());
    }
    for (const auto& [key, account] : state.programs) {
        wire::program_budget* budget = encoded.add_programs();
        budget->set_organisation(key.organisation.value);
        budget->set_program(key.program.value);
        budget->set_spent(account.spent);
        budget->set_used_at_ms(account.used_at.count());
        budget->set_keep_until_ms(account.keep_until.count());
        for (const auto& [request, max_tokens] : account.reserved) {
            wire::reservation_record* reserved = budget->add_reserved();
            reserved->set_request(request.value);
            reserved->set_most(max_tokens);
        }
        for (const auto& [line, upstream] : account.upstream_by_line) {
            wire::line_record* line_record = budget->add_upstreams();
            line_record->set_line(line);
            line_record->set_upstream(upstream);
        }
        budget->set_last_upstream(account.last_upstream);
        for (const request_name& request : account.settled) {
            budget->add_settled(request.value);
        }
    }
    for (const auto& [key, origin] : state.streams) {
        wire::stream_record* record = encoded.add_streams();
        record->set_organisation(key.organisation.value);
        record->set_request(key.request.value);
        to_wire(origin, record->mutable_origin());
        record->set_keep_until_ms(origin.keep_until.count());
    }
    return encoded.SerializeAsString();
}

turn_state decode_state(const std::string& bytes, const content_writer& write_content)
{
    wire::turn_snapshot encoded;
    if (!encoded.ParseFromString(bytes)) {
        throw decode_error("a snapshot of turns does not decode");
    }
    turn_state state;
    state.now = group_time{encoded.now_ms()};
    for (const wire::turn_record& record : encoded.turns()) {
        const content_range content = record.has_content() ? wire::from_wire(record.content())
                                                           : write_content(record.input() + record.output());
        state.turns[{organisation_name{record.organisation()}, request_name{record.request()}}] = {
            request_name{record.previous()}, content, record.upstream(), group_time{record.keep_until_ms()}};
    }
    for (const wire::program_budget& budget : encoded.programs()) {
        program_account& account =
            state.programs[{organisation_name{budget.organisation()}, program_name{budget.program()}}];
        account.spent = budget.spent();
        account.used_at = group_time{budget.used_at_ms()};
        account.keep_until = group_time{budget.keep_until_ms()};
        for (const wire::line_record& line_record : budget.upstreams()) {
            account.upstream_by_line[line_record.line()] = line_record.upstream();
        }
        account.last_upstream = budget.last_upstream();
        for (const wire::reservation_record& reserved : budget.reserved()) {
            account.reserved[request_name{reserved.request()}] = reserved.most();
        }
        for (const std::string& request : budget.settled()) {
            account.settled.insert(request_name{request});
        }
    }
    for (const wire::stream_record& record : encoded.streams()) {
        stream_origin& origin =
            state.streams[{organisation_name{record.organisation()}, request_name{record.request()}}];
        origin = from_wire(record.origin());
        origin.keep_until = group_time{record.keep_until_ms()};
    }
    return state;
}

open_request from_wire(const wire::open_turn& message)
{
    return {organisation_name{message.organisation()},
            request_name{message.request()},
            program_name{message.program()},
            message.budget_tokens(),
            message.most_tokens(),
            request_name{message.previous()},
            message.line(),
            message.has_history(),
            message.run_timeout_ms() > 0 ? std::chrono::milliseconds{message.run_timeout_ms()}
                                         : default_run_timeout,
            message.has_origin() ? std::optional{from_wire(message.origin())} : std::nullopt,
            request_name{message.resumes()}};
}

close_request from_wire(const wire::close_turn& message)
{
    return {organisation_name{message.organisation()},
            request_name{message.request()},
            program_name{message.program()},
            message.used_tokens(),
            message.keep(),
            request_name{message.previous()},
            message.upstream(),
            std::chrono::milliseconds{message.retention_ms()},
            message.line()};
}

stream_request from_wire(const wire::record_stream& message)
{
    return {organisation_name{message.organisation()}, request_name{message.request()},
            from_wire(message.origin()), std::chrono::milliseconds{message.run_timeout_ms()}};
}

} // namespace guavawick::turns
