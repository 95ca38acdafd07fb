// Which committed entries the regular members of a group confirm.
#include "consensus/confirmation.hpp"
#include "consensus/consensus_func.hpp"

#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

using namespace std::chrono_literals;
using namespace consensus;

namespace {

/// A leader that a gateway hosts, three regular members and another hosted one, with nine committed entries.
struct group_led_by_an_auxiliary_member {
    const time_point now{1h};
    group_state state;
    regular_members members;

    group_led_by_an_auxiliary_member()
    {
        state.self = member_id{1};
        state.role = role_type::leader;
        state.commit = 9;
        state.applied = 9;
        state.memberships.push_back({});
        add(1, "host-a", "a", true);
        add(2, "host-b", "b", true);
        add(3, "control-a", "a", false);
        add(4, "control-b", "b", false);
        add(5, "control-c", "c", false);
        update_regular_members(members, state, now);
    }

    void add(std::uint64_t id, const std::string& name, const std::string& data_centre, bool auxiliary)
    {
        state.memberships.back().value.members.push_back(
            {member_id{id}, name, "", true, 0, data_centre, auxiliary});
        hear(id, 0, now);
    }

    void remove(std::uint64_t id)
    {
        std::erase_if(state.memberships.back().value.members,
                      [id](const member& listed) { return listed.id == member_id{id}; });
        state.peers.erase(member_id{id});
    }

    void hear(std::uint64_t id, log_index known_commit, time_point at)
    {
        if (member_id{id} != state.self) {
            state.peers[member_id{id}].acked_sent_at = at;
            state.peers[member_id{id}].known_commit = known_commit;
        }
    }

    log_index confirmed(duration later)
    {
        update_regular_members(members, state, now + later);
        return confirmed_index(members, state, now + later);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(confirmation_test)

// Guards against a plan that is acknowledged while two of three control processes can't know it.
BOOST_FIXTURE_TEST_CASE(entry_that_one_of_three_regular_members_knows_is_not_confirmed,
                        group_led_by_an_auxiliary_member)
{
    hear(2, 9, now + 10s);
    hear(5, 9, now + 10s);
    hear(3, 8, now);
    hear(4, 7, now);
    BOOST_TEST(confirmed(10s) == 8U);
    BOOST_TEST((list_unconfirming(members, state, 9, now + 10s) ==
                std::vector<std::string>{"control-a", "control-b"}));
}

BOOST_FIXTURE_TEST_CASE(entry_that_two_of_three_regular_members_know_is_confirmed,
                        group_led_by_an_auxiliary_member)
{
    hear(4, 9, now);
    hear(5, 9, now);
    BOOST_TEST(confirmed(0s) == 9U);
}

BOOST_FIXTURE_TEST_CASE(entry_that_is_not_committed_is_not_confirmed, group_led_by_an_auxiliary_member)
{
    hear(3, 9, now);
    hear(4, 9, now);
    state.commit = 6;
    BOOST_TEST(confirmed(0s) == 6U);
}

BOOST_FIXTURE_TEST_CASE(regular_members_without_contact_for_long_are_not_awaited,
                        group_led_by_an_auxiliary_member)
{
    hear(5, 9, now + absence_timeout);
    BOOST_TEST(confirmed(absence_timeout - 1ms) == 0U);
    BOOST_TEST(confirmed(absence_timeout) == 9U);
}

// Guards against an acknowledgement that counts what a member knew before it lost its disk.
BOOST_FIXTURE_TEST_CASE(member_that_lost_its_disk_confirms_nothing_until_it_knows_it_again,
                        group_led_by_an_auxiliary_member)
{
    hear(4, 9, now);
    hear(5, 9, now);
    add(6, "control-b", "b", false);
    BOOST_TEST(confirmed(0s) == 0U);
    hear(6, 9, now);
    BOOST_TEST(confirmed(0s) == 9U);
}

BOOST_FIXTURE_TEST_CASE(successor_in_the_same_data_centre_is_awaited_instead_of_a_lost_member,
                        group_led_by_an_auxiliary_member)
{
    update_regular_members(members, state, now + 2s);
    add(6, "control-d", "c", false);
    hear(4, 9, now + 3s);
    hear(6, 9, now + 3s);
    hear(3, 8, now + 3s);
    BOOST_TEST(confirmed(3s) == 9U);
}

// Guards against an acknowledgement without members that the group replaced while they were cut off.
BOOST_FIXTURE_TEST_CASE(member_that_was_removed_is_awaited_until_it_counts_as_down,
                        group_led_by_an_auxiliary_member)
{
    remove(3);
    remove(4);
    hear(5, 9, now + 10s);
    BOOST_TEST(confirmed(10s) == 0U);
    BOOST_TEST(confirmed(absence_timeout) == 9U);
}

BOOST_FIXTURE_TEST_CASE(group_without_regular_members_confirms_what_is_committed,
                        group_led_by_an_auxiliary_member)
{
    state.memberships.back().value.members.resize(2);
    members.clear();
    BOOST_TEST(confirmed(0s) == 9U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
