// Disks and data centres that are lost in the middle of changes of the members.
#include "managed_cluster.hpp"
#include "random_run.hpp"

#include <boost/test/unit_test.hpp>

#include <array>

namespace guavawick::tests {

using namespace consensus;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t tolerated_disks = 2;
constexpr std::size_t data_centres = 3;
constexpr duration catch_up_time = 4100ms; ///< after its return, a replica counts as whole
constexpr duration recovery_time = 8s;
constexpr duration step = 20ms;

/// Why a voter is replaced.
enum class cause : std::uint8_t { out_of_contact, disk_lost, instance_replaced, retirement };
constexpr std::array causes{cause::out_of_contact, cause::disk_lost, cause::instance_replaced,
                            cause::retirement};

/// The seeds that a test tries; the options `--seed` and `--seeds` replace them.
struct seed_range {
    std::uint64_t first;
    std::uint64_t last;

    explicit seed_range(std::uint64_t count)
        : first(read_option("seed", 1)), last(first + read_option("seeds", count) - 1)
    {
    }
};

void check_whole(managed_cluster& cluster)
{
    cluster.run(recovery_time);
    const fake_member* leader = cluster.find_lease_holder();
    BOOST_REQUIRE_MESSAGE(leader != nullptr, "no leader" << cluster.describe());
    BOOST_REQUIRE(leader->state.applied >= cluster.highest_acknowledged);
    BOOST_REQUIRE_MESSAGE(cluster.tolerates(tolerated_disks), "not whole" << cluster.describe());
    for (const auto& [index, payload] : cluster.acknowledged) {
        BOOST_REQUIRE(cluster.committed.at(index) == payload);
    }
}

/// Gives the group a reason to replace a random voter. @return its position.
std::size_t cause_replacement(managed_cluster& cluster, cause why)
{
    const fake_member* leader = cluster.find_lease_holder();
    BOOST_REQUIRE(leader != nullptr);
    std::vector<std::size_t> voters;
    for (std::size_t i = 0; i < cluster.members.size(); ++i) {
        const member* listed = find_member(current_members(leader->state), cluster.members[i].id);
        if (listed != nullptr && listed->voter) {
            voters.push_back(i);
        }
    }
    const std::size_t chosen = voters[cluster.random_below(voters.size())];
    fake_member& replaced = cluster.members[chosen];
    switch (why) {
    case cause::out_of_contact:
        cluster.stop(chosen);
        break;
    case cause::instance_replaced:
        replaced.name += "-successor";
        cluster.lose_disk(replaced);
        break;
    case cause::disk_lost:
        cluster.lose_disk(replaced);
        break;
    case cause::retirement:
        cluster.set_retiring({replaced.name});
        break;
    }
    return chosen;
}

/// Advances time until the leader's newest membership differs, at most until a replacement is through.
void run_to_next_change(managed_cluster& cluster)
{
    const auto newest_change = [&cluster] {
        const fake_member* leader = cluster.find_lease_holder();
        return leader == nullptr ? log_index{0} : leader->state.memberships.back().index;
    };
    const log_index before = newest_change();
    const time_point end = cluster.now + 4s;
    while (cluster.now < end && (newest_change() == 0 || newest_change() == before)) {
        cluster.run(step);
    }
}

/// Stops a data centre once one of its voters has a successor and is not removed yet.
/// @return whether the others have a leader that commits.
bool survives_loss_of_data_centre(std::uint64_t seed, std::size_t replicas, cause why)
{
    managed_cluster cluster(seed, replicas, tolerated_disks);
    // The replicas that are not voters join in a random order.
    const std::size_t others = replicas - (2 * tolerated_disks + 1);
    const std::size_t first = replicas - others + cluster.random_below(others);
    for (std::size_t i = replicas - others; i < replicas; ++i) {
        if (i != first) {
            cluster.stop(i);
        }
    }
    cluster.run(4s);
    for (fake_member& member : cluster.members) {
        if (!member.running) {
            cluster.restart(member);
        }
    }
    cluster.run(6s);
    const std::size_t lost = cause_replacement(cluster, why) % data_centres;
    const time_point end = cluster.now + 4s;
    while (cluster.now < end && cluster.count_voters() <= 2 * tolerated_disks + 1) {
        cluster.run(step);
    }
    for (std::size_t i = lost; i < replicas; i += data_centres) {
        cluster.stop(i);
    }
    cluster.run(4s);
    const log_index acknowledged = cluster.highest_acknowledged;
    cluster.run(1s);
    return cluster.highest_acknowledged > acknowledged;
}

} // namespace

BOOST_AUTO_TEST_SUITE(disk_window_test)

