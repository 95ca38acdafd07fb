// The choice of an upstream instance. Pure; answers the load of a whole entry, calls of all kinds mixed.
#pragma once

#include "placing/placing_type.hpp"

namespace guavawick::placing {

/// Chooses the instance where the call should end soonest.
/// @return an index into the candidates, or -1 if none may get
/// the call. A chosen cold instance is charged for it.
int choose_instance(std::vector<candidate>& candidates, const placement_request& wish,
                    const placement_costs& costs, time_point now);
/// @return milliseconds until the call would end there, beyond what is the same everywhere.
double estimate_cost(const candidate& one, const placement_request& wish, const placement_costs& costs,
                     bool preferred, time_point now);
/// Notes that an instance did not answer. Avoided for longer the more often it fails in a row.
void record_failure(instance_load& load, time_point now);
/// Notes that an instance has been silent on a call for longer than it should; it is avoided until it
/// answers, but for a try now and then.
void record_silence(instance_load& load, time_point now);
/// Notes an answer. @param failed it was a failure of the instance's own.
void record_answer(instance_load& load, bool failed, time_point now);
/// @return the share of recent answers that were failures; it fades, so that the instance is tried again.
double recent_error_rate(const instance_load& load, time_point now);
/// @return how long a call may be silent before its instance is suspected. @param objective time in which the
/// answer should begin; zero if none is known.
duration suspicion_timeout(duration objective);

} // namespace guavawick::placing
