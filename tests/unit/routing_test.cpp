// The choice of an upstream and of an entry's subset.
#include "routing/routing_func.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

namespace guavawick::tests {

using namespace routing;

namespace {

candidate make_candidate(const std::string& name)
{
    candidate made;
    made.name = upstream_name{name};
    made.load.window = 8;
    return made;
}

} // namespace

BOOST_AUTO_TEST_SUITE(routing_test)

BOOST_AUTO_TEST_CASE(program_stays_with_its_cache_while_the_wait_there_costs_less_than_the_prefill)
{
    std::vector<candidate> there{make_candidate("a"), make_candidate("b")};
    routing_request wish;
    wish.prompt_tokens = 40000;
    there[0].cached_tokens = 39000;
    there[0].load.running = 9;
    BOOST_TEST(choose_upstream(there, wish).value() == 0U);
    there[0].load.queued = 400;
    there[0].load.mean_call_seconds = 10;
    BOOST_TEST(choose_upstream(there, wish).value() == 1U);
}

BOOST_AUTO_TEST_CASE(calls_sent_since_the_report_count_as_load)
{
    std::vector<candidate> there{make_candidate("a"), make_candidate("b")};
    there[0].sent_since_report = 30;
    for (std::uint64_t turn = 0; turn < 10; ++turn) {
        routing_request wish;
        wish.call_number = turn;
        BOOST_TEST(choose_upstream(there, wish).value() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(suspect_runs_only_where_no_other_suspect_runs)
{
    std::vector<candidate> there{make_candidate("a"), make_candidate("b")};
    there[0].load.suspects = 1;
    there[1].load.queued = 100;
    routing_request wish;
    wish.suspect = true;
    BOOST_TEST(choose_upstream(there, wish).value() == 1U);
    there[1].load.suspects = 1;
    BOOST_TEST(!choose_upstream(there, wish).has_value());
}

BOOST_AUTO_TEST_CASE(two_entries_without_knowledge_choose_the_same_home_for_a_program)
{
    std::vector<candidate> there;
    for (int i = 0; i < 10; ++i) {
        there.push_back(make_candidate("u" + std::to_string(i)));
    }
    for (std::uint64_t program = 1; program < 50; ++program) {
        routing_request one;
        one.affinity_hash = program;
        routing_request other = one;
        other.call_number = 7;
        BOOST_TEST(choose_upstream(there, one).value() == choose_upstream(there, other).value());
    }
}

BOOST_AUTO_TEST_CASE(own_data_centre_goes_first_until_it_is_full)
{
    std::vector<candidate> there{make_candidate("near"), make_candidate("far")};
    there[1].own_data_centre = false;
    BOOST_TEST(choose_upstream(there, {}).value() == 0U);
    there[0].load.running = 8;
    there[0].load.queued = 4;
    BOOST_TEST(choose_upstream(there, {}).value() == 1U);
}

BOOST_AUTO_TEST_CASE(subsets_prefer_the_own_data_centre_and_spread_over_entries)
{
    std::vector<std::string> names;
    std::vector<bool> own;
    for (int i = 0; i < 100; ++i) {
        names.push_back("u" + std::to_string(i));
        own.push_back(i < 50);
    }
    std::map<std::size_t, int> chosen;
    for (std::uint64_t entry = 1; entry <= 200; ++entry) {
        const auto places = pick_subset(names, own, entry, 10);
        BOOST_TEST(places.size() == 10U);
        BOOST_TEST((places == pick_subset(names, own, entry, 10)));
        for (const std::size_t place : places) {
            BOOST_TEST(place < 50U);
            ++chosen[place];
        }
    }
    BOOST_TEST(chosen.size() == 50U); // no upstream of the data centre is left out
    BOOST_TEST(pick_subset(names, own, 1, 60).size() == 60U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
