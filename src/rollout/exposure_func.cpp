// Use of lent exposure by a gateway.
#include "rollout/exposure_func.hpp"

#include <algorithm>

namespace guavawick::rollout {
namespace {

constexpr double max_credit = 2; ///< a route without calls for a while must not expose many in a row

} // namespace

double exposure_budget(const exposure_use& use, const lease& lent, const exposure_limits& limits,
                       time_point now)
{
    const double age = to_seconds(lent.age + (now - lent.received_at));
    const double left = std::max(0.0, to_seconds(limits.length) - age);
    const auto calls = static_cast<double>(use.calls);
    const double expected = age > 0 ? calls / age * left * lent.forecast : 0.0;
    return limits.share * (calls + expected) + limits.calls;
}

bool choose_exposure(exposure_use& use, const lease& lent, const exposure_limits& limits,
                     const std::string& route, double offset, time_point now)
{
    ++use.calls;
    if (now >= lent.valid_until || lent.share <= 0) {
        return false;
    }
    double& credit = use.credits.try_emplace(route, offset).first->second;
    credit = std::min(credit + lent.share, max_credit);
    if (credit < 1 || static_cast<double>(use.exposed) + 1 > exposure_budget(use, lent, limits, now)) {
        return false;
    }
    credit -= 1;
    ++use.exposed;
    return true;
}

void return_exposure(exposure_use& use, const std::string& route)
{
    --use.exposed;
    use.credits[route] += 1;
}

} // namespace guavawick::rollout
