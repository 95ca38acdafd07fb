// Commands that open and close calls. Each is checked first, then executed.
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

open_result make_result(open_outcome outcome, const call_state& call)
{
    open_result result;
    result.outcome = outcome;
    result.assignment = call.assignment;
    result.repeatable = call.repeatable;
    return result;
}

/// @return budget_exhausted if the root's budget does not allow one more call, else none.
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

void reserve_budget(program_state& root, call_state& call, std::uint64_t max_tokens)
{
    call.status = call_status::running;
    call.reserved_tokens = max_tokens;
    ++root.calls;
    root.reserved_tokens += max_tokens;
}

/// Replaces a call's reservation by the tokens that it used. Where the usage is not known, the whole
/// reservation counts as used; a call that did not run uses nothing.
void settle_reservation(program_state& root, const call_state& call, const close_request& report)
{
    root.reserved_tokens -= std::min(root.reserved_tokens, call.reserved_tokens);
    if (report.outcome == call_outcome::not_executed) {
        root.calls -= std::min<std::uint64_t>(root.calls, 1);
        return;
    }
    const bool usage_known = report.outcome == call_outcome::done || report.outcome == call_outcome::failed;
    root.tokens += usage_known ? report.prompt_tokens + report.completion_tokens : call.reserved_tokens;
}

call_state make_call(const open_request& request)
{
    call_state call;
    call.request_id = request.request_id;
    call.assignment = request.assignment;
    call.repeatable = request.repeatable;
    call.keep_answer = request.keep_answer;
    call.body = request.body;
    call.reserved_tokens = request.max_tokens;
    call.messages = request.messages;
    return call;
}

/// Answers a resend of a request whose call waits or runs.
open_result answer_open(program_state& program, std::size_t index, const open_request& request)
{
    call_state& call = program.open_calls[index];
    if (call.body != request.body) {
        return refuse(failure::request_mismatch);
    }
    if (call.status == call_status::waiting) {
        call.assignment = request.assignment;
        return make_result(open_outcome::waiting, call);
    }
    if (request.replaces && request.replaces == call.assignment.attempt) {
        call.assignment = request.assignment;
        program.held_by.insert(request.assignment.upstream);
        return grant(program, call);
    }
    if (call.assignment.attempt == request.assignment.attempt) {
        return grant(program, call);
    }
    return make_result(open_outcome::running, call);
}

