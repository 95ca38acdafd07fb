// Chooses the next change of a managed membership.
#include "consensus/membership_plan.hpp"

#include <algorithm>
#include <tuple>

namespace guavawick::consensus {
namespace {

bool is_retiring(const member_status& status, const membership_policy& policy)
{
    return policy.retiring.contains(status.info.name);
}

bool is_lost(const member_status& status, const membership_policy& policy)
{
    return !status.is_self && (status.disk_lost || status.since_contact > policy.voter_timeout);
}

/// @return the number of voters in each data centre, without `excluded`.
std::map<std::string, std::size_t> count_voters(const std::vector<member_status>& members,
                                                const member_status* excluded)
{
    std::map<std::string, std::size_t> voter_counts;
    for (const member_status& status : members) {
        if (status.info.voter && &status != excluded) {
            ++voter_counts[status.info.data_centre];
        }
    }
    return voter_counts;
}

std::size_t count_in(const std::map<std::string, std::size_t>& voter_counts, const member_status& status)
{
    const auto found = voter_counts.find(status.info.data_centre);
    return found == voter_counts.end() ? 0 : found->second;
}

/// @return whether the member may be promoted beside all voters of its data centre.
bool has_room(const std::map<std::string, std::size_t>& voter_counts, const member_status& status,
              const membership_policy& policy)
{
    return count_in(voter_counts, status) < policy.max_voters_per_data_centre;
}

/// @return the caught-up learner whose data centre has the fewest voters, or nullptr if none may be promoted.
/// The replaced voter counts for the choice, as it stays a voter until the learner is one, but not for the
/// limit.
const member_status* find_replacement(const std::vector<member_status>& members,
                                      const member_status* replaced, const membership_policy& policy)
{
    const auto remaining_counts = count_voters(members, replaced);
    const auto voter_counts = count_voters(members, nullptr);
    const member_status* best = nullptr;
    for (const member_status& candidate : members) {
        const bool is_eligible = !candidate.info.voter && candidate.caught_up &&
                                 !is_retiring(candidate, policy) && !is_lost(candidate, policy) &&
                                 has_room(remaining_counts, candidate, policy);
        if (is_eligible &&
            (best == nullptr || count_in(voter_counts, candidate) < count_in(voter_counts, *best))) {
            best = &candidate;
        }
    }
    return best;
}

/// @return the voter to remove first: a lost one before a retiring one; nullptr if there is none.
const member_status* find_departing_voter(const std::vector<member_status>& members,
                                          const membership_policy& policy)
{
    const member_status* retiring = nullptr;
    for (const member_status& status : members) {
        if (status.info.voter && is_lost(status, policy)) {
            return &status;
        }
        if (status.info.voter && is_retiring(status, policy)) {
            retiring = &status;
        }
    }
    return retiring;
}

/// @return a voter that is not the leader: one whose instance has another replica, otherwise one of the data
/// centre with the most voters; among these the one without contact for longest. @pre there are at least two
/// voters.
const member_status* find_surplus_voter(const std::vector<member_status>& members)
{
    const auto voter_counts = count_voters(members, nullptr);
    const auto rank = [&](const member_status& status) {
        const auto replicas =
            std::count_if(members.begin(), members.end(), [&status](const member_status& other) {
                return other.info.name == status.info.name;
            });
        return std::tuple(replicas, voter_counts.at(status.info.data_centre), status.since_contact);
    };
    const member_status* surplus = nullptr;
    for (const member_status& status : members) {
        if (status.info.voter && !status.is_self && (surplus == nullptr || rank(status) > rank(*surplus))) {
            surplus = &status;
        }
    }
    return surplus;
}

bool is_standby(const member_status& status, const membership_policy& policy)
{
    return !status.info.voter && !is_lost(status, policy) && !is_retiring(status, policy);
}

/// @return a standby learner that the group does not need: there are too many, and another one that has
/// caught up may be promoted beside all voters, which this one may not. nullptr if there is none.
const member_status* find_surplus_learner(const std::vector<member_status>& members,
                                          const membership_policy& policy)
{
    const auto voter_counts = count_voters(members, nullptr);
    std::size_t standby_count = 0;
    bool has_promotable = false;
    const member_status* surplus = nullptr;
    for (const member_status& status : members) {
        if (!is_standby(status, policy)) {
            continue;
        }
        ++standby_count;
        if (!has_room(voter_counts, status, policy)) {
            surplus = &status;
        }
        else {
            has_promotable = has_promotable || status.caught_up;
        }
    }
    return has_promotable && standby_count > policy.standby_learners ? surplus : nullptr;
}

std::size_t count_lost(const std::vector<member_status>& members, const membership_policy& policy)
{
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&policy](const member_status& status) {
            return status.info.voter && is_lost(status, policy);
        }));
}

} // namespace

