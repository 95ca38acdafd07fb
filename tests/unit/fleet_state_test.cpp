// What the control group of a fleet agrees on.
#include "core/fleet_state.hpp"
#include "wire.pb.h"

#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

using namespace core;
using namespace std::chrono_literals;

namespace {

wire::fleet_command make_publication(std::uint64_t version, const std::string& bytes)
{
    wire::fleet_command made;
    made.mutable_publish()->set_version(version);
    made.mutable_publish()->set_document(bytes);
    return made;
}

/// Three blank stores in three data centres, seen by a control replica.
struct three_stores {
    fleet_state state;
    std::map<std::string, store_status> stores;
    time_point now{1h};

    three_stores()
    {
        for (int i = 1; i <= 3; ++i) {
            add(i);
        }
    }

    store_status& add(int number)
    {
        const std::string text = std::to_string(number);
        store_status& made = stores["e" + text];
        made.name = "store-" + text;
        made.endpoint = "e" + text;
        made.data_centre = "place-" + std::to_string((number - 1) % 3);
        made.disk = consensus::member_id{static_cast<std::uint64_t>(number)};
        made.heard_at = now;
        return made;
    }

    void order_retirement(const std::string& name)
    {
        wire::fleet_command command;
        command.mutable_retire()->set_name(name);
        execute(state, command);
    }

    retirement_phase phase(const std::string& name)
    {
        return evaluate_retirement(state, stores, name, 3, now);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_state_test)

BOOST_FIXTURE_TEST_CASE(document_with_a_version_that_is_not_higher_changes_nothing, three_stores)
{
    BOOST_TEST(execute(state, make_publication(7, "seven")));
    BOOST_TEST(!execute(state, make_publication(7, "other")));
    BOOST_TEST(!execute(state, make_publication(6, "six")));
    BOOST_TEST(state.document == "seven");
    BOOST_TEST(state.revision == 1U);
}

BOOST_FIXTURE_TEST_CASE(evacuation_that_is_ordered_twice_counts_once_and_is_withdrawn_once, three_stores)
{
    wire::fleet_command out;
    out.mutable_evacuation()->set_data_centre("a");
    out.mutable_evacuation()->set_out(true);
    BOOST_TEST(execute(state, out));
    BOOST_TEST(!execute(state, out));
    out.mutable_evacuation()->set_out(false);
    BOOST_TEST(execute(state, out));
    BOOST_TEST(state.evacuated_data_centres.empty());
}

BOOST_FIXTURE_TEST_CASE(state_survives_its_encoding, three_stores)
{
    execute(state, make_publication(7, "seven"));
    order_retirement("store-1");
    BOOST_TEST(encode_state(decode_fleet_state(encode_state(state))) == encode_state(state));
}

BOOST_FIXTURE_TEST_CASE(founders_are_spread_over_data_centres_and_none_while_too_few_are_known, three_stores)
{
    add(4);
    const initial_member_lists lists = choose_initial_members(stores, 1, 3);
    BOOST_REQUIRE(lists.size() == 1U);
    std::set<std::string> places;
    for (const consensus::member& one : lists.front()) {
        places.insert(one.data_centre);
    }
    BOOST_TEST(places.size() == 3U);
    BOOST_TEST(choose_initial_members(stores, 1, 5).empty());
}

BOOST_FIXTURE_TEST_CASE(founders_of_several_groups_share_the_stores_and_begin_with_different_ones,
                        three_stores)
{
    for (int i = 4; i <= 9; ++i) {
        add(i);
    }
    const initial_member_lists lists =
        choose_initial_members(stores, choose_ledger_group_count(stores.size()), 5);
    BOOST_REQUIRE(lists.size() == 3U);
    std::map<std::string, std::size_t> seats;
    std::set<std::string> first;
    for (const auto& members : lists) {
        BOOST_TEST(members.size() == 5U);
        first.insert(members.front().name);
        std::map<std::string, std::size_t> places;
        for (const consensus::member& one : members) {
            ++seats[one.name];
            BOOST_TEST(++places[one.data_centre] <= 2U);
        }
    }
    BOOST_TEST(first.size() == 3U);
    for (const auto& [name, count] : seats) {
        BOOST_TEST(count <= 2U);
    }
    BOOST_TEST(seats.size() == 9U);
}

BOOST_AUTO_TEST_CASE(organisation_while_the_ledgers_are_unknown_has_no_group_and_later_always_the_same)
{
    const organisation_name who{"hule930"};
    BOOST_TEST(!ledger_group_of(who, 0).has_value());
    BOOST_TEST(ledger_group_of(who, 1).value() == 1U);
    BOOST_TEST(ledger_group_of(who, 3).value() == ledger_group_of(who, 3).value());
    std::set<std::uint32_t> groups;
    for (int i = 0; i < 100; ++i) {
        groups.insert(ledger_group_of(organisation_name{"o" + std::to_string(i)}, 3).value());
    }
    BOOST_TEST((groups == std::set<std::uint32_t>{1, 2, 3}));
}

BOOST_FIXTURE_TEST_CASE(store_that_holds_a_group_already_founds_none, three_stores)
{
    stores["e1"].groups[1].blank = false;
    BOOST_TEST(choose_initial_members(stores, 1, 3).empty());
}

BOOST_FIXTURE_TEST_CASE(store_that_leaves_too_few_behind_can_not_retire, three_stores)
{
    BOOST_TEST((phase("store-1") == retirement_phase::impossible));
    BOOST_TEST((phase("nobody") == retirement_phase::unknown));
    add(4);
    BOOST_TEST((phase("store-1") == retirement_phase::possible));
}

BOOST_FIXTURE_TEST_CASE(retirement_is_complete_only_with_all_voters_elsewhere_and_alive, three_stores)
{
    wire::fleet_command founding;
    to_wire(choose_initial_members(stores, 2, 3), founding.mutable_found()->mutable_ledgers());
    execute(state, founding);
    order_retirement("store-1");
    store_status& store = add(4);
    for (const std::uint32_t group : {1U, 2U}) {
        ledger_group_status& leader = store.groups[group];
        leader.blank = false;
        leader.leads = true;
        for (const int number : {1, 2, 3}) {
            const std::string text = std::to_string(number);
            leader.members.push_back(
                {consensus::member_id{std::uint64_t(number)}, "store-" + text, "e" + text, true, 0, ""});
        }
    }
    BOOST_TEST((phase("store-1") == retirement_phase::running));
    store.groups[1].members.front().name = "store-4";
    BOOST_TEST((phase("store-1") == retirement_phase::running));
    store.groups[2].members.front().name = "store-4";
    store.groups[2].unreachable_members = {"store-3"};
    BOOST_TEST((phase("store-1") == retirement_phase::running));
    store.groups[2].unreachable_members.clear();
    BOOST_TEST((phase("store-1") == retirement_phase::completed));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
