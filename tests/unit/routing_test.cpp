// Upstream selection and the choice of an entry's subset of upstreams.
#include "routing/routing_func.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

namespace guavawick::tests {

using namespace routing;

namespace {

candidate make_candidate(const std::string& name)
{
    candidate upstream;
    upstream.name = upstream_name{name};
    upstream.load.window = 8;
    return upstream;
}

} // namespace

BOOST_AUTO_TEST_SUITE(routing_test)

BOOST_AUTO_TEST_CASE(program_stays_at_its_cached_upstream_while_the_wait_costs_less_than_a_prefill)
{
    std::vector<candidate> upstreams{make_candidate("a"), make_candidate("b")};
    routing_request request;
    request.prompt_tokens = 40000;
    upstreams[0].cached_tokens = 39000;
    upstreams[0].load.running = 9;
    BOOST_TEST(choose_upstream(upstreams, request).value() == 0U);
    upstreams[0].load.queued = 400;
    upstreams[0].load.mean_call_seconds = 10;
    BOOST_TEST(choose_upstream(upstreams, request).value() == 1U);
}

BOOST_AUTO_TEST_CASE(calls_sent_since_the_last_report_count_as_load)
{
    std::vector<candidate> upstreams{make_candidate("a"), make_candidate("b")};
    upstreams[0].sent_since_report = 30;
    for (std::uint64_t call_number = 0; call_number < 10; ++call_number) {
        routing_request request;
        request.call_number = call_number;
        BOOST_TEST(choose_upstream(upstreams, request).value() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(suspect_runs_only_where_no_other_suspect_runs)
{
    std::vector<candidate> upstreams{make_candidate("a"), make_candidate("b")};
    upstreams[0].load.suspects = 1;
    upstreams[1].load.queued = 100;
    routing_request request;
    request.suspect = true;
    BOOST_TEST(choose_upstream(upstreams, request).value() == 1U);
    upstreams[1].load.suspects = 1;
    BOOST_TEST(!choose_upstream(upstreams, request).has_value());
}

BOOST_AUTO_TEST_CASE(entries_without_shared_state_choose_the_same_home_for_a_program)
{
    std::vector<candidate> upstreams;
    for (int i = 0; i < 10; ++i) {
        upstreams.push_back(make_candidate("u" + std::to_string(i)));
    }
    for (std::uint64_t program = 1; program < 50; ++program) {
        routing_request first;
        first.affinity_hash = program;
        routing_request second = first;
        second.call_number = 7;
        BOOST_TEST(choose_upstream(upstreams, first).value() == choose_upstream(upstreams, second).value());
    }
}

BOOST_AUTO_TEST_CASE(own_data_centre_is_preferred_until_it_is_full)
{
    std::vector<candidate> upstreams{make_candidate("near"), make_candidate("far")};
    upstreams[1].own_data_centre = false;
    BOOST_TEST(choose_upstream(upstreams, {}).value() == 0U);
    upstreams[0].load.running = 8;
    upstreams[0].load.queued = 4;
    BOOST_TEST(choose_upstream(upstreams, {}).value() == 1U);
}

BOOST_AUTO_TEST_CASE(subsets_prefer_the_own_data_centre_and_cover_all_of_its_upstreams)
{
    std::vector<std::string> names;
    std::vector<bool> in_own_data_centre;
    for (int i = 0; i < 100; ++i) {
        names.push_back("u" + std::to_string(i));
        in_own_data_centre.push_back(i < 50);
    }
    std::map<std::size_t, int> times_chosen;
    for (std::uint64_t entry = 1; entry <= 200; ++entry) {
        const auto subset = pick_subset(names, in_own_data_centre, entry, 10);
        BOOST_TEST(subset.size() == 10U);
        BOOST_TEST((subset == pick_subset(names, in_own_data_centre, entry, 10)));
        for (const std::size_t index : subset) {
            BOOST_TEST(index < 50U);
            ++times_chosen[index];
        }
    }
    BOOST_TEST(times_chosen.size() == 50U); // every upstream of the data centre is in some entry's subset
    BOOST_TEST(pick_subset(names, in_own_data_centre, 1, 60).size() == 60U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
