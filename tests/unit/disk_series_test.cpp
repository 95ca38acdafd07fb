// Disks that are lost in series, each time while every other replica loses power.
#include "managed_cluster.hpp"

#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

using namespace consensus;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t tolerated_disks = 2;
constexpr duration time_to_return = 1600ms;
constexpr duration catch_up_time = 6s; ///< after its return, a replica counts as whole

struct replica_count {
    std::size_t value;
};

/// Loses disks in series. @return the longest time from a return until two more disks may be lost.
duration lose_disks_in_series(std::uint64_t seed, replica_count replicas, bool oldest_first)
{
    managed_cluster cluster(seed, replicas.value, tolerated_disks);
    cluster.run(8s);
    BOOST_REQUIRE(cluster.tolerates(tolerated_disks));
    duration longest{};
    for (int round = 0; round < 6; ++round) {
        std::set<std::size_t> lost = cluster.oldest_disks(tolerated_disks);
        while (!oldest_first && lost.size() < 2 * tolerated_disks) {
            lost.insert(cluster.random_below(replicas.value));
        }
        while (lost.size() > tolerated_disks) {
            lost.erase(
                std::next(lost.begin(), static_cast<std::ptrdiff_t>(cluster.random_below(lost.size()))));
        }
        cluster.lose_power(lost);
        cluster.now += time_to_return;
        cluster.return_power();
        const time_point returned = cluster.now;
        duration whole_after = 1min;
        while (cluster.now < returned + catch_up_time) {
            cluster.run(20ms);
            const bool is_whole =
                cluster.find_lease_holder() != nullptr && cluster.tolerates(tolerated_disks);
            whole_after = is_whole ? std::min(whole_after, cluster.now - returned) : 1min;
        }
        longest = std::max(longest, whole_after);
        const fake_member* leader = cluster.find_lease_holder();
        BOOST_REQUIRE_MESSAGE(leader != nullptr, "no leader in round " << round << cluster.describe());
        BOOST_REQUIRE_MESSAGE(cluster.tolerates(tolerated_disks),
                              "not whole in round " << round << cluster.describe());
        BOOST_REQUIRE(leader->state.applied >= cluster.highest_acknowledged);
        for (const auto& [index, payload] : cluster.acknowledged) {
            BOOST_REQUIRE_MESSAGE(cluster.committed.at(index) == payload,
                                  "entry " << index << " was replaced");
        }
    }
    BOOST_TEST(cluster.acknowledged.size() > 100U);
    return longest;
}

} // namespace

BOOST_AUTO_TEST_SUITE(disk_series_test)

// Guards against a group that is not whole again within the time after which more disks may be lost.
BOOST_AUTO_TEST_CASE(group_survives_the_loss_of_its_oldest_disks_in_series_while_the_others_lose_power)
{
    for (const std::size_t replicas : {6U, 8U}) {
        for (const bool oldest_first : {true, false}) {
            duration longest{};
            for (std::uint64_t seed = 1; seed <= 6; ++seed) {
                BOOST_TEST_CONTEXT("seed " << seed << ", replicas " << replicas << ", oldest first "
                                           << oldest_first)
                {
                    longest = std::max(longest, lose_disks_in_series(seed, {replicas}, oldest_first));
                }
            }
            BOOST_TEST_MESSAGE(replicas
                               << " replicas, oldest first " << oldest_first << ": whole after "
                               << std::chrono::duration_cast<std::chrono::milliseconds>(longest).count()
                               << " ms at most");
        }
    }
}

