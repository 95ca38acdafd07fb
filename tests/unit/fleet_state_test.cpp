// State machine of a fleet's control group: documents, evacuations, initial members and retirement of stores.
#include "core/fleet_state.hpp"
#include "wire.pb.h"

#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

using namespace core;
using namespace std::chrono_literals;

namespace {

wire::fleet_command make_publish_command(std::uint64_t version, const std::string& bytes)
{
    wire::fleet_command command;
    command.mutable_publish()->set_version(version);
    command.mutable_publish()->set_document(bytes);
    return command;
}

/// A control replica with reports of three blank stores in three data centres.
struct three_stores {
    fleet_state state;
    std::map<std::string, store_status> stores;
    time_point now{1h};
    time_point observed_since{};

    three_stores()
    {
        for (int i = 1; i <= 3; ++i) {
            add(i);
        }
    }

    store_status& add(int number)
    {
        const std::string suffix = std::to_string(number);
        store_status& store = stores["e" + suffix];
        store.name = "store-" + suffix;
        store.endpoint = "e" + suffix;
        store.data_centre = "place-" + std::to_string((number - 1) % 3);
        store.disk_id = consensus::member_id{static_cast<std::uint64_t>(number)};
        store.last_report_at = now;
        return store;
    }

    void start_retirement(const std::string& name)
    {
        wire::fleet_command command;
        command.mutable_retire()->set_name(name);
        execute(state, command);
    }

