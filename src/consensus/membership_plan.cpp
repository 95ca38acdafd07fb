// Chooses the next change of a group's members.
#include "consensus/membership_plan.hpp"

#include <algorithm>

namespace guavawick::consensus {
namespace {

bool is_retiring(const member_view& one, const membership_policy& policy)
{
    return policy.retiring.contains(one.who.name);
}

bool is_lost(const member_view& one, const membership_policy& policy)
{
    return !one.own && one.silent > policy.voter_silence;
}

/// Voters that stay, by data centre.
std::map<std::string, std::size_t> count_places(const std::vector<member_view>& members,
                                                const member_view* leaving)
{
    std::map<std::string, std::size_t> places;
    for (const member_view& one : members) {
        if (one.who.voter && &one != leaving) {
            ++places[one.who.data_centre];
        }
    }
    return places;
}

/// @return the caught-up learner whose data centre has the fewest voters, or nullptr if none may be counted.
const member_view* find_candidate(const std::vector<member_view>& members, const member_view* leaving,
                                  const membership_policy& policy)
{
    const auto places = count_places(members, leaving);
    const auto voters_near = [&places](const member_view& one) {
        const auto found = places.find(one.who.data_centre);
        return found == places.end() ? std::size_t{0} : found->second;
    };
    const member_view* best = nullptr;
    for (const member_view& one : members) {
        const bool fit = !one.who.voter && one.caught_up && !is_retiring(one, policy) &&
                         !is_lost(one, policy) && voters_near(one) < policy.voters_in_one_place;
        if (fit && (best == nullptr || voters_near(one) < voters_near(*best))) {
            best = &one;
        }
    }
    return best;
}

/// @return the voter that should leave first, or nullptr.
const member_view* find_leaving(const std::vector<member_view>& members, const membership_policy& policy)
{
    const member_view* retiring = nullptr;
    for (const member_view& one : members) {
        if (one.who.voter && is_lost(one, policy)) {
            return &one;
        }
        if (one.who.voter && is_retiring(one, policy)) {
            retiring = &one;
        }
    }
    return retiring;
}

std::size_t count_lost(const std::vector<member_view>& members, const membership_policy& policy)
{
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(),
                      [&policy](const member_view& one) { return one.who.voter && is_lost(one, policy); }));
}

} // namespace

planned_change plan_change(const std::vector<member_view>& members, const membership_policy& policy)
{
    const auto voters = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [](const member_view& one) { return one.who.voter; }));
    const member_view* leaving = find_leaving(members, policy);
    if (leaving != nullptr && find_candidate(members, leaving, policy) != nullptr) {
        return {leaving->own ? planned_kind::hand_over : planned_kind::remove, leaving->who.id};
    }
    if (voters < policy.voters) {
        const member_view* candidate = find_candidate(members, nullptr, policy);
        if (candidate != nullptr) {
            return {planned_kind::promote, candidate->who.id};
        }
    }
    // One voter fewer of an even number leaves the quorum smaller; a lost one is better not counted.
    if (voters % 2 == 0 && leaving != nullptr && leaving->silent > policy.learner_silence &&
        count_lost(members, policy) * 2 < voters) {
        return {planned_kind::remove, leaving->who.id};
    }
    for (const member_view& one : members) {
        const bool gone = !one.own && one.silent > policy.learner_silence;
        if (!one.who.voter && (gone || is_retiring(one, policy))) {
            return {planned_kind::remove, one.who.id};
        }
    }
    return {};
}

bool admits_learner(const std::vector<member_view>& members, const member& joining,
                    const membership_policy& policy)
{
    if (policy.retiring.contains(joining.name)) {
        return false;
    }
    const member_view* leaving = find_leaving(members, policy);
    if (leaving != nullptr) {
        return true;
    }
    const auto alive = std::count_if(members.begin(), members.end(), [&policy](const member_view& one) {
        return !is_lost(one, policy) && !is_retiring(one, policy);
    });
    return static_cast<std::size_t>(alive) < policy.voters + policy.standby;
}

membership_policy make_policy(std::size_t losses, std::size_t data_centres)
{
    membership_policy made;
    made.voters = 2 * losses + 1;
    // One data centre may be lost whole, so it holds less than half; few data centres hold more each.
    const std::size_t least =
        (made.voters + std::max<std::size_t>(data_centres, 1) - 1) / std::max<std::size_t>(data_centres, 1);
    made.voters_in_one_place = std::max(least, std::max<std::size_t>(losses, 1));
    return made;
}

} // namespace guavawick::consensus
