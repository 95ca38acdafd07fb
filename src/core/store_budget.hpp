// Limits of a store's memory and disk: when it stops to admit turns. No I/O.
//
// Load that it answers: retained turns grow with the load times their retention. A store that is killed for
// its memory, or whose disk is full, takes its groups' retained turns out of service; one that refuses new
// turns still serves those that it has.
#pragma once

#include <cstdint>

namespace guavawick::core {

/// What a store process uses and what it may use, in bytes. A limit of 0 is unknown and never reached.
struct store_usage {
    std::uint64_t memory = 0;
    std::uint64_t memory_limit = 0;
    std::uint64_t disk = 0;
    std::uint64_t disk_limit = 0;
};

/// What a store does at its usage. Each level includes those before it.
enum class store_pressure : std::uint8_t {
    none,           ///< nothing
    returns_memory, ///< free heap goes back to the system
    refuses_turns,  ///< new turns are refused at once and not run; admitted turns are still closed
};

constexpr double memory_return_share = 0.70; ///< of the limit, from which free memory is returned
constexpr double refusal_share = 0.85;       ///< of a limit, from which turns are refused
constexpr double admission_share = 0.75;     ///< of each limit, below which turns are admitted again

/// @param current the present level. @return the level at a usage. Thread safety: any thread.
store_pressure next_pressure(const store_usage& usage, store_pressure current);

} // namespace guavawick::core
