// Selection of an upstream instance for a call of any kind, from the load that this gateway knows. Pure
// functions.
#pragma once

#include "placing/placing_type.hpp"

namespace guavawick::placing {

/// Chooses the instance with the lowest estimated cost. Choosing a cold instance consumes one of its cold
/// tokens. @pre request.cached_tokens is empty or has an element for each candidate.
/// @return an index into the candidates, or -1 if no candidate may take the call.
int choose_instance(std::vector<candidate>& candidates, const placement_request& request,
                    const placement_costs& costs, time_point now);
/// Estimates the cost of running a call at an instance: its expected delay in milliseconds, without the parts
/// that are the same at every instance.
/// @param uncached_tokens prompt tokens that the instance has to read.
/// @param typical replaces outdated reports with features.learned_load.
double estimate_cost(const candidate& instance, const placement_request& request,
                     const placement_costs& costs, std::uint64_t uncached_tokens, const typical_load& typical,
                     time_point now);
/// @return the load assumed at an instance that was not heard from: a share of the mean of the candidates'
/// reports, weighted by their age.
typical_load estimate_typical_load(const std::vector<candidate>& candidates, const placement_costs& costs,
                                   time_point now);
/// Records that an instance did not respond. The instance is suspected for longer with each consecutive
/// failure.
void record_failure(instance_load& load, time_point now);
/// Records that a call exceeded the suspicion timeout. The instance is avoided until it responds, except for
/// an occasional call that probes it.
void record_silence(instance_load& load, time_point now);
/// Records a response and ends the suspicion of its instance.
/// @param failed whether the response was a failure of the instance itself.
void record_response(instance_load& load, bool failed, time_point now);
/// @return the share of recent responses that were failures. It decays over time, so that the instance is
/// tried again.
double recent_error_rate(const instance_load& load, time_point now);
/// @return how long a call may go without output before its instance is suspected.
/// @param objective latency objective for the start of the response; zero if there is none.
duration suspicion_timeout(duration objective);

} // namespace guavawick::placing
