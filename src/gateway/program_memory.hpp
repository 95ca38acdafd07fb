// Programs that an entry has lately served, so that it can tell those that begin. Pure.
#pragma once

#include "base/clock_type.hpp"

#include <cstdint>
#include <unordered_set>

namespace guavawick::gateway {

/// Hashes of programs in two generations; the older one is dropped when the newer one has filled its time.
struct program_memory {
    std::unordered_set<std::uint64_t> recent;
    std::unordered_set<std::uint64_t> before;
    time_point turned_at{}; ///< when the generations last changed
};

/// @return whether the program was noted within the memory.
bool knows(const program_memory& memory, std::uint64_t program);
/// Notes that a call of the program was admitted.
void note(program_memory& memory, std::uint64_t program, time_point now);

} // namespace guavawick::gateway
