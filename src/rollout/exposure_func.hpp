// Use of lent exposure by a gateway. Free functions over plain structs; time is an argument.
#pragma once

#include "rollout/rollout_type.hpp"

namespace guavawick::rollout {

/// Limits of one gateway on the calls that an unproven version gets.
struct exposure_limits {
    double share = 0;  ///< of the gateway's calls of the service
    double calls = 0;  ///< further calls of this gateway
    duration length{}; ///< from the request of the rollout to its deadline
};

/// Exposure that a gateway has used.
struct exposure_use {
    std::uint64_t calls = 0;               ///< placed calls of the service
    std::uint64_t exposed = 0;             ///< of those, placed at the target
    std::map<std::string, double> credits; ///< exposed calls that are due, by route
};

/// @return calls that may be exposed in total by now. Summed over all gateways it stays below the share of
/// all calls plus the sum of the further calls, whether or not control can be reached.
double exposure_budget(const exposure_use& use, const lease& lent, const exposure_limits& limits,
                       time_point now);
/// Counts a call and decides whether it goes to the target. Each route gets its share of the exposure.
/// @param offset between 0 and 1: where a route's credit starts, so that gateways don't expose at once.
bool choose_exposure(exposure_use& use, const lease& lent, const exposure_limits& limits,
                     const std::string& route, double offset, time_point now);
/// Returns the exposure of a call that no upstream of the target could take.
void return_exposure(exposure_use& use, const std::string& route);

} // namespace guavawick::rollout
