// Where calls run: cache, load, cold and silent instances.
#include "placing/placing_func.hpp"

#include <boost/test/unit_test.hpp>

#include <map>

namespace guavawick::tests {

using namespace placing;
using namespace std::chrono_literals;

namespace {

/// Several engines in two data centres.
struct engines {
    std::map<int, directory::instance_record> records;
    std::map<int, instance_load> loads;
    std::vector<candidate> candidates;
    placement_request wish;
    time_point now{1h};

    engines()
    {
        for (int i = 0; i < 4; ++i) {
            records[i].id = directory::instance_id{"i" + std::to_string(i)};
            records[i].data_centre = data_centre_name{i % 2 == 0 ? "a" : "b"};
            records[i].slots = 64;
            candidates.push_back({&records[i], &loads[i]});
        }
        wish.model = true;
        wish.affinity_key = "program";
        wish.prompt_tokens = 6000;
        wish.shared_prefix_tokens = 2500;
        wish.own_data_centre = data_centre_name{"a"};
    }

    std::string choose_id()
    {
        const int chosen = choose_instance(candidates, wish, placement_costs{}, now);
        return chosen < 0 ? "" : candidates[static_cast<std::size_t>(chosen)].record->id.value;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(placing_test)

BOOST_FIXTURE_TEST_CASE(line_of_turns_stays_at_its_warm_engine_while_others_are_less_loaded, engines)
{
    wish.warm_instance = "i3";
    loads[3].own_running = 10;
    BOOST_TEST(choose_id() == "i3");
}

BOOST_FIXTURE_TEST_CASE(engine_that_failed_a_call_is_avoided_and_later_tried_again, engines)
{
    wish.warm_instance = "i3";
    record_answer(loads[3], true, now);
    BOOST_TEST(choose_id() != "i3");
    now += 15s;
    BOOST_TEST(choose_id() == "i3");
}

BOOST_FIXTURE_TEST_CASE(engine_that_is_silent_on_a_call_is_avoided_until_it_answers, engines)
{
    wish.warm_instance = "i3";
    record_silence(loads[3], now);
    BOOST_TEST(choose_id() != "i3");
    record_answer(loads[3], false, now);
    BOOST_TEST(choose_id() == "i3");
    record_silence(loads[3], now);
    now += 2s;
    BOOST_TEST(choose_id() == "i3"); // one call tries it again
}

BOOST_AUTO_TEST_CASE(silence_limit_follows_the_objective_and_has_a_floor)
{
    BOOST_TEST((suspicion_timeout(duration{}) == 800ms));
    BOOST_TEST((suspicion_timeout(200ms) == 800ms));
    BOOST_TEST((suspicion_timeout(600ms) == 2400ms));
}

BOOST_FIXTURE_TEST_CASE(line_of_turns_leaves_an_engine_where_calls_wait, engines)
{
    wish.warm_instance = "i3";
    loads[3].reported_waiting = 20;
    loads[3].reported_at = now;
    BOOST_TEST(choose_id() != "i3");
}

BOOST_FIXTURE_TEST_CASE(engine_that_was_tried_is_not_chosen_again, engines)
{
    wish.warm_instance = "i3";
    wish.tried_instances.insert("i3");
    BOOST_TEST(choose_id() != "i3");
}

BOOST_FIXTURE_TEST_CASE(engine_that_did_not_answer_is_avoided_until_its_suspicion_ends, engines)
{
    wish.warm_instance = "i3";
    record_failure(loads[3], now);
    BOOST_TEST(choose_id() != "i3");
    now += 3s;
    BOOST_TEST(choose_id() == "i3");
}

BOOST_FIXTURE_TEST_CASE(all_engines_suspected_still_get_the_call, engines)
{
    for (auto& [number, load] : loads) {
        record_failure(load, now);
    }
    BOOST_TEST(!choose_id().empty());
}

BOOST_FIXTURE_TEST_CASE(cold_engines_get_no_more_than_their_share_in_any_second, engines)
{
    wish.cold_rate_share = 2.0;
    for (auto& [number, record] : records) {
        record.cold_until = now + 10s;
    }
    int sent = 0;
    for (int step = 0; step < 100; ++step) {
        sent += choose_id().empty() ? 0 : 1;
        now += 10ms;
    }
    BOOST_TEST(sent > 0);
    BOOST_TEST(sent <= 4 * 3); // each of four: one at once and two in the second
}

BOOST_FIXTURE_TEST_CASE(plain_service_under_load_spreads_calls_over_all_instances, engines)
{
    wish.model = false;
    std::map<std::string, int> sent;
    for (int i = 0; i < 40; ++i) {
        wish.affinity_key = std::to_string(i);
        const std::string id = choose_id();
        ++sent[id];
        ++loads[id.back() - '0'].own_running;
    }
    BOOST_TEST(sent.size() == 4U);
    for (const auto& [id, count] : sent) {
        BOOST_TEST(count >= 8);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
