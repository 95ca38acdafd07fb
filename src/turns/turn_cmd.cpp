// Execution of the committed commands that open and close turns.
#include "turns/turn_func.hpp"

#include <algorithm>

namespace guavawick::turns {
namespace {

std::uint64_t reserved_tokens(const program_account& account)
{
    std::uint64_t sum = 0;
    for (const auto& [request, max_tokens] : account.reserved) {
        sum += max_tokens;
    }
    return sum;
}

/// @return the first turn of a chain that is not stored, searching from its newest one; empty if all are.
/// @param history receives the contents of the chain, oldest first; may be nullptr.
request_name find_missing_turn(const turn_state& state, const organisation_name& organisation,
                               const request_name& last, std::vector<content_range>* history)
{
    std::vector<content_range> chain;
    request_name current = last;
    while (!current.empty() && chain.size() < max_chain_length) {
        const auto found = state.turns.find({organisation, current});
        if (found == state.turns.end()) {
            return current;
        }
        chain.push_back(found->second.content);
        current = found->second.previous;
    }
    if (history != nullptr) {
        history->assign(chain.rbegin(), chain.rend());
    }
    return {};
}

/// Extends the retention of a chain of turns, so that a turn is kept as long as any turn that continues from
/// it.
void extend_chain(turn_state& state, const organisation_name& organisation, request_name current,
                  group_time keep_until)
{
    for (std::size_t chain_length = 0; !current.empty() && chain_length < max_chain_length; ++chain_length) {
        const auto found = state.turns.find({organisation, current});
        if (found == state.turns.end()) {
            return;
        }
        found->second.keep_until = std::max(found->second.keep_until, keep_until);
        current = found->second.previous;
    }
}

} // namespace

void advance_time(turn_state& state, group_time now)
{
    const group_time before = state.now;
    state.now = std::max(state.now, now);
    if (state.now / sweep_interval == before / sweep_interval) {
        return;
    }
    std::erase_if(state.turns, [&](const auto& entry) { return entry.second.keep_until < state.now; });
    std::erase_if(state.streams, [&](const auto& entry) { return entry.second.keep_until < state.now; });
    std::erase_if(state.programs, [&](const auto& entry) {
        const program_account& account = entry.second;
        return account.used_at + account_retention < state.now && account.keep_until < state.now;
    });
}

void record_stream(turn_state& state, const stream_request& request)
{
    const auto [known, is_new] =
        state.streams.try_emplace({request.organisation, request.request}, request.origin);
    if (!is_new && known->second.attempt > request.origin.attempt) {
        return;
    }
    const group_time keep_until = state.now + request.run_timeout + retention_slack;
    const group_time kept_until = is_new ? keep_until : known->second.keep_until;
    known->second = request.origin;
    known->second.keep_until = std::max(keep_until, kept_until);
}

open_result open_turn(turn_state& state, const open_request& request)
{
    open_result result;
    const group_time run_until = state.now + request.run_timeout + retention_slack;
    const auto taken_up = request.resumes.empty()
                              ? state.streams.end()
                              : state.streams.find({request.organisation, request.resumes});
    if (taken_up != state.streams.end()) {
        taken_up->second.keep_until = std::max(taken_up->second.keep_until, run_until);
        result.origin = taken_up->second;
    }
    if (request.origin) {
        record_stream(state, {request.organisation, request.request, *request.origin, request.run_timeout});
    }
    if (!request.previous.empty()) {
        result.missing = find_missing_turn(state, request.organisation, request.previous,
                                           request.has_history ? nullptr : &result.history);
        if (!result.missing.empty()) {
            result.outcome = open_outcome::unknown_turn;
            return result;
        }
        result.upstream = state.turns.at({request.organisation, request.previous}).upstream;
        extend_chain(state, request.organisation, request.previous, run_until);
    }
    if (request.program.empty() || request.budget_tokens == 0) {
        return result;
    }
    program_account& account = state.programs[{request.organisation, request.program}];
    account.used_at = state.now;
    account.keep_until = std::max(account.keep_until, run_until);
    // A new line may run where the program ran last: its prompt begins with that of the line that started it.
    const auto line_upstream = account.upstream_by_line.find(request.line);
    if (line_upstream != account.upstream_by_line.end()) {
        result.upstream = line_upstream->second;
    }
    else if (result.upstream.empty()) {
        result.upstream = account.last_upstream;
    }
    result.spent = account.spent;
    result.reserved = reserved_tokens(account);
    if (account.settled.contains(request.request)) {
        result.outcome = open_outcome::closed;
        result.history.clear();
        return result;
    }
    if (account.reserved.contains(request.request)) {
        return result;
    }
    if (account.spent + result.reserved >= request.budget_tokens) {
        result.outcome = open_outcome::budget_spent;
        result.history.clear();
        return result;
    }
    account.reserved[request.request] = request.max_tokens;
    return result;
}

std::vector<content_range> find_history(const turn_state& state, const turn_key& last)
{
    std::vector<content_range> history;
    find_missing_turn(state, last.organisation, last.request, &history);
    return history;
}

std::vector<content_range> select_part(const std::vector<content_range>& history, std::size_t first,
                                       std::uint64_t max_bytes)
{
    std::vector<content_range> part;
    std::uint64_t bytes = 0;
    for (std::size_t i = first; i < history.size(); ++i) {
        bytes += history[i].size;
        if (!part.empty() && bytes > max_bytes) {
            break;
        }
        part.push_back(history[i]);
    }
    return part;
}

bool stores_content(const turn_state& state, const close_request& request)
{
    return request.keep && !state.turns.contains({request.organisation, request.request}) &&
           find_missing_turn(state, request.organisation, request.previous, nullptr).empty();
}

close_result close_turn(turn_state& state, const close_request& request, const content_range& content)
{
    const group_time keep_until = state.now + request.retention + retention_slack;
    if (!request.program.empty()) {
        program_account& account = state.programs[{request.organisation, request.program}];
        account.used_at = state.now;
        if (request.keep) { // the program may continue from the turn for as long as it is stored
            account.keep_until = std::max(account.keep_until, keep_until);
        }
        if (account.settled.insert(request.request).second) {
            account.spent += request.used_tokens;
        }
        account.reserved.erase(request.request);
        if (!request.upstream.empty() && request.used_tokens > 0) {
            account.upstream_by_line[request.line] = request.upstream;
            account.last_upstream = request.upstream;
        }
    }
    const turn_key key{request.organisation, request.request};
    if (!request.keep || state.turns.contains(key)) {
        return {};
    }
    const request_name missing = find_missing_turn(state, request.organisation, request.previous, nullptr);
    if (!missing.empty()) {
        return {false, missing};
    }
    state.turns[key] = {request.previous, content, request.upstream, keep_until};
    extend_chain(state, request.organisation, request.previous, keep_until);
    return {};
}

} // namespace guavawick::turns
