// Programs of which a gateway recently admitted a call; used to recognise the first call of a program. Pure.
#pragma once

#include "base/clock_type.hpp"

#include <cstdint>
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

} // namespace guavawick::gateway
