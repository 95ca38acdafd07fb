// Encoding of turns for messages and snapshots.
#include "base/failure_type.hpp"
#include "turns/turn_func.hpp"
#include "wire.pb.h"

namespace guavawick::turns {

std::string encode_state(const turn_state& state)
{
    wire::turn_snapshot encoded;
    encoded.set_now_ms(state.now.count());
    for (const auto& [key, one] : state.turns) {
        wire::turn_record* made = encoded.add_turns();
        made->set_organisation(key.organisation.value);
        made->set_request(key.request.value);
        made->set_previous(one.previous.value);
        made->set_input(one.input);
        made->set_output(one.output);
        made->set_upstream(one.upstream);
        made->set_keep_until_ms(one.keep_until.count());
    }
    for (const auto& [key, account] : state.programs) {
        wire::program_budget* made = encoded.add_programs();
        made->set_organisation(key.organisation.value);
        made->set_program(key.program.value);
        made->set_spent(account.spent);
        made->set_used_at_ms(account.used_at.count());
        for (const auto& [request, most] : account.reserved) {
            wire::reservation_record* reserved = made->add_reserved();
            reserved->set_request(request.value);
            reserved->set_most(most);
        }
        for (const auto& [line, upstream] : account.upstream_by_line) {
            wire::line_record* ran = made->add_upstreams();
            ran->set_line(line);
            ran->set_upstream(upstream);
        }
        made->set_last_upstream(account.last_upstream);
        for (const request_name& request : account.settled) {
            made->add_settled(request.value);
        }
    }
    return encoded.SerializeAsString();
}

turn_state decode_state(const std::string& bytes)
{
    wire::turn_snapshot encoded;
    if (!encoded.ParseFromString(bytes)) {
        throw decode_error("a snapshot of turns does not decode");
    }
    turn_state state;
    state.now = group_time{encoded.now_ms()};
    for (const wire::turn_record& one : encoded.turns()) {
        state.turns[{organisation_name{one.organisation()}, request_name{one.request()}}] = {
            request_name{one.previous()}, one.input(), one.output(), one.upstream(),
            group_time{one.keep_until_ms()}};
    }
    for (const wire::program_budget& one : encoded.programs()) {
        program_account& account =
            state.programs[{organisation_name{one.organisation()}, program_name{one.program()}}];
        account.spent = one.spent();
        account.used_at = group_time{one.used_at_ms()};
        for (const wire::line_record& ran : one.upstreams()) {
            account.upstream_by_line[ran.line()] = ran.upstream();
        }
        account.last_upstream = one.last_upstream();
        for (const wire::reservation_record& reserved : one.reserved()) {
            account.reserved[request_name{reserved.request()}] = reserved.most();
        }
        for (const std::string& request : one.settled()) {
            account.settled.insert(request_name{request});
        }
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
            message.has_history()};
}

close_request from_wire(const wire::close_turn& message)
{
    return {organisation_name{message.organisation()},
            request_name{message.request()},
            program_name{message.program()},
            message.used_tokens(),
            message.keep(),
            request_name{message.previous()},
            message.input(),
            message.output(),
            message.upstream(),
            std::chrono::milliseconds{message.retention_ms()},
            message.line()};
}

} // namespace guavawick::turns
