// Commands that end programs, and the engine memory that has to be freed after them.
#include "base/hash_func.hpp"
#include "ledger/ledger_func.hpp"
#include "ledger/program_func.hpp"

#include <algorithm>

namespace guavawick::ledger {
namespace {

/// Added to the idle limit of a program with an open call, so that a long call is not ended by the idle
/// limit.
constexpr group_time open_call_grace = std::chrono::hours(2);

/// @return whether a call of the program or of one of its sub-agents is open.
bool has_open_calls(const ledger_state& state, const program_state& program)
{
    const auto child_has_open_calls = [&](const program_name& child) {
        const auto found = state.programs.find({program.key.organisation, child});
        return found != state.programs.end() && !found->second.open_calls.empty();
    };
    return !program.open_calls.empty() ||
           std::any_of(program.children.begin(), program.children.end(), child_has_open_calls);
}

group_time compute_expiry(const ledger_state& state, const program_state& program)
{
    const std::uint64_t limit =
        program.budget.idle_seconds != 0 ? program.budget.idle_seconds : default_idle_seconds;
    const group_time idle = std::chrono::seconds(limit);
    return program.used_at + idle + (has_open_calls(state, program) ? open_call_grace : group_time{});
}

void erase_expiry(ledger_state& state, const program_state& program)
{
    // An entry that expire_programs moved by open_call_grace is not found here and stays. That is harmless:
    // expire_programs computes the expiry again when an entry is due.
    const std::uint64_t limit =
        program.budget.idle_seconds != 0 ? program.budget.idle_seconds : default_idle_seconds;
    const group_time expiry = program.used_at + std::chrono::seconds(limit);
    state.expiries.erase({expiry, program.key});
}

constexpr group_time alias_idle_timeout = std::chrono::hours(24); ///< unused aliases are dropped after this
constexpr group_time alias_check_interval = std::chrono::minutes(1); ///< between two checks

void drop_unused_aliases(ledger_state& state)
{
    if (state.now < state.aliases_checked_at + alias_check_interval) {
        return;
    }
    state.aliases_checked_at = state.now;
    std::erase_if(state.aliases,
                  [&](const auto& alias) { return alias.second.used_at + alias_idle_timeout < state.now; });
}

} // namespace

void touch_program(ledger_state& state, program_state& program)
{
    erase_expiry(state, program);
    program.used_at = state.now;
    const std::uint64_t limit =
        program.budget.idle_seconds != 0 ? program.budget.idle_seconds : default_idle_seconds;
    state.expiries.insert({program.used_at + std::chrono::seconds(limit), program.key});
}

void erase_program(ledger_state& state, const program_key& key, std::vector<dequeued_call>& refused)
{
    const auto found = state.programs.find(key);
    if (found == state.programs.end()) {
        return;
    }
    program_state& program = found->second;
    for (const call_state& call : program.open_calls) {
        if (call.status == call_status::waiting) {
            open_result result;
            result.error = failure::program_ended;
            refused.push_back({key, call.request_id, result});
        }
    }
    erase_expiry(state, program);
    const auto root = state.programs.find({key.organisation, program.root});
    if (root != state.programs.end()) {
        root->second.children.erase(key.program);
    }
    // The sidecar frees the memory of an ephemeral program without being asked.
    if (!program.held_by.empty() && !program.ephemeral) {
        state.memory_to_free[key].insert(program.held_by.begin(), program.held_by.end());
    }
    state.programs.erase(found);
}

bool end_program(ledger_state& state, const program_key& key, std::vector<dequeued_call>& refused)
{
    const auto found = state.programs.find(key);
    if (found == state.programs.end()) {
        return state.aliases.erase(key) != 0;
    }
    const std::set<program_name> children = found->second.children;
    for (const program_name& child : children) {
        erase_program(state, {key.organisation, child}, refused);
    }
    erase_program(state, key, refused);
    return true;
}

bool has_expired(const ledger_state& state)
{
    return !state.expiries.empty() && state.expiries.begin()->first <= state.now;
}

void expire_programs(ledger_state& state, std::vector<dequeued_call>& refused)
{
    while (has_expired(state)) {
        const program_key key = state.expiries.begin()->second;
        state.expiries.erase(state.expiries.begin());
        const auto found = state.programs.find(key);
        if (found == state.programs.end()) {
            continue;
        }
        const group_time expiry = compute_expiry(state, found->second);
        if (expiry > state.now) {
            state.expiries.insert({expiry, key});
            continue;
        }
        end_program(state, key, refused);
    }
    drop_unused_aliases(state);
}

void withdraw_organisation(ledger_state& state, const organisation_name& organisation,
                           std::vector<dequeued_call>& refused)
{
    std::vector<program_key> ended;
    for (const auto& [key, program] : state.programs) {
        if (key.organisation == organisation) {
            ended.push_back(key);
        }
    }
    for (const program_key& key : ended) {
        erase_program(state, key, refused);
    }
    std::erase_if(state.aliases, [&](const auto& alias) { return alias.first.organisation == organisation; });
}

void record_memory_freed(ledger_state& state, const program_key& key, const upstream_name& upstream)
{
    const auto found = state.memory_to_free.find(key);
    if (found == state.memory_to_free.end()) {
        return;
    }
    found->second.erase(upstream);
    if (found->second.empty()) {
        state.memory_to_free.erase(found);
    }
}

void record_upstream_lost(ledger_state& state, const upstream_name& upstream)
{
    for (auto entry = state.memory_to_free.begin(); entry != state.memory_to_free.end();) {
        entry->second.erase(upstream);
        entry = entry->second.empty() ? state.memory_to_free.erase(entry) : std::next(entry);
    }
    for (auto& [key, program] : state.programs) {
        program.held_by.erase(upstream);
    }
}

const program_state* find_program(const ledger_state& state, const program_key& key)
{
    const auto found = state.programs.find(key);
    return found == state.programs.end() ? nullptr : &found->second;
}

std::optional<program_name> find_alias(const ledger_state& state, const program_key& key)
{
    const auto found = state.aliases.find(key);
    if (found == state.aliases.end()) {
        return std::nullopt;
    }
    return found->second.root;
}

std::uint32_t shard_of(const organisation_name& organisation, const program_name& root, std::uint32_t shards)
{
    return static_cast<std::uint32_t>(hash_bytes(root.value, hash_bytes(organisation.value)) % shards);
}

void advance_time(ledger_state& state, group_time now)
{
    state.now = std::max(state.now, now);
}

} // namespace guavawick::ledger