/// Answers a resend of a request whose call is closed.
open_result answer_closed(const call_state& call, const open_request& request)
{
    if (call.body != request.body) {
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

/// @return the answer if the program already has a call of this request, else nothing.
std::optional<open_result> find_resend(program_state& program, const open_request& request)
{
    for (std::size_t index = 0; index < program.open_calls.size(); ++index) {
        if (program.open_calls[index].request_id == request.request_id) {
            return answer_open(program, index, request);
        }
    }
    for (const call_state& call : program.closed_calls) {
        if (call.request_id == request.request_id) {
            return answer_closed(call, request);
        }
    }
    return std::nullopt;
}

/// Records that the program lives in the shard of its root. An existing alias keeps its root.
open_result open_alias(ledger_state& state, const open_request& request)
{
    if (state.programs.count(request.key) != 0) {
        return refuse(failure::bad_request); // it already lives here as a root
    }
    alias_state& alias = state.aliases[request.key];
    if (alias.root.empty()) {
        alias.root = request.root;
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

void touch_program_and_root(ledger_state& state, program_state& program)
{
    touch_program(state, program);
    program_state* root = find_root(state, program);
    if (root != nullptr && root != &program) {
        touch_program(state, *root);
    }
}

program_state& find_or_create_program(ledger_state& state, const open_request& request)
{
    const auto [found, inserted] = state.programs.try_emplace(request.key);
    program_state& program = found->second; // references into an unordered_map survive rehashing
    if (!inserted) {
        return program;
    }
    program.key = request.key;
    program.parent = request.parent;
    program.root = request.root.empty() ? request.key.program : request.root;
    program.ephemeral = request.ephemeral;
    program.budget = request.budget;
    program.opened_at = state.now;
    if (program.root != request.key.program) {
        state.programs.at({request.key.organisation, program.root}).children.insert(request.key.program);
    }
    return program;
}

/// Takes waiting calls from the head of the queue until one is granted; refuses those that the budget does
/// not allow.
void grant_waiting_calls(ledger_state& state, program_state& program, std::vector<dequeued_call>& dequeued)
{
    while (!program.open_calls.empty() && program.open_calls.front().status == call_status::waiting) {
        call_state& next = program.open_calls.front();
        program_state* root = find_root(state, program);
        const failure error =
            root == nullptr ? failure::program_ended : check_budget(*root, next.reserved_tokens, state.now);
        if (error != failure::none) {
            dequeued.push_back({program.key, next.request_id, refuse(error)});
            program.open_calls.pop_front();
            continue;
        }
        reserve_budget(*root, next, next.reserved_tokens);
        program.held_by.insert(next.assignment.upstream);
        dequeued.push_back({program.key, next.request_id, grant(program, next)});
    }
}

void store_closed_call(program_state& program, call_state call)
{
    program.closed_calls.push_back(std::move(call));
    if (program.closed_calls.size() > max_closed_calls) {
        program.closed_calls.pop_front();
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
    double min_seconds = 0;
    for (std::size_t index = 0; index < choices.size(); ++index) {
        const upstream_choice& choice = choices[index];
        const bool cold = program != nullptr && choice.upstream != program->last_upstream;
        const double prefill = cold ? static_cast<double>(program->history_tokens) /
                                          std::max(1.0, choice.prefill_tokens_per_second)
                                    : 0.0;
        if (!best || choice.seconds + prefill < min_seconds) {
            best = index;
            min_seconds = choice.seconds + prefill;
        }
    }
    return best;
}

open_result open_call(ledger_state& state, const open_request& request)
{
    if (request.alias_only) {
        return open_alias(state, request);
    }
    const auto alias = state.aliases.find(request.key);
    if (alias != state.aliases.end() && request.root.empty()) {
        alias->second.used_at = state.now;
        open_result result;
        result.outcome = open_outcome::moved;
        result.root = alias->second.root;
        return result;
    }
    const bool is_child = !request.root.empty() && request.root != request.key.program;
    if (is_child && state.programs.count({request.key.organisation, request.root}) == 0) {
        return refuse(failure::program_ended);
    }
    program_state& program = find_or_create_program(state, request);
    touch_program_and_root(state, program);
    std::optional<open_result> resend_result = find_resend(program, request);
    if (resend_result) {
        return *resend_result;
    }
    program_state* root = find_root(state, program);
    assert(root != nullptr);
    const bool first = program.open_calls.empty();
    const failure error = check_budget(*root, request.max_tokens, state.now);
    if (first && error != failure::none) {
        return refuse(error);
    }
    program.open_calls.push_back(make_call(request));
    call_state& call = program.open_calls.back();
    if (!first) {
        return make_result(open_outcome::waiting, call);
    }
    reserve_budget(*root, call, request.max_tokens);
    program.held_by.insert(request.assignment.upstream);
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
    const bool running =
        !program.open_calls.empty() && program.open_calls.front().status == call_status::running;
    if (!running || program.open_calls.front().assignment.attempt != report.attempt) {
        result.accepted =
            std::any_of(program.closed_calls.begin(), program.closed_calls.end(),
                        [&](const call_state& call) { return call.assignment.attempt == report.attempt; });
        return result;
    }
    call_state call = std::move(program.open_calls.front());
    program.open_calls.pop_front();
    result.accepted = true;
    program_state* root = find_root(state, program);
    if (root != nullptr) {
        settle_reservation(*root, call, report);
    }
    touch_program_and_root(state, program);
    program.attained_tokens += report.prompt_tokens + report.completion_tokens;
    if (report.outcome == call_outcome::done) {
        program.last_upstream = call.assignment.upstream;
        program.history_tokens = report.prompt_tokens + report.completion_tokens;
        append_history(program, call, report);
    }
    const bool may_run_again =
        report.outcome == call_outcome::not_executed || report.outcome == call_outcome::abandoned;
    if (!may_run_again) {
        call.status = call_status::closed;
        call.outcome = report.outcome;
        call.answer = call.keep_answer ? report.answer : stored_answer{};
        call.messages.clear();
        store_closed_call(program, std::move(call));
    }
    grant_waiting_calls(state, program, result.dequeued);
    if (program.ephemeral && program.open_calls.empty()) {
        erase_program(state, report.key, result.dequeued);
    }
    return result;
}

} // namespace guavawick::ledger
