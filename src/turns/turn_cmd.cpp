// Commands on turns: checked, then executed.
#include "turns/turn_func.hpp"

#include <algorithm>

namespace guavawick::turns {
namespace {

std::uint64_t reserved_tokens(const program_account& account)
{
    std::uint64_t sum = 0;
    for (const auto& [request, most] : account.reserved) {
        sum += most;
    }
    return sum;
}

/// Collects a chain's bytes, oldest turn first. @param into nullptr: only checks that no turn is missing.
/// @return false if a turn is missing.
bool collect_history(const turn_state& state, const organisation_name& who, const request_name& last,
                     std::string* into)
{
    std::vector<const turn*> chain;
    request_name next = last;
    while (!next.empty() && chain.size() < max_chain_length) {
        const auto found = state.turns.find({who, next});
        if (found == state.turns.end()) {
            return false;
        }
        chain.push_back(&found->second);
        next = found->second.previous;
    }
    for (auto one = chain.rbegin(); into != nullptr && one != chain.rend(); ++one) {
        *into += (*one)->input;
        *into += (*one)->output;
    }
    return true;
}

/// A turn is kept as long as any that continues from it.
void extend_chain(turn_state& state, const organisation_name& who, request_name next, group_time until)
{
    for (std::size_t steps = 0; !next.empty() && steps < max_chain_length; ++steps) {
        const auto found = state.turns.find({who, next});
        if (found == state.turns.end()) {
            return;
        }
        found->second.keep_until = std::max(found->second.keep_until, until);
        next = found->second.previous;
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
    std::erase_if(state.turns, [&](const auto& one) { return one.second.keep_until < state.now; });
    std::erase_if(state.programs,
                  [&](const auto& one) { return one.second.used_at + account_retention < state.now; });
}

open_result open_turn(turn_state& state, const open_request& wish)
{
    open_result answer;
    if (!wish.previous.empty()) {
        const auto previous = state.turns.find({wish.organisation, wish.previous});
        if (previous == state.turns.end() || !collect_history(state, wish.organisation, wish.previous,
                                                              wish.has_history ? nullptr : &answer.history)) {
            answer.outcome = open_outcome::unknown_turn;
            return answer;
        }
        answer.upstream = previous->second.upstream;
    }
    if (wish.program.empty() || wish.budget_tokens == 0) {
        return answer;
    }
    program_account& account = state.programs[{wish.organisation, wish.program}];
    account.used_at = state.now;
    // The prompt of a new line begins with that of the line that it was started from.
    const auto line = account.upstream_by_line.find(wish.line);
    if (line != account.upstream_by_line.end()) {
        answer.upstream = line->second;
    }
    else if (answer.upstream.empty()) {
        answer.upstream = account.last_upstream;
    }
    answer.spent = account.spent;
    answer.reserved = reserved_tokens(account);
    if (account.reserved.contains(wish.request)) {
        return answer;
    }
    if (account.spent + answer.reserved >= wish.budget_tokens) {
        answer.outcome = open_outcome::budget_spent;
        answer.history.clear();
        return answer;
    }
    if (!account.settled.contains(wish.request)) {
        account.reserved[wish.request] = wish.max_tokens;
    }
    return answer;
}

void close_turn(turn_state& state, const close_request& ended)
{
    if (!ended.program.empty()) {
        program_account& account = state.programs[{ended.organisation, ended.program}];
        account.used_at = state.now;
        if (account.settled.insert(ended.request).second) {
            account.spent += ended.used_tokens;
        }
        account.reserved.erase(ended.request);
        if (!ended.upstream.empty() && ended.used_tokens > 0) {
            account.upstream_by_line[ended.line] = ended.upstream;
            account.last_upstream = ended.upstream;
        }
    }
    if (!ended.keep) {
        return;
    }
    const group_time until = state.now + ended.retention + retention_slack;
    const auto [kept, fresh] = state.turns.try_emplace({ended.organisation, ended.request});
    if (fresh) {
        kept->second = {ended.previous, ended.input, ended.output, ended.upstream, until};
        extend_chain(state, ended.organisation, ended.previous, until);
    }
}

} // namespace guavawick::turns
