// Which members a group counts when candidates come and go.
#include "consensus/membership_plan.hpp"

#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

using namespace consensus;
using namespace std::chrono_literals;

namespace {

/// Three voters in three data centres; the first leads.
struct three_voters {
    membership_policy policy = make_policy(1, 3);
    std::vector<member_view> members;

    three_voters()
    {
        for (std::uint64_t i = 1; i <= 3; ++i) {
            add(i, "place-" + std::to_string(i), true);
        }
        members.front().own = true;
    }

    member_view& add(std::uint64_t id, const std::string& place, bool voter)
    {
        members.push_back(
            {{member_id{id}, "node-" + std::to_string(id), "", voter, 0, place}, false, true, 0ms});
        return members.back();
    }

    [[nodiscard]] planned_change plan() const { return plan_change(members, policy); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(membership_plan_test)

BOOST_FIXTURE_TEST_CASE(group_with_all_voters_alive_changes_nothing, three_voters)
{
    add(4, "place-1", false);
    BOOST_TEST((plan().kind == planned_kind::nothing));
}

BOOST_FIXTURE_TEST_CASE(voter_that_is_silent_without_a_successor_stays, three_voters)
{
    members[1].silent = 10s;
    BOOST_TEST((plan().kind == planned_kind::nothing));
}

BOOST_FIXTURE_TEST_CASE(voter_that_is_silent_goes_before_its_successor_is_counted, three_voters)
{
    members[1].silent = 10s;
    add(4, "place-2", false);
    const planned_change first = plan();
    BOOST_TEST((first.kind == planned_kind::remove));
    BOOST_TEST(first.id.value == 2U);
    members.erase(members.begin() + 1);
    const planned_change second = plan();
    BOOST_TEST((second.kind == planned_kind::promote));
    BOOST_TEST(second.id.value == 4U);
}

BOOST_FIXTURE_TEST_CASE(successor_that_has_not_caught_up_is_waited_for, three_voters)
{
    members[1].silent = 10s;
    add(4, "place-2", false).caught_up = false;
    BOOST_TEST((plan().kind == planned_kind::nothing));
}

BOOST_FIXTURE_TEST_CASE(successor_in_a_data_centre_that_has_its_voter_is_not_counted, three_voters)
{
    members[1].silent = 10s;
    add(4, "place-3", false);
    BOOST_TEST((plan().kind == planned_kind::nothing));
}

BOOST_FIXTURE_TEST_CASE(retiring_leader_with_a_successor_hands_over_first, three_voters)
{
    policy.retiring.insert("node-1");
    add(4, "place-1", false);
    BOOST_TEST((plan().kind == planned_kind::hand_over));
}

BOOST_FIXTURE_TEST_CASE(retiring_voter_with_a_successor_is_removed, three_voters)
{
    policy.retiring.insert("node-3");
    add(4, "place-3", false);
    const planned_change next = plan();
    BOOST_TEST((next.kind == planned_kind::remove));
    BOOST_TEST(next.id.value == 3U);
}

BOOST_FIXTURE_TEST_CASE(lost_voter_of_a_group_below_its_size_goes_before_another_is_counted, three_voters)
{
    // With both counted, three of four would be needed, and the next loss would leave two.
    policy = make_policy(2, 3);
    members[1].silent = 10s;
    add(4, "place-2", false);
    const planned_change next = plan();
    BOOST_TEST((next.kind == planned_kind::remove));
    BOOST_TEST(next.id.value == 2U);
}

BOOST_FIXTURE_TEST_CASE(lost_voter_of_an_even_number_goes_where_nobody_can_take_its_place, three_voters)
{
    policy = make_policy(2, 3);
    add(4, "place-2", true);
    members[1].silent = 2s;
    BOOST_TEST((plan().kind == planned_kind::nothing));
    members[1].silent = 10s;
    const planned_change next = plan();
    BOOST_TEST((next.kind == planned_kind::remove));
    BOOST_TEST(next.id.value == 2U);
    members[2].silent = 10s; // two of four are no quorum: nothing could be agreed on
    BOOST_TEST((plan().kind == planned_kind::nothing));
}

BOOST_FIXTURE_TEST_CASE(group_below_its_size_with_all_voters_alive_counts_another, three_voters)
{
    policy = make_policy(2, 3);
    add(4, "place-2", false);
    BOOST_TEST((plan().kind == planned_kind::promote));
}

BOOST_FIXTURE_TEST_CASE(learner_that_is_silent_for_long_is_dropped, three_voters)
{
    add(4, "place-1", false).silent = 30s;
    BOOST_TEST((plan().kind == planned_kind::remove));
}

BOOST_FIXTURE_TEST_CASE(candidate_beyond_the_standby_is_admitted_only_while_a_voter_is_lost, three_voters)
{
    const member joining{member_id{9}, "node-9", "", false, 0, "place-2"};
    BOOST_TEST(admits_learner(members, joining, policy));
    add(4, "place-1", false);
    BOOST_TEST(!admits_learner(members, joining, policy));
    members[1].silent = 10s;
    BOOST_TEST(admits_learner(members, joining, policy));
    policy.retiring.insert("node-9");
    BOOST_TEST(!admits_learner(members, joining, policy));
}

BOOST_AUTO_TEST_CASE(policy_for_two_losses_in_three_data_centres_has_five_voters_two_in_one_place)
{
    const membership_policy policy = make_policy(2, 3);
    BOOST_TEST(policy.voters == 5U);
    BOOST_TEST(policy.voters_in_one_place == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
