// Commands that open and close calls: each is checked first, then executed.
#include "ledger/ledger_func.hpp"
#include "ledger/program_func.hpp"

#include <algorithm>
#include <cassert>

namespace guavawick::ledger {
namespace {

open_result refuse(failure error)
{
    open_result result;
    result.outcome = open_outcome::refused;
    result.error = error;
    return result;
}

open_result grant(const program_state& program, const call_state& call)
{
    open_result result;
    result.outcome = open_outcome::granted;
    result.assignment = call.assignment;
    result.repeatable = call.repeatable;
    result.history = program.history;
    result.attained_tokens = program.attained_tokens;
    return result;
}

open_result with_claim(open_outcome outcome, const call_state& call)
{
    open_result result;
    result.outcome = outcome;
    result.assignment = call.assignment;
    result.repeatable = call.repeatable;
    return result;
}

/// @return why the budget does not bear one more call, or none.
failure check_budget(const program_state& root, std::uint64_t max_tokens, group_time now)
{
    const budget_limits& limits = root.budget;
    const bool calls_spent = limits.calls != 0 && root.calls + 1 > limits.calls;
    const bool tokens_spent =
        limits.tokens != 0 && root.tokens + root.reserved_tokens + max_tokens > limits.tokens;
    const bool time_spent =
        limits.seconds != 0 && now - root.opened_at >= std::chrono::seconds(limits.seconds);
    return calls_spent || tokens_spent || time_spent ? failure::budget_exhausted : failure::none;
}

void reserve(program_state& root, call_state& call, std::uint64_t max_tokens)
{
    call.status = call_status::running;
    call.reserved_tokens = max_tokens;
    ++root.calls;
    root.reserved_tokens += max_tokens;
}

/// Gives a reservation back; what an unknown outcome reserved stays spent.
void settle_reservation(program_state& root, const call_state& call, const close_request& report)
{
    root.reserved_tokens -= std::min(root.reserved_tokens, call.reserved_tokens);
    if (report.outcome == call_outcome::not_run) {
        root.calls -= std::min<std::uint64_t>(root.calls, 1);
        return;
    }
    const bool measured = report.outcome == call_outcome::done || report.outcome == call_outcome::failed;
    root.tokens += measured ? report.prompt_tokens + report.completion_tokens : call.reserved_tokens;
}

call_state make_call(const open_request& wish)
{
    call_state call;
    call.request_id = wish.request_id;
    call.assignment = wish.assignment;
    call.repeatable = wish.repeatable;
    call.keep_answer = wish.keep_answer;
    call.body = wish.body;
    call.reserved_tokens = wish.max_tokens;
    call.messages = wish.messages;
    return call;
}

/// The same request again while it waits or runs.
open_result reopen(program_state& program, std::size_t place, const open_request& wish)
{
    call_state& call = program.open[place];
    if (call.body != wish.body) {
        return refuse(failure::request_mismatch);
    }
    if (call.status == call_status::waiting) {
        call.assignment = wish.assignment;
        return with_claim(open_outcome::waiting, call);
    }
    if (wish.replaces && wish.replaces == call.assignment.attempt) {
        call.assignment = wish.assignment;
        program.held_by.insert(wish.assignment.upstream);
        return grant(program, call);
    }
    if (call.assignment.attempt == wish.assignment.attempt) {
        return grant(program, call);
    }
    return with_claim(open_outcome::running, call);
}

open_result answer_closed(const call_state& call, const open_request& wish)
{
    if (call.body != wish.body) {
        return refuse(failure::request_mismatch);
    }
    if (call.outcome == call_outcome::unknown) {
        return refuse(failure::outcome_unknown);
    }
    open_result result;
    result.outcome = open_outcome::stored;
    result.answer = call.answer;
    return result;
}

std::optional<open_result> find_earlier(program_state& program, const open_request& wish)
{
    for (std::size_t place = 0; place < program.open.size(); ++place) {
        if (program.open[place].request_id == wish.request_id) {
            return reopen(program, place, wish);
        }
    }
    for (const call_state& call : program.closed) {
        if (call.request_id == wish.request_id) {
            return answer_closed(call, wish);
        }
    }
    return std::nullopt;
}

open_result open_alias(ledger_state& state, const open_request& wish)
{
    if (state.programs.count(wish.key) != 0) {
        return refuse(failure::bad_request); // it already is a root of its own
    }
    alias_state& alias = state.aliases[wish.key];
    if (alias.root.empty()) {
        alias.root = wish.root;
    }
    alias.used_at = state.now;
    open_result result;
    result.outcome = open_outcome::moved;
    result.root = alias.root;
    return result;
}

program_state* find_root(ledger_state& state, const program_state& program)
{
    const auto found = state.programs.find({program.key.organisation, program.root});
    return found == state.programs.end() ? nullptr : &found->second;
}

void touch_family(ledger_state& state, program_state& program)
{
    touch_program(state, program);
    program_state* root = find_root(state, program);
    if (root != nullptr && root != &program) {
        touch_program(state, *root);
    }
}

program_state& find_or_create(ledger_state& state, const open_request& wish)
{
    const auto [found, inserted] = state.programs.try_emplace(wish.key);
    program_state& program = found->second; // nodes of the table do not move
    if (!inserted) {
        return program;
    }
    program.key = wish.key;
    program.parent = wish.parent;
    program.root = wish.root.empty() ? wish.key.program : wish.root;
    program.ephemeral = wish.ephemeral;
    program.budget = wish.budget;
    program.opened_at = state.now;
    if (program.root != wish.key.program) {
        state.programs.at({wish.key.organisation, program.root}).children.insert(wish.key.program);
    }
    return program;
}

/// Lets the next waiting calls through until one runs.
void promote_next(ledger_state& state, program_state& program, std::vector<dequeued_call>& dequeued)
{
    while (!program.open.empty() && program.open.front().status == call_status::waiting) {
        call_state& next = program.open.front();
        program_state* root = find_root(state, program);
        const failure error =
            root == nullptr ? failure::program_ended : check_budget(*root, next.reserved_tokens, state.now);
        if (error != failure::none) {
            dequeued.push_back({program.key, next.request_id, refuse(error)});
            program.open.pop_front();
            continue;
        }
        reserve(*root, next, next.reserved_tokens);
        program.held_by.insert(next.assignment.upstream);
        dequeued.push_back({program.key, next.request_id, grant(program, next)});
    }
}

void remember_closed(program_state& program, call_state call)
{
    program.closed.push_back(std::move(call));
    if (program.closed.size() > max_closed_calls) {
        program.closed.pop_front();
    }
}

void append_history(program_state& program, const call_state& call, const close_request& report)
{
    program.history.insert(program.history.end(), call.messages.begin(), call.messages.end());
    program.history.insert(program.history.end(), report.messages.begin(), report.messages.end());
}

} // namespace

std::optional<std::size_t> choose_upstream(const program_state* program,
                                           const std::vector<upstream_choice>& choices)
{
    std::optional<std::size_t> best;
    double least = 0;
    for (std::size_t place = 0; place < choices.size(); ++place) {
        const upstream_choice& there = choices[place];
        const bool cold = program != nullptr && there.upstream != program->last_upstream;
        const double prefill = cold ? static_cast<double>(program->history_tokens) /
                                          std::max(1.0, there.prefill_tokens_per_second)
                                    : 0.0;
        if (!best || there.seconds + prefill < least) {
            best = place;
            least = there.seconds + prefill;
        }
    }
    return best;
}

open_result open_call(ledger_state& state, const open_request& wish)
{
    if (wish.alias_only) {
        return open_alias(state, wish);
    }
    const auto alias = state.aliases.find(wish.key);
    if (alias != state.aliases.end() && wish.root.empty()) {
        alias->second.used_at = state.now;
        open_result result;
        result.outcome = open_outcome::moved;
        result.root = alias->second.root;
        return result;
    }
    const bool is_child = !wish.root.empty() && wish.root != wish.key.program;
    if (is_child && state.programs.count({wish.key.organisation, wish.root}) == 0) {
        return refuse(failure::program_ended);
    }
    program_state& program = find_or_create(state, wish);
    touch_family(state, program);
    std::optional<open_result> earlier = find_earlier(program, wish);
    if (earlier) {
        return *earlier;
    }
    program_state* root = find_root(state, program);
    assert(root != nullptr);
    const bool first = program.open.empty();
    const failure error = check_budget(*root, wish.max_tokens, state.now);
    if (first && error != failure::none) {
        return refuse(error);
    }
    program.open.push_back(make_call(wish));
    call_state& call = program.open.back();
    if (!first) {
        return with_claim(open_outcome::waiting, call);
    }
    reserve(*root, call, wish.max_tokens);
    program.held_by.insert(wish.assignment.upstream);
    return grant(program, call);
}

close_result close_call(ledger_state& state, const close_request& report)
{
    close_result result;
    const auto found = state.programs.find(report.key);
    if (found == state.programs.end()) {
        return result;
    }
    program_state& program = found->second;
    const bool running = !program.open.empty() && program.open.front().status == call_status::running;
    if (!running || program.open.front().assignment.attempt != report.attempt) {
        result.accepted =
            std::any_of(program.closed.begin(), program.closed.end(),
                        [&](const call_state& call) { return call.assignment.attempt == report.attempt; });
        return result;
    }
    call_state call = std::move(program.open.front());
    program.open.pop_front();
    result.accepted = true;
    program_state* root = find_root(state, program);
    if (root != nullptr) {
        settle_reservation(*root, call, report);
    }
    touch_family(state, program);
    program.attained_tokens += report.prompt_tokens + report.completion_tokens;
    if (report.outcome == call_outcome::done) {
        program.last_upstream = call.assignment.upstream;
        program.history_tokens = report.prompt_tokens + report.completion_tokens;
        append_history(program, call, report);
    }
    const bool may_run_again =
        report.outcome == call_outcome::not_run || report.outcome == call_outcome::abandoned;
    if (!may_run_again) {
        call.status = call_status::closed;
        call.outcome = report.outcome;
        call.answer = call.keep_answer ? report.answer : stored_answer{};
        call.messages.clear();
        remember_closed(program, std::move(call));
    }
    promote_next(state, program, result.dequeued);
    if (program.ephemeral && program.open.empty()) {
        erase_program(state, report.key, result.dequeued);
    }
    return result;
}

} // namespace guavawick::ledger