planned_change plan_membership_change(const std::vector<member_status>& members,
                                      const membership_policy& policy)
{
    const auto voters = static_cast<std::size_t>(std::count_if(
        members.begin(), members.end(), [](const member_status& status) { return status.info.voter; }));
    const member_status* departing = find_departing_voter(members, policy);
    const member_status* successor =
        departing != nullptr ? find_replacement(members, departing, policy) : nullptr;
    if (voters > policy.voters && departing != nullptr) {
        return {departing->is_self ? planned_kind::hand_over : planned_kind::remove, departing->info.id};
    }
    if (successor != nullptr && voters == policy.voters) {
        return {planned_kind::promote, successor->info.id};
    }
    if (successor != nullptr) {
        return {departing->is_self ? planned_kind::hand_over : planned_kind::remove, departing->info.id};
    }
    if (voters < policy.voters) {
        const member_status* replacement = find_replacement(members, nullptr, policy);
        if (replacement != nullptr) {
            return {planned_kind::promote, replacement->info.id};
        }
    }
    // A voter that answers again after its replacement was promoted leaves a group of even size.
    if (voters > policy.voters && voters % 2 == 0) {
        return {planned_kind::remove, find_surplus_voter(members)->info.id};
    }
    // Removing one of an even number of voters makes the quorum smaller, so a voter lost for long is removed
    // even without a replacement.
    if (voters % 2 == 0 && departing != nullptr && departing->since_contact > policy.learner_timeout &&
        count_lost(members, policy) * 2 < voters) {
        return {planned_kind::remove, departing->info.id};
    }
    for (const member_status& status : members) {
        const bool is_inactive = !status.is_self && status.since_contact > policy.learner_timeout;
        if (!status.info.voter && (is_inactive || is_retiring(status, policy))) {
            return {planned_kind::remove, status.info.id};
        }
    }
    const member_status* surplus = departing == nullptr ? find_surplus_learner(members, policy) : nullptr;
    if (surplus != nullptr) {
        return {planned_kind::remove, surplus->info.id};
    }
    return {};
}

bool admits_learner(const std::vector<member_status>& members, const member& joining,
                    const membership_policy& policy)
{
    if (policy.retiring.contains(joining.name)) {
        return false;
    }
    const bool returns = std::any_of(members.begin(), members.end(), [&joining](const member_status& status) {
        return status.info.name == joining.name && status.info.id != joining.id;
    });
    if (returns || find_departing_voter(members, policy) != nullptr) {
        return true;
    }
    const auto available =
        std::count_if(members.begin(), members.end(), [&policy](const member_status& status) {
            return !is_lost(status, policy) && !is_retiring(status, policy);
        });
    if (static_cast<std::size_t>(available) < policy.voters + policy.standby_learners) {
        return true;
    }
    const auto voter_counts = count_voters(members, nullptr);
    const bool has_promotable = std::any_of(members.begin(), members.end(), [&](const member_status& status) {
        return is_standby(status, policy) && has_room(voter_counts, status, policy);
    });
    return !has_promotable && has_room(voter_counts, {joining}, policy);
}

std::vector<std::string> choose_join_contacts(join_schedule& schedule,
                                              const std::vector<std::string>& contacts,
                                              const std::string& self)
{
    ++schedule.rounds;
    std::vector<std::string> chosen;
    for (std::size_t i = 0; i < contacts.size() && chosen.size() < contacts_per_join_round; ++i) {
        const std::string& contact = contacts[schedule.next_contact++ % contacts.size()];
        if (contact != self) {
            chosen.push_back(contact);
        }
    }
    return chosen;
}

duration join_delay(const join_schedule& schedule)
{
    if (schedule.rounds <= fast_join_rounds) {
        return join_interval;
    }
    const auto slow_rounds = static_cast<std::int64_t>(schedule.rounds - fast_join_rounds);
    return std::min<duration>(join_interval * (1 + slow_rounds), max_join_interval);
}

membership_policy make_membership_policy(std::size_t tolerated_failures, std::size_t data_centres)
{
    membership_policy policy;
    policy.voters = 2 * tolerated_failures + 1;
    // A whole data centre may fail, so each holds less than half of the voters unless there are too few data
    // centres to spread them.
    const std::size_t min_per_data_centre =
        (policy.voters + std::max<std::size_t>(data_centres, 1) - 1) / std::max<std::size_t>(data_centres, 1);
    policy.max_voters_per_data_centre =
        std::max(min_per_data_centre, std::max<std::size_t>(tolerated_failures, 1));
    return policy;
}

} // namespace guavawick::consensus
