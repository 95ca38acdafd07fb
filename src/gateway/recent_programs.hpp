// Programs that an entry has lately served, so that it can tell those that begin. Pure.
#pragma once

#include "base/clock_type.hpp"

#include <cstdint>
#include <unordered_set>

namespace guavawick::gateway {

/// Hashes of programs in two generations; the older one is dropped when the newer one has filled its time.
struct recent_programs {
    std::unordered_set<std::uint64_t> recent;
    std::unordered_set<std::uint64_t> before;
    time_point turned_at{}; ///< when the generations last changed
};

/// @return whether the program was noted within the memory.
bool is_recent_program(const recent_programs& memory, std::uint64_t program);
/// Notes that a call of the program was admitted.
void record_program(recent_programs& memory, std::uint64_t program, time_point now);

} // namespace guavawick::gateway
