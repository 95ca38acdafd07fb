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
    std::map<std::string, store_view> stores;
    time_point now{1h};

    three_stores()
    {
        for (int i = 1; i <= 3; ++i) {
            add(i);
        }
    }

    store_view& add(int number)
    {
        const std::string text = std::to_string(number);
        store_view& made = stores["e" + text];
        made.name = "store-" + text;
        made.endpoint = "e" + text;
        made.data_centre = "place-" + std::to_string((number - 1) % 3);
        made.disk = consensus::member_id{static_cast<std::uint64_t>(number)};
        made.blank = true;
        made.heard_at = now;
        return made;
    }

    void order_retirement(const std::string& name)
    {
        wire::fleet_command command;
        command.mutable_retire()->set_name(name);
        execute(state, command);
    }

    retire_phase phase(const std::string& name) { return judge_retirement(state, stores, name, 3, now); }
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
    BOOST_TEST(state.evacuated.empty());
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
    const auto chosen = choose_founders(stores, 3);
    std::set<std::string> places;
    for (const consensus::member& one : chosen) {
        places.insert(one.data_centre);
    }
    BOOST_TEST(places.size() == 3U);
    BOOST_TEST(choose_founders(stores, 5).empty());
}

BOOST_FIXTURE_TEST_CASE(store_that_leaves_too_few_behind_can_not_retire, three_stores)
{
    BOOST_TEST((phase("store-1") == retire_phase::impossible));
    BOOST_TEST((phase("nobody") == retire_phase::unknown));
    add(4);
    BOOST_TEST((phase("store-1") == retire_phase::possible));
}

BOOST_FIXTURE_TEST_CASE(retirement_is_complete_only_with_all_voters_elsewhere_and_alive, three_stores)
{
    store_view& leader = add(4);
    leader.leads = true;
    order_retirement("store-1");
    for (const int number : {1, 2, 3}) {
        const std::string text = std::to_string(number);
        leader.members.push_back(
            {consensus::member_id{std::uint64_t(number)}, "store-" + text, "e" + text, true, 0, ""});
    }
    BOOST_TEST((phase("store-1") == retire_phase::running));
    leader.members.front().name = "store-4";
    leader.silent_members = {"store-3"};
    BOOST_TEST((phase("store-1") == retire_phase::running));
    leader.silent_members.clear();
    BOOST_TEST((phase("store-1") == retire_phase::completed));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