// Guards against a group that ends when two disks are lost while a voter that kept its disk is replaced.
BOOST_AUTO_TEST_CASE(group_survives_the_loss_of_two_disks_while_a_voter_out_of_contact_is_replaced)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            managed_cluster cluster(seed, 8, tolerated_disks);
            cluster.run(8s);
            const std::size_t dark = cluster.random_below(5);
            cluster.members[dark].running = false;
            cluster.run(membership_policy{}.voter_timeout +
                        std::chrono::milliseconds(cluster.random_below(600)));
            std::set<std::size_t> lost;
            while (lost.size() < tolerated_disks) {
                lost.insert(cluster.random_below(5));
                lost.erase(dark);
            }
            cluster.lose_power(lost);
            cluster.now += time_to_return;
            cluster.return_power();
            cluster.run(catch_up_time);
            const fake_member* leader = cluster.find_lease_holder();
            BOOST_REQUIRE_MESSAGE(leader != nullptr, "no leader" << cluster.describe());
            BOOST_TEST(leader->state.applied >= cluster.highest_acknowledged);
            BOOST_TEST(cluster.tolerates(tolerated_disks));
        }
    }
}

// Guards against changes of the members that lose entries, or end the group, if they meet replicas out of
// contact, crashes, lost messages and lost disks.
BOOST_AUTO_TEST_CASE(managed_group_keeps_acknowledged_entries_under_random_faults)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            managed_cluster cluster(seed, 6 + 2 * (seed % 2), tolerated_disks);
            cluster.run(8s);
            cluster.run_with_random_faults(90s, tolerated_disks);
            for (fake_member& member : cluster.members) {
                cluster.restart(member);
            }
            cluster.run(10s);
            const fake_member* leader = cluster.find_lease_holder();
            BOOST_REQUIRE_MESSAGE(leader != nullptr, "no leader" << cluster.describe());
            BOOST_TEST(leader->state.applied >= cluster.highest_acknowledged);
            BOOST_TEST(cluster.tolerates(tolerated_disks));
            BOOST_TEST(cluster.acknowledged.size() > 100U);
            for (const auto& [index, payload] : cluster.acknowledged) {
                BOOST_REQUIRE(cluster.committed.at(index) == payload);
            }
            BOOST_TEST_MESSAGE("seed " << seed << ": " << cluster.elections << " elections, "
                                       << cluster.lost_disks << " lost disks, " << cluster.acknowledged.size()
                                       << " acknowledged");
        }
    }
}

// Guards against a learner that is never promoted while commands are committed, because the voters
// acknowledge each before it does.
BOOST_AUTO_TEST_CASE(learner_with_a_slower_link_than_the_voters_replaces_a_lost_one_under_load)
{
    managed_cluster cluster(1, 6, tolerated_disks);
    cluster.run(8s);
    cluster.slow_links = {5};
    cluster.run(1s);
    fake_member& lost = &cluster.members.front() == cluster.find_lease_holder() ? cluster.members[1]
                                                                                : cluster.members.front();
    lost.running = false;
    const time_point end = cluster.now + catch_up_time;
    while (cluster.now < end) {
        for (fake_member& member : cluster.members) {
            cluster.propose(member);
        }
        cluster.run(20ms);
    }
    const fake_member* leader = cluster.find_lease_holder();
    BOOST_REQUIRE(leader != nullptr);
    BOOST_TEST(find_member(current_members(leader->state), cluster.members[5].id)->voter);
    BOOST_TEST((find_member(current_members(leader->state), lost.id) == nullptr));
}

// Guards against a repair that begins only when the lost voter's time-out has passed, though the new disk of
// its replica shows that the old one is gone.
BOOST_AUTO_TEST_CASE(replica_that_returns_with_an_empty_disk_joins_before_its_old_voter_times_out)
{
    managed_cluster cluster(1, 8, tolerated_disks);
    cluster.run(8s);
    const fake_member* leader = cluster.find_lease_holder();
    fake_member& lost = &cluster.members.front() == leader ? cluster.members[1] : cluster.members.front();
    cluster.lose_disk(lost);
    cluster.run(membership_policy{}.voter_timeout - 100ms);
    BOOST_REQUIRE(cluster.find_lease_holder() == leader);
    BOOST_TEST((find_member(current_members(leader->state), lost.id) != nullptr));
    BOOST_TEST(cluster.tolerates(tolerated_disks));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
