// Planning of the membership of a group whose members are chosen among candidates.
#include "consensus/membership_plan.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <bitset>

namespace guavawick::tests {

using namespace consensus;
using namespace std::chrono_literals;

namespace {

/// Three voters in three data centres; the first is the leader.
struct three_voters {
    membership_policy policy = make_membership_policy(1, 3);
    std::vector<member_status> members;

    three_voters()
    {
        for (std::uint64_t i = 1; i <= 3; ++i) {
            add(i, "dc-" + std::to_string(i), true);
        }
        members.front().is_self = true;
    }

    member_status& add(std::uint64_t id, const std::string& data_centre, bool voter)
    {
        members.push_back(
            {{member_id{id}, "node-" + std::to_string(id), "", voter, 0, data_centre}, false, true, 0ms});
        return members.back();
    }

    [[nodiscard]] planned_change plan() const { return plan_membership_change(members, policy); }
};

/// A group with as many voters as its policy asks for, spread over three data centres.
struct group_of_full_size : three_voters {
    explicit group_of_full_size(std::size_t tolerated_failures)
    {
        policy = make_membership_policy(tolerated_failures, 3);
        for (std::uint64_t i = 4; i <= policy.voters; ++i) {
            add(i, "dc-" + std::to_string(i - 3), true);
        }
    }

    [[nodiscard]] std::size_t voters() const
    {
        return static_cast<std::size_t>(std::count_if(
            members.begin(), members.end(), [](const member_status& status) { return status.info.voter; }));
    }

    /// @return how many disks of voters may be lost while the others are a quorum, whoever is out of contact.
    [[nodiscard]] std::size_t tolerated_disks() const { return (voters() - 1) / 2; }

    [[nodiscard]] bool contains(member_id id) const
    {
        return std::any_of(members.begin(), members.end(),
                           [id](const member_status& status) { return status.info.id == id; });
    }

    [[nodiscard]] std::size_t max_in_one_data_centre() const
    {
        std::map<std::string, std::size_t> counts;
        std::size_t max = 0;
        for (const member_status& status : members) {
            max = std::max(max, status.info.voter ? ++counts[status.info.data_centre] : 0);
        }
        return max;
    }

    /// @return whether the others are a quorum after the loss of as many voters as the group tolerates, and
    /// after that of any data centre.
    [[nodiscard]] bool withstands_losses() const
    {
        return withstands(voters(), max_in_one_data_centre(), (policy.voters - 1) / 2);
    }

    static bool withstands(std::size_t voters, std::size_t max_in_one_data_centre, std::size_t tolerated)
    {
        const std::size_t quorum = voters / 2 + 1;
        return voters >= quorum + std::max(tolerated, max_in_one_data_centre);
    }

