// What a gateway remembers of programs.
#include "gateway/program_memory.hpp"

#include <algorithm>

namespace guavawick::gateway {
namespace {

using namespace std::chrono_literals;

constexpr duration generation_length = 60s; ///< equals the retention of turns on the users' routes

/// Replaces the previous generation by the current one once the current one is old enough.
template <typename Generations>
void rotate(Generations& generations, time_point now)
{
    if (now - generations.rotated_at >= generation_length) {
        generations.previous = std::move(generations.current);
        generations.current.clear();
        generations.rotated_at = now;
    }
}

} // namespace

bool is_recent_program(const recent_programs& programs, std::uint64_t program)
{
    return programs.current.contains(program) || programs.previous.contains(program);
}

void record_program(recent_programs& programs, std::uint64_t program, time_point now)
{
    rotate(programs, now);
    programs.current.insert(program);
}

std::uint64_t known_spent_tokens(const spent_budgets& budgets, std::uint64_t program)
{
    for (const auto* generation : {&budgets.current, &budgets.previous}) {
        const auto found = generation->find(program);
        if (found != generation->end()) {
            return found->second;
        }
    }
    return 0;
}

void record_spent_tokens(spent_budgets& budgets, std::uint64_t program, std::uint64_t tokens, time_point now)
{
    rotate(budgets, now);
    budgets.current[program] = std::max(tokens, known_spent_tokens(budgets, program));
}

void forget_program(recent_programs& programs, std::uint64_t program)
{
    programs.current.erase(program);
    programs.previous.erase(program);
}

} // namespace guavawick::gateway