// Guards against a group that ends, or loses entries, when disks are lost one after the other, or with
// instances and data centres out of contact, as far as it tolerates.
BOOST_AUTO_TEST_CASE(managed_group_is_whole_after_any_series_of_tolerated_losses)
{
    const seed_range range(4);
    for (std::uint64_t seed = range.first; seed <= range.last; ++seed) {
        for (const std::size_t replicas : {6U, 8U, 9U}) {
            BOOST_TEST_CONTEXT("seed " << seed << ", replicas " << replicas)
            {
                managed_cluster cluster(seed, replicas, tolerated_disks);
                cluster.run(8s);
                for (int part = 0; part < 4; ++part) {
                    if (seed % 2 == 1) {
                        cluster.set_retiring({cluster.members[cluster.random_below(replicas)].name});
                    }
                    cluster.run_with_tolerated_faults(20s, tolerated_disks, catch_up_time);
                    cluster.set_retiring({});
                    check_whole(cluster);
                }
                BOOST_TEST_MESSAGE("seed " << seed << ", replicas " << replicas << ": " << cluster.lost_disks
                                           << " lost disks, " << cluster.elections << " elections, "
                                           << cluster.acknowledged.size() << " acknowledged");
            }
        }
    }
}

// Guards against a group that ends when two disks are lost while a learner is promoted or a voter removed.
BOOST_AUTO_TEST_CASE(group_survives_the_loss_of_two_disks_in_the_middle_of_each_change_of_a_replacement)
{
    const seed_range range(8);
    for (std::uint64_t seed = range.first; seed <= range.last; ++seed) {
        for (const cause why : causes) {
            for (const std::size_t replicas : {6U, 9U}) {
                BOOST_TEST_CONTEXT("seed " << seed << ", replicas " << replicas << ", cause "
                                           << static_cast<int>(why))
                {
                    managed_cluster cluster(seed, replicas, tolerated_disks);
                    cluster.run(8s);
                    const std::size_t replaced = cause_replacement(cluster, why);
                    const bool is_disk_lost = why == cause::disk_lost || why == cause::instance_replaced;
                    const std::uint64_t changes = cluster.random_below(4);
                    for (std::uint64_t i = 0; i < changes; ++i) {
                        run_to_next_change(cluster);
                    }
                    std::set<std::size_t> lost;
                    while (lost.size() < tolerated_disks - (is_disk_lost ? 1 : 0)) {
                        lost.insert(cluster.random_below(replicas));
                        lost.erase(replaced);
                    }
                    cluster.lose_power(lost);
                    cluster.now += 1s;
                    cluster.return_power();
                    cluster.set_retiring({});
                    check_whole(cluster);
                }
            }
        }
    }
}

// Guards against three of six voters in one data centre while a voter is replaced.
BOOST_AUTO_TEST_CASE(group_survives_the_loss_of_a_data_centre_in_the_middle_of_a_replacement)
{
    const seed_range range(16);
    for (std::uint64_t seed = range.first; seed <= range.last; ++seed) {
        for (const cause why : causes) {
            for (const std::size_t replicas : {6U, 9U}) {
                BOOST_TEST_CONTEXT("seed " << seed << ", replicas " << replicas << ", cause "
                                           << static_cast<int>(why))
                {
                    BOOST_TEST(survives_loss_of_data_centre(seed, replicas, why));
                }
            }
        }
    }
}

// Guards against a group whose foundation, with fewer voters than it needs, does not survive the loss of a
// disk or takes longer than an instance counts as new.
BOOST_AUTO_TEST_CASE(group_of_three_founders_survives_a_lost_disk_and_is_whole_when_its_instances_count)
{
    const seed_range range(20);
    for (std::uint64_t seed = range.first; seed <= range.last; ++seed) {
        for (const bool loses_power : {false, true}) {
            BOOST_TEST_CONTEXT("seed " << seed << ", loses power " << loses_power)
            {
                managed_cluster cluster(seed, 6, tolerated_disks, data_centres);
                for (std::size_t i = data_centres; i < cluster.members.size(); ++i) {
                    cluster.next_joins[i] = cluster.now + 1s; // as hosted replicas
                }
                managed_cluster undisturbed = cluster;
                undisturbed.run(catch_up_time);
                BOOST_TEST(undisturbed.tolerates(tolerated_disks));
                cluster.run(std::chrono::milliseconds(cluster.random_below(4000)));
                const std::size_t lost = cluster.random_below(cluster.members.size());
                if (loses_power) {
                    cluster.lose_power({lost});
                    cluster.now += 1s;
                    cluster.return_power();
                }
                else {
                    cluster.lose_disk(cluster.members[lost]);
                }
                check_whole(cluster);
            }
        }
    }
}

// Guards against a learner that is removed before it could acknowledge its first message, as if it had been
// silent for as long as the leader leads.
BOOST_AUTO_TEST_CASE(replica_that_answers_after_the_next_check_of_the_members_stays_a_learner)
{
    constexpr std::size_t returning = 5; // the standby learner
    managed_cluster cluster(1, 6, tolerated_disks);
    cluster.run(2 * membership_policy{}.learner_timeout);
    const fake_member* leader = cluster.find_lease_holder();
    BOOST_REQUIRE(leader != nullptr);
    cluster.lose_disk(cluster.members[returning]);
    cluster.slow_links = {returning};
    cluster.slow_delay = 300ms;
    const auto is_member = [&] {
        return find_member(current_members(leader->state), cluster.members[returning].id) != nullptr;
    };
    const time_point end = cluster.now + 5s;
    while (cluster.now < end && !is_member()) {
        cluster.run(step);
    }
    BOOST_REQUIRE(is_member());
    while (cluster.now < end) {
        cluster.run(step);
        BOOST_REQUIRE(is_member());
    }
    BOOST_TEST(cluster.find_lease_holder() == leader);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
