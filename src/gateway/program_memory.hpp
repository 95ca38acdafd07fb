// What a gateway remembers of programs: whether it recently admitted a call of theirs, and the tokens that
// they have spent. Pure.
#pragma once

#include "base/clock_type.hpp"

#include <cstdint>
#include <unordered_map>
#include <unordered_set>

namespace guavawick::gateway {

/// Hashes of programs in two generations. When the current one is older than the retention, it becomes the
/// previous one, and the previous one is dropped.
struct recent_programs {
    std::unordered_set<std::uint64_t> current;
    std::unordered_set<std::uint64_t> previous;
    time_point rotated_at{}; ///< when the current generation was started
};

/// @return whether a call of the program was recorded recently. @param program its hash.
bool is_recent_program(const recent_programs& programs, std::uint64_t program);
/// Records that a call of the program was admitted. @param program its hash.
void record_program(recent_programs& programs, std::uint64_t program, time_point now);
/// Removes a program whose first call did not run after all. @param program its hash.
void forget_program(recent_programs& programs, std::uint64_t program);

/// Tokens that programs have spent, as the ledger last reported them, in two generations. A program never
/// spends less later, so a budget that was spent once stays spent.
struct spent_budgets {
    std::unordered_map<std::uint64_t, std::uint64_t> current;
    std::unordered_map<std::uint64_t, std::uint64_t> previous;
    time_point rotated_at{}; ///< when the current generation was started
};

/// @return tokens that a program is known to have spent; 0 if nothing is known. @param program its hash.
std::uint64_t known_spent_tokens(const spent_budgets& budgets, std::uint64_t program);
/// Records the tokens that a program has spent. @param program its hash.
void record_spent_tokens(spent_budgets& budgets, std::uint64_t program, std::uint64_t tokens, time_point now);

} // namespace guavawick::gateway
