// Attempt table, concurrency window and queue of a sidecar.
#include "random_run.hpp"
#include "scheduling/attempt_func.hpp"
#include "scheduling/queue_func.hpp"
#include "scheduling/window_func.hpp"

#include "base/hash_func.hpp"

#include <boost/test/unit_test.hpp>

#include <map>

namespace guavawick::tests {

using namespace scheduling;

namespace {

struct attempt_table_fixture {
    attempt_table table;

    attempt_table_fixture()
    {
        table.incarnation = incarnation_id{5};
        table.accepts_work = true;
    }

    offer_result offer_numbered(std::uint64_t attempt, std::uint64_t incarnation = 5)
    {
        return offer_attempt(
            table, {attempt_id{attempt}, incarnation_id{incarnation}, body_hash{attempt}, false, false});
    }
};

queued_call make_call(std::uint64_t attempt, const std::string& organisation, double cost_tokens,
                      time_point arrived_at, std::uint64_t attained_tokens = 0)
{
    queued_call call;
    call.attempt = attempt_id{attempt};
    call.organisation = organisation_name{organisation};
    call.cost_tokens = cost_tokens;
    call.arrived_at = arrived_at;
    call.attained_tokens = attained_tokens;
    return call;
}

const time_point test_start{std::chrono::hours(1)};

} // namespace

BOOST_AUTO_TEST_SUITE(scheduling_test)

BOOST_FIXTURE_TEST_CASE(delayed_duplicate_of_a_finished_attempt_never_starts_again, attempt_table_fixture)
{
    BOOST_TEST((offer_numbered(1).decision == offer_decision::queue));
    mark_running(table, attempt_id{1});
    BOOST_TEST((offer_numbered(1).decision == offer_decision::join));
    mark_finished(table, attempt_id{1});
    release(table, attempt_id{1});
    BOOST_TEST((offer_numbered(1).decision == offer_decision::refuse));
}

BOOST_FIXTURE_TEST_CASE(tombstoned_attempt_that_arrives_later_is_refused, attempt_table_fixture)
{
    BOOST_TEST((tombstone(table, attempt_id{1}) == attempt_status::tombstoned));
    BOOST_TEST((offer_numbered(1).error == failure::tombstoned));
}

BOOST_FIXTURE_TEST_CASE(running_attempt_is_not_tombstoned, attempt_table_fixture)
{
    offer_numbered(1);
    mark_running(table, attempt_id{1});
    BOOST_TEST((tombstone(table, attempt_id{1}) == attempt_status::running));
}

BOOST_FIXTURE_TEST_CASE(attempt_refused_while_work_is_disabled_never_starts_later, attempt_table_fixture)
{
    table.accepts_work = false;
    BOOST_TEST((offer_numbered(1).error == failure::configuration_stale));
    table.accepts_work = true;
    BOOST_TEST((offer_numbered(1).error == failure::tombstoned));
}

BOOST_FIXTURE_TEST_CASE(claim_of_an_earlier_incarnation_is_refused, attempt_table_fixture)
{
    offer_numbered(1);
    BOOST_TEST(renew_incarnation(table, incarnation_id{6}).size() == 1U);
    BOOST_TEST((offer_numbered(1).decision == offer_decision::refuse));
    BOOST_TEST((offer_numbered(2).error == failure::incarnation_mismatch));
    BOOST_TEST((offer_numbered(3, 6).decision == offer_decision::queue));
}

BOOST_FIXTURE_TEST_CASE(two_suspects_never_run_concurrently, attempt_table_fixture)
{
    BOOST_TEST(
        (offer_attempt(table, {attempt_id{1}, incarnation_id{5}, body_hash{1}, true, false}).decision ==
         offer_decision::queue));
    BOOST_TEST((offer_attempt(table, {attempt_id{2}, incarnation_id{5}, body_hash{2}, true, false}).error ==
                failure::busy));
    BOOST_TEST((offer_numbered(3).decision == offer_decision::queue));
    mark_running(table, attempt_id{1});
    mark_finished(table, attempt_id{1});
    BOOST_TEST(
        (offer_attempt(table, {attempt_id{4}, incarnation_id{5}, body_hash{2}, true, false}).decision ==
         offer_decision::queue));
}

BOOST_FIXTURE_TEST_CASE(random_offers_start_each_attempt_at_most_once, attempt_table_fixture)
{
    for (const std::uint64_t seed : seeds({41, 42, 43})) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::uint64_t random = seed;
            std::map<std::uint64_t, int> starts;
            std::map<std::uint64_t, bool> reported_not_executed;
            for (int i = 0; i < 20000; ++i) {
                const std::uint64_t attempt = 1000 * seed + next_random(random) % 500;
                const attempt_status status = status_of(table, attempt_id{attempt});
                switch (next_random(random) % 8) {
                case 0:
                case 1:
                    reported_not_executed[attempt] =
                        offer_numbered(attempt, table.incarnation.value).decision == offer_decision::refuse &&
                        starts[attempt] == 0;
                    break;
                case 2:
                    if (status == attempt_status::queued) {
                        mark_running(table, attempt_id{attempt});
                        ++starts[attempt];
                        BOOST_REQUIRE(!reported_not_executed[attempt]);
                    }
                    break;
                case 3:
                    if (status == attempt_status::running) {
                        mark_finished(table, attempt_id{attempt});
                    }
                    break;
                case 4:
                    release(table, attempt_id{attempt});
                    break;
                case 5:
                    reported_not_executed[attempt] =
                        tombstone(table, attempt_id{attempt}) == attempt_status::tombstoned &&
                        starts[attempt] == 0;
                    break;
                case 6:
                    table.accepts_work = next_random(random) % 4 != 0;
                    break;
                default:
                    if (next_random(random) % 50 == 0) {
                        renew_incarnation(table, incarnation_id{next_random(random)});
                    }
                }
                BOOST_REQUIRE(starts[attempt] <= 1);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(window_of_a_new_upstream_starts_at_one_and_doubles_up_to_its_slots)
{
    window_state window;
    window.options = {64, 2s};
    set_reported_slots(window, 32);
    std::uint64_t rounds = 0;
    while (window_limit(window) < 32) {
        const std::uint64_t limit = window_limit(window);
        for (std::uint64_t i = 0; i < limit; ++i) {
            BOOST_REQUIRE(may_start(window));
            record_start(window);
        }
        BOOST_REQUIRE(!may_start(window));
        for (std::uint64_t i = 0; i < limit; ++i) {
            record_first_token(window, 100ms, 0ms, test_start);
            record_end(window);
        }
        BOOST_REQUIRE(++rounds < 10U);
    }
    BOOST_TEST(rounds == 5U);
}

BOOST_AUTO_TEST_CASE(window_never_exceeds_the_reported_slots)
{
    window_state window;
    window.options = {64, 2s};
    set_reported_slots(window, 6);
    for (int i = 0; i < 200; ++i) {
        record_first_token(window, 10ms, 0ms, test_start);
        BOOST_REQUIRE(window_limit(window) <= 6U);
    }
}

BOOST_AUTO_TEST_CASE(window_of_an_upstream_that_turns_cold_is_reset_to_one)
{
    window_state window;
    window.options = {64, 2s};
    for (int i = 0; i < 40; ++i) {
        record_first_token(window, 100ms, 0ms, test_start);
    }
    BOOST_REQUIRE(window_limit(window) > 30U);
    BOOST_TEST(record_first_token(window, 1500ms, 0ms, test_start));
    BOOST_TEST(window_limit(window) == 1U);
}

BOOST_AUTO_TEST_CASE(long_prefill_of_an_uncached_prompt_does_not_reset_the_window)
{
    window_state window;
    window.options = {64, 2s};
    for (int i = 0; i < 40; ++i) {
        record_first_token(window, 100ms, 0ms, test_start);
    }
    const std::uint64_t limit_before = window_limit(window);
    BOOST_TEST(!record_first_token(window, 8s, prefill_allowance(20000, 4000), test_start));
    BOOST_TEST(window_limit(window) >= limit_before);
}

BOOST_AUTO_TEST_CASE(burst_of_latencies_over_the_goal_shrinks_the_window_once)
{
    window_state window;
    window.options = {64, 500ms};
    for (int i = 0; i < 30; ++i) {
        record_first_token(window, 400ms, 0ms, test_start);
    }
    const std::uint64_t limit_before = window_limit(window);
    for (int i = 0; i < 10; ++i) {
        record_first_token(window, 700ms, 0ms, test_start + 5s);
    }
    BOOST_TEST(window_limit(window) < limit_before);
    BOOST_TEST(window_limit(window) >= limit_before / 2);
}

BOOST_AUTO_TEST_CASE(organisation_with_five_times_the_calls_gets_no_more_than_its_fair_share)
{
    call_queue queue;
    std::uint64_t attempt = 0;
    for (int i = 0; i < 500; ++i) {
        push(queue, make_call(++attempt, "loud", 100, test_start));
    }
    for (int i = 0; i < 100; ++i) {
        push(queue, make_call(++attempt, "quiet", 100, test_start));
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 100; ++i) {
        ++served[pop(queue)->organisation.value];
    }
    BOOST_TEST(served["quiet"] == 50);
}

BOOST_AUTO_TEST_CASE(organisation_with_twice_the_weight_gets_twice_the_work)
{
    call_queue queue;
    std::uint64_t attempt = 0;
    for (int i = 0; i < 300; ++i) {
        queued_call heavy = make_call(++attempt, "heavy", 50, test_start);
        heavy.weight = 2;
        push(queue, heavy);
        push(queue, make_call(++attempt, "light", 50, test_start));
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 300; ++i) {
        ++served[pop(queue)->organisation.value];
    }
    BOOST_TEST(served["heavy"] == 200);
}

BOOST_AUTO_TEST_CASE(program_with_least_attained_service_runs_first_and_ageing_prevents_starvation)
{
    call_queue queue;
    push(queue, make_call(1, "o", 10, test_start, 50000));
    push(queue, make_call(2, "o", 10, test_start, 100));
    BOOST_TEST(pop(queue)->attempt.value == 2U);
    // The program with much attained service waits while calls of new programs keep arriving.
    std::uint64_t attempt = 10;
    time_point now = test_start;
    int served_before = 0;
    while (true) {
        now += 1s;
        push(queue, make_call(++attempt, "o", 10, now));
        if (pop(queue)->attempt.value == 1U) {
            break;
        }
        BOOST_REQUIRE(++served_before < 700);
    }
}

BOOST_AUTO_TEST_CASE(calls_past_their_deadline_are_removed_earliest_deadline_first)
{
    call_queue queue;
    queued_call later_deadline = make_call(1, "o", 10, test_start);
    later_deadline.deadline = test_start + 2s;
    queued_call earlier_deadline = make_call(2, "o", 10, test_start);
    earlier_deadline.deadline = test_start + 1s;
    push(queue, later_deadline);
    push(queue, earlier_deadline);
    push(queue, make_call(3, "o", 10, test_start));
    const auto expired = remove_expired(queue, test_start + 3s);
    BOOST_REQUIRE(expired.size() == 2U);
    BOOST_TEST(expired[0].attempt.value == 2U);
    BOOST_TEST(pop(queue)->attempt.value == 3U);
    BOOST_TEST(!pop(queue).has_value());
}

BOOST_AUTO_TEST_CASE(random_pushes_pops_and_removals_lose_no_call)
{
    for (const std::uint64_t seed : seeds({51, 52})) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::uint64_t random = seed;
            call_queue queue;
            std::map<std::uint64_t, bool> waiting;
            std::uint64_t attempt = 0;
            for (int i = 0; i < 20000; ++i) {
                const std::uint64_t action = next_random(random) % 10;
                if (action < 5) {
                    push(queue, make_call(++attempt, "o" + std::to_string(next_random(random) % 9),
                                          1.0 + static_cast<double>(next_random(random) % 100), test_start));
                    waiting[attempt] = true;
                }
                else if (action < 9) {
                    const auto popped = pop(queue);
                    BOOST_REQUIRE(popped.has_value() == !waiting.empty());
                    BOOST_REQUIRE(!popped || waiting.erase(popped->attempt.value) == 1U);
                }
                else {
                    const std::uint64_t removed_attempt = 1 + next_random(random) % (attempt + 1);
                    BOOST_REQUIRE(remove(queue, attempt_id{removed_attempt}) ==
                                  (waiting.erase(removed_attempt) == 1U));
                }
                correct_charge(queue, organisation_name{"o1"}, 10,
                               static_cast<double>(next_random(random) % 30));
            }
            BOOST_TEST(queue.calls.size() == waiting.size());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
