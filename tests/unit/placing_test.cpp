// Placement of calls by prompt cache, load, cold start and suspicion.
#include "placing/placing_func.hpp"

#include <boost/test/unit_test.hpp>

#include <map>

namespace guavawick::tests {

using namespace placing;
using namespace std::chrono_literals;

namespace {

/// Four engines in two data centres, and a model call from data centre "a".
struct four_engines {
    std::map<int, directory::instance_record> records;
    std::map<int, instance_load> loads;
    std::vector<candidate> candidates;
    placement_request request;
    time_point now{1h};

    four_engines()
    {
        for (int i = 0; i < 4; ++i) {
            records[i].id = directory::instance_id{"i" + std::to_string(i)};
            records[i].data_centre = data_centre_name{i % 2 == 0 ? "a" : "b"};
            records[i].slots = 64;
            candidates.push_back({&records[i], &loads[i]});
        }
        request.model = true;
        request.affinity_key = "program";
        request.prompt_tokens = 6000;
        request.shared_prefix_tokens = 2500;
        request.own_data_centre = data_centre_name{"a"};
    }

    std::string choose_id()
    {
        const int index = choose_instance(candidates, request, placement_costs{}, now);
        return index < 0 ? "" : candidates[static_cast<std::size_t>(index)].record->id.value;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(placing_test)

BOOST_FIXTURE_TEST_CASE(line_of_turns_stays_at_its_warm_engine_while_others_have_less_load, four_engines)
{
    request.warm_instance = "i3";
    loads[3].own_running = 10;
    BOOST_TEST(choose_id() == "i3");
}

BOOST_FIXTURE_TEST_CASE(engine_that_failed_a_call_is_avoided_and_later_tried_again, four_engines)
{
    request.warm_instance = "i3";
    record_response(loads[3], true, now);
    BOOST_TEST(choose_id() != "i3");
    now += 15s;
    BOOST_TEST(choose_id() == "i3");
}

BOOST_FIXTURE_TEST_CASE(engine_without_output_on_a_call_is_avoided_until_it_answers, four_engines)
{
    request.warm_instance = "i3";
    record_silence(loads[3], now);
    BOOST_TEST(choose_id() != "i3");
    record_response(loads[3], false, now);
    BOOST_TEST(choose_id() == "i3");
    record_silence(loads[3], now);
    now += 2s;
    BOOST_TEST(choose_id() == "i3"); // one call probes it
}

BOOST_AUTO_TEST_CASE(suspicion_timeout_follows_the_objective_and_has_a_minimum)
{
    BOOST_TEST((suspicion_timeout(duration{}) == 800ms));
    BOOST_TEST((suspicion_timeout(200ms) == 800ms));
    BOOST_TEST((suspicion_timeout(600ms) == 2400ms));
}

BOOST_FIXTURE_TEST_CASE(line_of_turns_moves_away_from_an_engine_with_waiting_calls, four_engines)
{
    request.warm_instance = "i3";
    loads[3].reported_waiting = 20;
    loads[3].reported_at = now;
    BOOST_TEST(choose_id() != "i3");
}

BOOST_FIXTURE_TEST_CASE(engine_that_was_tried_is_not_chosen_again, four_engines)
{
    request.warm_instance = "i3";
    request.tried_instances.insert("i3");
    BOOST_TEST(choose_id() != "i3");
}

BOOST_FIXTURE_TEST_CASE(engine_that_did_not_answer_is_avoided_until_its_suspicion_ends, four_engines)
{
    request.warm_instance = "i3";
    record_failure(loads[3], now);
    BOOST_TEST(choose_id() != "i3");
    now += 3s;
    BOOST_TEST(choose_id() == "i3");
}

BOOST_FIXTURE_TEST_CASE(call_is_placed_even_if_all_engines_are_suspected, four_engines)
{
    for (auto& [number, load] : loads) {
        record_failure(load, now);
    }
    BOOST_TEST(!choose_id().empty());
}

BOOST_FIXTURE_TEST_CASE(cold_engines_get_no_more_calls_than_their_rate_share, four_engines)
{
    request.cold_rate_share = 2.0;
    for (auto& [number, record] : records) {
        record.cold_until = now + 10s;
    }
    int sent = 0;
    for (int step = 0; step < 100; ++step) {
        sent += choose_id().empty() ? 0 : 1;
        now += 10ms;
    }
    BOOST_TEST(sent > 0);
    BOOST_TEST(sent <= 4 * 3); // for each of the four: a burst of one, and two in the second
}

BOOST_FIXTURE_TEST_CASE(plain_service_under_load_spreads_calls_over_all_instances, four_engines)
{
    request.model = false;
    std::map<std::string, int> sent;
    for (int i = 0; i < 40; ++i) {
        request.affinity_key = std::to_string(i);
        const std::string id = choose_id();
        ++sent[id];
        ++loads[id.back() - '0'].own_running;
    }
    BOOST_TEST(sent.size() == 4U);
    for (const auto& [id, count] : sent) {
        BOOST_TEST(count >= 8);
    }
}

// Guards against an engine being taken for idle because its last report is old, so that many gateways choose
// it.
BOOST_FIXTURE_TEST_CASE(old_report_is_replaced_by_a_share_of_the_mean_step_by_step, four_engines)
{
    placement_costs costs;
    for (int i = 0; i < 3; ++i) {
        loads[i].reported_running = 20;
        loads[i].reported_at = now;
    }
    const auto cost_of = [&](int number) {
        return estimate_cost(candidates[static_cast<std::size_t>(number)], request, costs, 0,
                             estimate_typical_load(candidates, costs, now), now);
    };
    request.own_data_centre = {};
    BOOST_TEST(cost_of(3) < cost_of(0)); // without the feature an unheard engine counts as idle
    request.load_aware = true;
    request.learned_load = true;
    const double idle = estimate_cost(candidates[3], request, costs, 0, typical_load{}, now);
    BOOST_TEST(cost_of(3) > idle);
    BOOST_TEST(cost_of(3) < cost_of(0)); // it should be tried, or it would never be heard
    loads[3].reported_running = 40;
    loads[3].reported_at = now;
    const double fresh = cost_of(3) - cost_of(0);
    loads[3].reported_at = now - 3s;
    const double older = cost_of(3) - cost_of(0);
    loads[3].reported_at = now - 20s;
    const double oldest = cost_of(3) - cost_of(0);
    BOOST_TEST(fresh > older);
    BOOST_TEST(older > oldest);
    BOOST_TEST(oldest < 0);
    BOOST_TEST(cost_of(3) > idle);
}

BOOST_FIXTURE_TEST_CASE(engine_whose_memory_is_taken_counts_as_full_although_it_has_free_slots, four_engines)
{
    request.load_aware = true;
    request.learned_load = true;
    request.warm_instance = "i3";
    request.memory_tokens = 130'000;
    loads[3].own_running = 5;
    loads[3].own_tokens = 60'000;
    BOOST_TEST(choose_id() == "i3");
    loads[3].own_tokens = 240'000;
    BOOST_TEST(choose_id() != "i3");
    request.memory_tokens = 0; // not known
    BOOST_TEST(choose_id() == "i3");
}

// Guards against a warm engine that keeps the turns of a long history although it fails them.
BOOST_FIXTURE_TEST_CASE(warm_engine_that_fails_its_calls_loses_them, four_engines)
{
    request.load_aware = true;
    request.warm_instance = "i3";
    request.prompt_tokens = 8000;
    request.cached_tokens = {0, 0, 0, 8000};
    for (auto& [index, load] : loads) {
        load.own_running = 20;
    }
    BOOST_TEST(choose_id() == "i3");
    loads[3].error_rate = 0.95;
    loads[3].error_rate_at = now;
    BOOST_TEST(choose_id() != "i3");
}

// Guards against a slow engine that is avoided forever, or not at all.
BOOST_FIXTURE_TEST_CASE(slow_engine_is_avoided_and_tried_again_after_some_seconds, four_engines)
{
    request.load_aware = true;
    request.learned_load = true;
    request.warm_instance = "i3";
    loads[3].timing.log_slowness = 2;
    loads[3].timing.slowness_at = now;
    BOOST_TEST(choose_id() != "i3");
    now += 10s;
    BOOST_TEST(choose_id() == "i3");
    loads[3].timing.pace = 5;
    loads[3].timing.pace_at = now;
    BOOST_TEST(choose_id() != "i3");
    now += 2s;
    BOOST_TEST(choose_id() == "i3");
    request.learned_load = false;
    loads[3].timing.log_slowness = 3;
    loads[3].timing.slowness_at = now;
    BOOST_TEST(choose_id() == "i3");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
