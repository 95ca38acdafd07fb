// Urgency of calls. Pure functions; thread safety: any thread.
#pragma once

#include "queueing/urgency_type.hpp"

namespace guavawick::queueing {

constexpr std::uint32_t levels_per_class = 3; ///< priorities that are told apart within a class
constexpr std::uint32_t max_engine_priority = 9;

/// @return the class of a call. A program whose objective passes before this turn can end is late, also at
/// its first turn.
urgency_class classify(const urgency_inputs& inputs);
/// @return the priority at the engine, 0 (first) to 8. It orders calls by class, then by route or
/// organisation priority. Lower priorities than the third share a level.
std::uint32_t engine_priority(const urgency_inputs& inputs);

} // namespace guavawick::queueing
