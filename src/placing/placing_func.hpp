// The choice of an upstream instance. Pure; answers the load of a whole entry, calls of all kinds mixed.
#pragma once

#include "placing/placing_type.hpp"

namespace guavawick::placing {

/// Chooses the instance where the call should end soonest.
/// @return an index into the candidates, or -1 if none may get
/// the call. A chosen cold instance is charged for it.
int choose(std::vector<candidate>& candidates, const placement_wish& wish, const placement_costs& costs,
           time_point now);
/// @return milliseconds until the call would end there, beyond what is the same everywhere.
double estimate_cost(const candidate& one, const placement_wish& wish, const placement_costs& costs,
                     bool preferred, time_point now);
/// Notes that an instance did not answer. Avoided for longer the more often it fails in a row.
void note_failure(instance_load& load, time_point now);
/// Notes an answer.
void note_success(instance_load& load);

} // namespace guavawick::placing