    void carry_out(const planned_change& change)
    {
        if (change.kind == planned_kind::remove) {
            std::erase_if(members, [&](const member_status& status) { return status.info.id == change.id; });
        }
        for (member_status& status : members) {
            status.info.voter =
                status.info.voter || (change.kind == planned_kind::promote && status.info.id == change.id);
        }
    }
};

/// @param data_centres by replica; the first five are the voters. @param departing index of the one to
/// replace.
/// @return whether any order of single changes replaces it so that each step withstands the loss of two
/// voters and that of any data centre.
bool has_safe_order(const std::vector<std::size_t>& data_centres, std::size_t departing)
{
    constexpr std::size_t full_size = 5;
    constexpr std::uint64_t initial_voters = 0b11111;
    std::set<std::uint64_t> reached; // each a set of voters
    std::vector<std::uint64_t> open{initial_voters};
    while (!open.empty()) {
        const std::bitset<64> voters(open.back());
        open.pop_back();
        std::map<std::size_t, std::size_t> counts;
        std::size_t max = 0;
        for (std::size_t i = 0; i < data_centres.size(); ++i) {
            max = std::max(max, voters.test(i) ? ++counts[data_centres[i]] : 0);
        }
        if (!group_of_full_size::withstands(voters.count(), max, 2) ||
            !reached.insert(voters.to_ullong()).second) {
            continue;
        }
        if (voters.count() == full_size && !voters.test(departing)) {
            return true;
        }
        for (std::size_t i = 0; i < data_centres.size(); ++i) {
            open.push_back(std::bitset<64>(voters).flip(i).to_ullong());
        }
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(membership_plan_test)

BOOST_FIXTURE_TEST_CASE(group_with_all_voters_active_is_unchanged, three_voters)
{
    add(4, "dc-1", false);
    BOOST_TEST((plan().kind == planned_kind::nothing));
}

BOOST_FIXTURE_TEST_CASE(inactive_voter_without_a_replacement_stays, three_voters)
{
    members[1].since_contact = 10s;
    BOOST_TEST((plan().kind == planned_kind::nothing));
}

BOOST_FIXTURE_TEST_CASE(inactive_voter_is_removed_only_after_its_replacement_is_a_voter, three_voters)
{
    members[1].since_contact = 10s;
    add(4, "dc-2", false);
    const planned_change first = plan();
    BOOST_TEST((first.kind == planned_kind::promote));
    BOOST_TEST(first.id.value == 4U);
    members.back().info.voter = true;
    const planned_change second = plan();
    BOOST_TEST((second.kind == planned_kind::remove));
    BOOST_TEST(second.id.value == 2U);
}

// Guards against a group that loses its quorum for good when disks are lost while a voter that kept its disk
// is out of contact.
BOOST_AUTO_TEST_CASE(
    replacement_of_an_inactive_voter_tolerates_in_each_step_the_loss_of_as_many_disks_as_the_group)
{
    for (const std::size_t tolerated : {1U, 2U}) {
        for (const bool retires : {false, true}) {
            group_of_full_size group(tolerated);
            const member_id inactive = group.members[1].info.id;
            group.members[1].since_contact = 2s;
            if (retires) {
                group.policy.retiring.insert(group.members[1].info.name);
            }
            group.add(9, group.members[1].info.data_centre, false);
            for (int step = 0; step < 3; ++step) {
                BOOST_TEST_CONTEXT("tolerated " << tolerated << ", retires " << retires << ", step " << step)
                {
                    BOOST_TEST(group.tolerated_disks() >= tolerated);
                }
                group.carry_out(group.plan());
            }
            BOOST_TEST(group.voters() == 2 * tolerated + 1);
            BOOST_TEST(!group.contains(inactive));
            BOOST_TEST((group.plan().kind == planned_kind::nothing));
        }
    }
}

// Guards against a group that ends with one data centre, which has three of six voters during a replacement.
BOOST_AUTO_TEST_CASE(replacement_withstands_in_each_step_the_loss_of_two_voters_and_that_of_any_data_centre)
{
    for (std::size_t replaced = 0; replaced < 5; ++replaced) {
        for (const bool retires : {false, true}) {
            group_of_full_size group(2);
            if (retires) {
                group.policy.retiring.insert(group.members[replaced].info.name);
            }
            else {
                group.members[replaced].since_contact = 2s;
            }
            for (member_status& status : group.members) {
                status.is_self = status.info.id.value == (replaced == 0 ? 2U : 1U);
            }
            for (std::uint64_t i = 1; i <= 3; ++i) {
                group.add(8 + i, "dc-" + std::to_string(i), false);
            }
            const member_id departing = group.members[replaced].info.id;
            for (int step = 0; step < 4; ++step) {
                BOOST_TEST_CONTEXT("replaced " << replaced << ", retires " << retires << ", step " << step)
                {
                    BOOST_TEST(group.withstands_losses());
                }
                group.carry_out(group.plan());
            }
            BOOST_TEST(group.voters() == 5U);
            BOOST_TEST(!group.contains(departing));
        }
    }
}

// Shows by an exhaustive search why the standby learner belongs into the data centre with one voter: no other
// replica allows an order of single changes that withstands both losses.
BOOST_AUTO_TEST_CASE(
    replacement_that_withstands_both_losses_needs_a_replica_in_the_data_centre_with_one_voter)
{
    constexpr std::size_t max_others = 2; // replicas by data centre that are not voters
    for (std::size_t first = 0; first <= max_others; ++first) {
        for (std::size_t second = 0; second <= max_others; ++second) {
            for (std::size_t third = 0; third <= max_others; ++third) {
                std::vector<std::size_t> data_centres{0, 0, 1, 1, 2};
                data_centres.insert(data_centres.end(), first, 0);
                data_centres.insert(data_centres.end(), second, 1);
                data_centres.insert(data_centres.end(), third, 2);
                for (std::size_t departing = 0; departing < 5; ++departing) {
                    BOOST_TEST(has_safe_order(data_centres, departing) == (third > 0));
                }
            }
        }
    }
}

BOOST_FIXTURE_TEST_CASE(voter_whose_replica_has_joined_with_another_disk_is_replaced_without_a_time_out,
                        three_voters)
{
    members[1].disk_lost = true;
    add(4, "dc-2", false);
    const planned_change first = plan();
    BOOST_TEST((first.kind == planned_kind::promote));
    members.back().info.voter = true;
    const planned_change second = plan();
    BOOST_TEST((second.kind == planned_kind::remove));
    BOOST_TEST(second.id.value == 2U);
}

// Guards against a group that stays at an even number of voters, with more of them in one data centre than
// it may lose, once the voter to be replaced has answered again.
BOOST_AUTO_TEST_CASE(voter_that_answers_again_beside_its_replacement_leaves_the_group_at_full_size)
{
    group_of_full_size group(2);
    group.members[1].since_contact = 2s;
    group.add(9, group.members[1].info.data_centre, false);
    group.carry_out(group.plan());
    BOOST_TEST(group.voters() == 6U);
    group.members[1].since_contact = 0s;
    group.carry_out(group.plan());
    BOOST_TEST(group.voters() == 5U);
    BOOST_TEST(group.max_in_one_data_centre() <= group.policy.max_voters_per_data_centre);
    BOOST_TEST(group.members.front().is_self);
    BOOST_TEST((group.plan().kind == planned_kind::nothing));
}

BOOST_FIXTURE_TEST_CASE(inactive_voter_stays_until_its_replacement_has_caught_up, three_voters)
{
    members[1].since_contact = 10s;
    add(4, "dc-2", false).caught_up = false;
    BOOST_TEST((plan().kind == planned_kind::nothing));
}

BOOST_FIXTURE_TEST_CASE(learner_in_a_data_centre_at_its_voter_limit_is_not_promoted, three_voters)
{
    members[1].since_contact = 10s;
    add(4, "dc-3", false);
    BOOST_TEST((plan().kind == planned_kind::nothing));
}

// Guards against a group that loses its quorum for good when disks are lost during a planned replacement.
BOOST_FIXTURE_TEST_CASE(retiring_voter_is_removed_only_after_its_replacement_is_a_voter, three_voters)
{
    policy.retiring.insert("node-3");
    add(4, "dc-3", false);
    const planned_change first = plan();
    BOOST_TEST((first.kind == planned_kind::promote));
    BOOST_TEST(first.id.value == 4U);
    members.back().info.voter = true;
    const planned_change second = plan();
    BOOST_TEST((second.kind == planned_kind::remove));
    BOOST_TEST(second.id.value == 3U);
}

BOOST_FIXTURE_TEST_CASE(retiring_leader_transfers_leadership_once_its_replacement_is_a_voter, three_voters)
{
    policy.retiring.insert("node-1");
    add(4, "dc-1", false);
    BOOST_TEST((plan().kind == planned_kind::promote));
    members.back().info.voter = true;
    BOOST_TEST((plan().kind == planned_kind::hand_over));
}

BOOST_FIXTURE_TEST_CASE(retiring_voter_that_is_lost_is_removed_only_after_its_replacement_is_a_voter,
                        three_voters)
{
    policy.retiring.insert("node-3");
    members[2].since_contact = 10s;
    add(4, "dc-3", false);
    BOOST_TEST((plan().kind == planned_kind::promote));
    members.back().info.voter = true;
    const planned_change next = plan();
    BOOST_TEST((next.kind == planned_kind::remove));
    BOOST_TEST(next.id.value == 3U);
}

BOOST_FIXTURE_TEST_CASE(lost_voter_of_an_undersized_group_is_removed_before_a_promotion, three_voters)
{
    // With both as voters the quorum would be three of four, and the next loss would leave two.
    policy = make_membership_policy(2, 3);
    members[1].since_contact = 10s;
    add(4, "dc-2", false);
    const planned_change next = plan();
    BOOST_TEST((next.kind == planned_kind::remove));
    BOOST_TEST(next.id.value == 2U);
}

BOOST_FIXTURE_TEST_CASE(lost_voter_of_an_even_number_is_removed_without_a_replacement, three_voters)
{
    policy = make_membership_policy(2, 3);
    add(4, "dc-2", true);
    members[1].since_contact = 2s;
    BOOST_TEST((plan().kind == planned_kind::nothing));
    members[1].since_contact = 10s;
    const planned_change next = plan();
    BOOST_TEST((next.kind == planned_kind::remove));
    BOOST_TEST(next.id.value == 2U);
    members[2].since_contact = 10s; // two of four are no quorum, so no change could be committed
    BOOST_TEST((plan().kind == planned_kind::nothing));
}

BOOST_FIXTURE_TEST_CASE(undersized_group_with_all_voters_active_promotes_a_learner, three_voters)
{
    policy = make_membership_policy(2, 3);
    add(4, "dc-2", false);
    BOOST_TEST((plan().kind == planned_kind::promote));
}

BOOST_FIXTURE_TEST_CASE(long_inactive_learner_is_removed, three_voters)
{
    add(4, "dc-1", false).since_contact = 30s;
    BOOST_TEST((plan().kind == planned_kind::remove));
}

BOOST_FIXTURE_TEST_CASE(candidate_beyond_the_standby_learners_is_admitted_only_while_a_voter_is_lost,
                        three_voters)
{
    const member joining{member_id{9}, "node-9", "", false, 0, "dc-2"};
    BOOST_TEST(admits_learner(members, joining, policy));
    add(4, "dc-1", false);
    BOOST_TEST(!admits_learner(members, joining, policy));
    members[1].since_contact = 10s;
    BOOST_TEST(admits_learner(members, joining, policy));
    policy.retiring.insert("node-9");
    BOOST_TEST(!admits_learner(members, joining, policy));
}

BOOST_FIXTURE_TEST_CASE(replica_that_returns_with_another_disk_is_admitted_in_place_of_its_old_one,
                        three_voters)
{
    add(4, "dc-1", false);
    const member returned{member_id{9}, "node-2", "", false, 0, "dc-2"};
    BOOST_TEST(admits_learner(members, returned, policy));
    BOOST_TEST(!admits_learner(members, members[1].info, policy));
}

BOOST_AUTO_TEST_CASE(
    policy_for_two_failures_in_three_data_centres_has_five_voters_at_most_two_per_data_centre)
{
    const membership_policy policy = make_membership_policy(2, 3);
    BOOST_TEST(policy.voters == 5U);
    BOOST_TEST(policy.max_voters_per_data_centre == 2U);
}

// Guards against a standby learner whose promotion puts three of six voters into one data centre.
BOOST_AUTO_TEST_CASE(standby_learner_makes_room_for_one_of_the_data_centre_with_the_fewest_voters)
{
    group_of_full_size group(2);
    group.add(9, "dc-1", false);
    const member in_full{member_id{10}, "node-10", "", false, 0, "dc-2"};
    const member in_sparse{member_id{11}, "node-11", "", false, 0, "dc-3"};
    BOOST_TEST(!admits_learner(group.members, in_full, group.policy));
    BOOST_TEST(admits_learner(group.members, in_sparse, group.policy));
    group.add(11, "dc-3", false).caught_up = false;
    BOOST_TEST((group.plan().kind == planned_kind::nothing));
    group.members.back().caught_up = true;
    const planned_change change = group.plan();
    BOOST_TEST((change.kind == planned_kind::remove));
    BOOST_TEST(change.id.value == 9U);
    group.carry_out(change);
    BOOST_TEST((group.plan().kind == planned_kind::nothing));
    BOOST_TEST(!admits_learner(group.members, {member_id{9}, "node-9", "", false, 0, "dc-1"}, group.policy));
}

// Load that it answers: in a fleet of 36 stores and 8 groups most stores are not members of most groups.
BOOST_AUTO_TEST_CASE(store_that_no_group_needs_sends_few_join_requests_whatever_the_size_of_the_fleet)
{
    const auto requests_in_ten_minutes = [](std::size_t stores) {
        std::vector<std::string> contacts;
        for (std::size_t i = 0; i < stores; ++i) {
            contacts.push_back(std::to_string(i));
        }
        join_schedule schedule;
        std::size_t requests = 0;
        for (duration elapsed{}; elapsed < 10min; elapsed += join_delay(schedule)) {
            requests += choose_join_contacts(schedule, contacts, "0").size();
        }
        return requests;
    };
    BOOST_TEST(requests_in_ten_minutes(36) <= 600U * 2);
    BOOST_TEST(requests_in_ten_minutes(360) == requests_in_ten_minutes(36));
}

BOOST_AUTO_TEST_CASE(joining_store_asks_every_contact_but_itself_in_turn)
{
    const std::vector<std::string> contacts{"a", "b", "c", "d", "e", "f", "g", "self"};
    join_schedule schedule;
    std::set<std::string> asked;
    for (int round = 0; round < 2; ++round) {
        for (const std::string& contact : choose_join_contacts(schedule, contacts, "self")) {
            asked.insert(contact);
        }
        BOOST_TEST((join_delay(schedule) == join_interval));
    }
    BOOST_TEST(asked.size() == 7U);
    BOOST_TEST(!asked.contains("self"));
}

BOOST_AUTO_TEST_CASE(store_without_contacts_asks_nobody)
{
    join_schedule schedule;
    BOOST_TEST(choose_join_contacts(schedule, {}, "self").empty());
    BOOST_TEST(choose_join_contacts(schedule, {"self"}, "self").empty());
}

// Guards against an instance whose loss takes two voters.
BOOST_AUTO_TEST_CASE(surplus_voter_is_the_one_whose_instance_has_another_replica)
{
    group_of_full_size group(2);
    group.add(9, "dc-9", true);
    group.members.back().info.name = group.members[2].info.name;
    const planned_change change = group.plan();
    BOOST_TEST((change.kind == planned_kind::remove));
    const bool is_one_of_both = change.id == member_id{9} || change.id == group.members[2].info.id;
    BOOST_TEST(is_one_of_both);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