    retirement_phase phase(const std::string& name)
    {
        return evaluate_retirement(state, stores, name, 3, observed_since, now);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_state_test)

BOOST_FIXTURE_TEST_CASE(document_with_a_version_that_is_not_higher_changes_nothing, three_stores)
{
    BOOST_TEST(execute(state, make_publish_command(7, "seven")));
    BOOST_TEST(!execute(state, make_publish_command(7, "other")));
    BOOST_TEST(!execute(state, make_publish_command(6, "six")));
    BOOST_TEST(state.document == "seven");
    BOOST_TEST(state.revision == 1U);
}

BOOST_FIXTURE_TEST_CASE(repeated_evacuation_changes_nothing_and_is_ended_once, three_stores)
{
    wire::fleet_command command;
    command.mutable_evacuation()->set_data_centre("a");
    command.mutable_evacuation()->set_out(true);
    BOOST_TEST(execute(state, command));
    BOOST_TEST(!execute(state, command));
    command.mutable_evacuation()->set_out(false);
    BOOST_TEST(execute(state, command));
    BOOST_TEST(state.evacuated_data_centres.empty());
}

// Guards against an acknowledged evacuation that is undone by an older order, delayed on its way to the
// leader.
BOOST_FIXTURE_TEST_CASE(order_based_on_a_state_before_the_last_order_changes_nothing, three_stores)
{
    wire::fleet_command start;
    start.mutable_evacuation()->set_data_centre("a");
    start.mutable_evacuation()->set_out(true);
    start.set_expected_order_count(0);
    BOOST_TEST(execute(state, start));
    wire::fleet_command delayed_finish;
    delayed_finish.mutable_evacuation()->set_data_centre("a");
    delayed_finish.set_expected_order_count(1);
    wire::fleet_command finish = delayed_finish; // the same order, sent to another replica
    BOOST_TEST(execute(state, finish));
    start.set_expected_order_count(2);
    BOOST_TEST(execute(state, start));
    BOOST_TEST(is_superseded(state, delayed_finish));
    BOOST_TEST(!execute(state, delayed_finish));
    BOOST_TEST(state.evacuated_data_centres.contains("a"));
}

BOOST_FIXTURE_TEST_CASE(order_that_changes_nothing_supersedes_older_ones, three_stores)
{
    wire::fleet_command finish;
    finish.mutable_evacuation()->set_data_centre("a");
    execute(state, finish);
    start_retirement("store-1");
    BOOST_TEST(state.order_count == 2U);
    BOOST_TEST(decode_fleet_state(encode_state(state)).order_count == 2U);
}

BOOST_FIXTURE_TEST_CASE(state_is_unchanged_by_encoding_and_decoding, three_stores)
{
    execute(state, make_publish_command(7, "seven"));
    start_retirement("store-1");
    BOOST_TEST(encode_state(decode_fleet_state(encode_state(state))) == encode_state(state));
}

BOOST_FIXTURE_TEST_CASE(initial_members_are_spread_over_data_centres_and_none_are_chosen_among_too_few_stores,
                        three_stores)
{
    add(4);
    const initial_member_lists lists = choose_initial_members(stores, 1, 3);
    BOOST_REQUIRE(lists.size() == 1U);
    std::set<std::string> data_centres;
    for (const consensus::member& member : lists.front()) {
        data_centres.insert(member.data_centre);
    }
    BOOST_TEST(data_centres.size() == 3U);
    BOOST_TEST(choose_initial_members(stores, 1, 5).empty());
}

// Guards against a control replica that announces another number of groups, which decides where turns are.
BOOST_FIXTURE_TEST_CASE(groups_that_were_founded_are_not_replaced, three_stores)
{
    wire::fleet_command founding;
    to_wire(choose_initial_members(stores, 1, 3), founding.mutable_found()->mutable_ledgers());
    BOOST_TEST(execute(state, founding));
    wire::fleet_command second_founding;
    to_wire(choose_initial_members(stores, 2, 3), second_founding.mutable_found()->mutable_ledgers());
    BOOST_TEST(!execute(state, second_founding));
    BOOST_TEST(state.initial_members.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(initial_members_of_several_groups_share_the_stores_and_have_different_first_leaders,
                        three_stores)
{
    for (int i = 4; i <= 9; ++i) {
        add(i);
    }
    const initial_member_lists lists =
        choose_initial_members(stores, choose_ledger_group_count(stores.size()), 5);
    BOOST_REQUIRE(lists.size() == 3U);
    std::map<std::string, std::size_t> group_counts;
    std::set<std::string> first_leaders;
    for (const auto& members : lists) {
        BOOST_TEST(members.size() == 5U);
        first_leaders.insert(members.front().name);
        std::map<std::string, std::size_t> data_centres;
        for (const consensus::member& member : members) {
            ++group_counts[member.name];
            BOOST_TEST(++data_centres[member.data_centre] <= 2U);
        }
    }
    BOOST_TEST(first_leaders.size() == 3U);
    for (const auto& [name, count] : group_counts) {
        BOOST_TEST(count <= 2U);
    }
    BOOST_TEST(group_counts.size() == 9U);
}

BOOST_AUTO_TEST_CASE(organisation_has_no_group_while_the_group_count_is_unknown_and_then_always_the_same)
{
    const organisation_name organisation{"hule930"};
    BOOST_TEST(!ledger_group_of(organisation, 0).has_value());
    BOOST_TEST(ledger_group_of(organisation, 1).value() == 1U);
    BOOST_TEST(ledger_group_of(organisation, 3).value() == ledger_group_of(organisation, 3).value());
    std::set<std::uint32_t> groups;
    for (int i = 0; i < 100; ++i) {
        groups.insert(ledger_group_of(organisation_name{"o" + std::to_string(i)}, 3).value());
    }
    BOOST_TEST((groups == std::set<std::uint32_t>{1, 2, 3}));
}

BOOST_FIXTURE_TEST_CASE(store_that_holds_group_data_is_no_initial_member, three_stores)
{
    stores["e1"].groups[1].blank = false;
    BOOST_TEST(choose_initial_members(stores, 1, 3).empty());
}

BOOST_FIXTURE_TEST_CASE(store_can_not_retire_if_too_few_others_remain, three_stores)
{
    BOOST_TEST((phase("store-1") == retirement_phase::impossible));
    BOOST_TEST((phase("nobody") == retirement_phase::unknown));
    add(4);
    BOOST_TEST((phase("store-1") == retirement_phase::possible));
}

// Guards against a refusal by a control replica that has just started and whose stores have not reported yet.
BOOST_FIXTURE_TEST_CASE(retirement_is_undetermined_until_all_stores_can_have_reported, three_stores)
{
    observed_since = now - 1s;
    BOOST_TEST((phase("store-1") == retirement_phase::undetermined));
    BOOST_TEST((phase("store-5") == retirement_phase::undetermined));
    add(4);
    BOOST_TEST((phase("store-1") == retirement_phase::possible));
    observed_since = now - 2s;
    BOOST_TEST((phase("store-5") == retirement_phase::unknown));
}

BOOST_FIXTURE_TEST_CASE(retirement_completes_only_when_all_voters_are_elsewhere_and_reachable, three_stores)
{
    wire::fleet_command founding;
    to_wire(choose_initial_members(stores, 2, 3), founding.mutable_found()->mutable_ledgers());
    execute(state, founding);
    start_retirement("store-1");
    store_status& store = add(4);
    for (const std::uint32_t group : {1U, 2U}) {
        ledger_group_status& leader = store.groups[group];
        leader.blank = false;
        leader.leads = true;
        for (const int number : {1, 2, 3}) {
            const std::string suffix = std::to_string(number);
            leader.members.push_back(
                {consensus::member_id{std::uint64_t(number)}, "store-" + suffix, "e" + suffix, true, 0, ""});
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
