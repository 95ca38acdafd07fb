// Commands that end programs, and the engine memory that they leave behind.
#include "base/hash_func.hpp"
#include "ledger/ledger_func.hpp"
#include "ledger/program_func.hpp"

namespace guavawick::ledger {
namespace {

/// A program with an open call lapses later, so that a long run is never cut by its own idle limit.
constexpr group_time open_call_grace = std::chrono::hours(2);

group_time expiry_of(const program_state& program)
{
    const std::uint64_t limit =
        program.budget.idle_seconds != 0 ? program.budget.idle_seconds : default_idle_seconds;
    const group_time idle = std::chrono::seconds(limit);
    return program.used_at + idle + (program.open.empty() ? group_time{} : open_call_grace);
}

void erase_expiry(ledger_state& state, const program_state& program)
{
    // The call may have opened or closed since the expiry was set, so both forms are looked for.
    const std::uint64_t limit =
        program.budget.idle_seconds != 0 ? program.budget.idle_seconds : default_idle_seconds;
    const group_time at = program.used_at + std::chrono::seconds(limit);
    state.expiries.erase({at, program.key});
}

constexpr group_time alias_limit = std::chrono::hours(24);  ///< an unused alias is dropped after this
constexpr group_time alias_check = std::chrono::minutes(1); ///< how often aliases are looked through

void drop_aliases(ledger_state& state)
{
    if (state.now < state.aliases_checked_at + alias_check) {
        return;
    }
    state.aliases_checked_at = state.now;
    std::erase_if(state.aliases,
                  [&](const auto& item) { return item.second.used_at + alias_limit < state.now; });
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
    for (const call_state& call : program.open) {
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
    // A sidecar frees the memory of an ephemeral program by itself.
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
        const group_time due = expiry_of(found->second);
        if (due > state.now) {
            state.expiries.insert({due, key});
            continue;
        }
        end_program(state, key, refused);
    }
    drop_aliases(state);
}

void withdraw_organisation(ledger_state& state, const organisation_name& who,
                           std::vector<dequeued_call>& refused)
{
    std::vector<program_key> gone;
    for (const auto& [key, program] : state.programs) {
        if (key.organisation == who) {
            gone.push_back(key);
        }
    }
    for (const program_key& key : gone) {
        erase_program(state, key, refused);
    }
    std::erase_if(state.aliases, [&](const auto& item) { return item.first.organisation == who; });
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
