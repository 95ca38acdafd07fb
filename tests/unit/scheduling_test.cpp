// The sidecar's gate: attempts, window and queue.
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

struct open_gate {
    attempt_table table;

    open_gate()
    {
        table.incarnation = incarnation_id{5};
        table.accepts_work = true;
    }

    offer_result give(std::uint64_t attempt, std::uint64_t incarnation = 5)
    {
        return offer_attempt(
            table, {attempt_id{attempt}, incarnation_id{incarnation}, body_hash{attempt}, false, false});
    }
};

queued_call make_call(std::uint64_t attempt, const std::string& who, double cost, time_point at,
                      std::uint64_t attained = 0)
{
    queued_call call;
    call.attempt = attempt_id{attempt};
    call.organisation = organisation_name{who};
    call.cost_tokens = cost;
    call.arrived_at = at;
    call.attained_tokens = attained;
    return call;
}

const time_point start_of_test{std::chrono::hours(1)};

} // namespace

BOOST_AUTO_TEST_SUITE(scheduling_test)

BOOST_FIXTURE_TEST_CASE(delayed_duplicate_of_a_finished_attempt_never_starts_again, open_gate)
{
    BOOST_TEST((give(1).decision == offer_decision::queue));
    mark_running(table, attempt_id{1});
    BOOST_TEST((give(1).decision == offer_decision::join));
    mark_finished(table, attempt_id{1});
    release(table, attempt_id{1});
    BOOST_TEST((give(1).decision == offer_decision::refuse));
}

BOOST_FIXTURE_TEST_CASE(tombstoned_attempt_that_arrives_later_is_refused, open_gate)
{
    BOOST_TEST((tombstone(table, attempt_id{1}) == attempt_status::tombstoned));
    BOOST_TEST((give(1).reason == failure::tombstoned));
}

BOOST_FIXTURE_TEST_CASE(running_attempt_is_not_tombstoned, open_gate)
{
    give(1);
    mark_running(table, attempt_id{1});
    BOOST_TEST((tombstone(table, attempt_id{1}) == attempt_status::running));
}

BOOST_FIXTURE_TEST_CASE(refusal_of_a_closed_gate_stays_true_after_it_opens, open_gate)
{
    table.accepts_work = false;
    BOOST_TEST((give(1).reason == failure::configuration_stale));
    table.accepts_work = true;
    BOOST_TEST((give(1).reason == failure::tombstoned));
}

BOOST_FIXTURE_TEST_CASE(claim_of_an_earlier_incarnation_is_refused, open_gate)
{
    give(1);
    BOOST_TEST(renew_incarnation(table, incarnation_id{6}).size() == 1U);
    BOOST_TEST((give(1).decision == offer_decision::refuse));
    BOOST_TEST((give(2).reason == failure::incarnation_mismatch));
    BOOST_TEST((give(3, 6).decision == offer_decision::queue));
}

BOOST_FIXTURE_TEST_CASE(two_suspects_never_run_side_by_side, open_gate)
{
    BOOST_TEST(
        (offer_attempt(table, {attempt_id{1}, incarnation_id{5}, body_hash{1}, true, false}).decision ==
         offer_decision::queue));
    BOOST_TEST((offer_attempt(table, {attempt_id{2}, incarnation_id{5}, body_hash{2}, true, false}).reason ==
                failure::busy));
    BOOST_TEST((give(3).decision == offer_decision::queue));
    mark_running(table, attempt_id{1});
    mark_finished(table, attempt_id{1});
    BOOST_TEST(
        (offer_attempt(table, {attempt_id{4}, incarnation_id{5}, body_hash{2}, true, false}).decision ==
         offer_decision::queue));
}

BOOST_FIXTURE_TEST_CASE(random_offers_start_each_attempt_at_most_once, open_gate)
{
    for (const std::uint64_t seed : seeds({41, 42, 43})) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::uint64_t random = seed;
            std::map<std::uint64_t, int> starts;
            std::map<std::uint64_t, bool> told_not_run;
            for (int i = 0; i < 20000; ++i) {
                const std::uint64_t attempt = 1000 * seed + next_random(random) % 500;
                const attempt_status status = status_of(table, attempt_id{attempt});
                switch (next_random(random) % 8) {
                case 0:
                case 1:
                    told_not_run[attempt] =
                        give(attempt, table.incarnation.value).decision == offer_decision::refuse &&
                        starts[attempt] == 0;
                    break;
                case 2:
                    if (status == attempt_status::queued) {
                        mark_running(table, attempt_id{attempt});
                        ++starts[attempt];
                        BOOST_REQUIRE(!told_not_run[attempt]);
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
                    told_not_run[attempt] =
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

BOOST_AUTO_TEST_CASE(fresh_upstream_starts_at_one_and_reaches_its_slots_by_doubling)
{
    window_state window;
    window.options = {64, 2s};
    set_reported_slots(window, 32);
    std::uint64_t rounds = 0;
    while (window_limit(window) < 32) {
        const std::uint64_t at_once = window_limit(window);
        for (std::uint64_t i = 0; i < at_once; ++i) {
            BOOST_REQUIRE(may_start(window));
            record_start(window);
        }
        BOOST_REQUIRE(!may_start(window));
        for (std::uint64_t i = 0; i < at_once; ++i) {
            record_first_token(window, 100ms, 0ms, start_of_test);
            record_end(window);
        }
        BOOST_REQUIRE(++rounds < 10U);
    }
    BOOST_TEST(rounds == 5U);
}

BOOST_AUTO_TEST_CASE(window_never_exceeds_what_the_engine_reports)
{
    window_state window;
    window.options = {64, 2s};
    set_reported_slots(window, 6);
    for (int i = 0; i < 200; ++i) {
        record_first_token(window, 10ms, 0ms, start_of_test);
        BOOST_REQUIRE(window_limit(window) <= 6U);
    }
}

BOOST_AUTO_TEST_CASE(upstream_that_turns_cold_is_back_at_one)
{
    window_state window;
    window.options = {64, 2s};
    for (int i = 0; i < 40; ++i) {
        record_first_token(window, 100ms, 0ms, start_of_test);
    }
    BOOST_REQUIRE(window_limit(window) > 30U);
    BOOST_TEST(record_first_token(window, 1500ms, 0ms, start_of_test));
    BOOST_TEST(window_limit(window) == 1U);
}

BOOST_AUTO_TEST_CASE(long_prefill_of_an_uncached_prompt_is_not_taken_for_a_cold_upstream)
{
    window_state window;
    window.options = {64, 2s};
    for (int i = 0; i < 40; ++i) {
        record_first_token(window, 100ms, 0ms, start_of_test);
    }
    const std::uint64_t before = window_limit(window);
    BOOST_TEST(!record_first_token(window, 8s, prefill_allowance(20000, 4000), start_of_test));
    BOOST_TEST(window_limit(window) >= before);
}

BOOST_AUTO_TEST_CASE(latency_over_the_goal_shrinks_the_window_once_a_burst)
{
    window_state window;
    window.options = {64, 500ms};
    for (int i = 0; i < 30; ++i) {
        record_first_token(window, 400ms, 0ms, start_of_test);
    }
    const std::uint64_t before = window_limit(window);
    for (int i = 0; i < 10; ++i) {
        record_first_token(window, 700ms, 0ms, start_of_test + 5s);
    }
    BOOST_TEST(window_limit(window) < before);
    BOOST_TEST(window_limit(window) >= before / 2);
}

BOOST_AUTO_TEST_CASE(organisation_with_five_times_the_calls_gets_no_more_than_its_share)
{
    call_queue queue;
    std::uint64_t attempt = 0;
    for (int i = 0; i < 500; ++i) {
        push(queue, make_call(++attempt, "loud", 100, start_of_test));
    }
    for (int i = 0; i < 100; ++i) {
        push(queue, make_call(++attempt, "quiet", 100, start_of_test));
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
        queued_call heavy = make_call(++attempt, "heavy", 50, start_of_test);
        heavy.weight = 2;
        push(queue, heavy);
        push(queue, make_call(++attempt, "light", 50, start_of_test));
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 300; ++i) {
        ++served[pop(queue)->organisation.value];
    }
    BOOST_TEST(served["heavy"] == 200);
}

BOOST_AUTO_TEST_CASE(program_with_least_attained_service_runs_first_and_ageing_lets_none_starve)
{
    call_queue queue;
    push(queue, make_call(1, "o", 10, start_of_test, 50000));
    push(queue, make_call(2, "o", 10, start_of_test, 100));
    BOOST_TEST(pop(queue)->attempt.value == 2U);
    // The long program waits while short ones keep arriving.
    std::uint64_t attempt = 10;
    time_point now = start_of_test;
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

BOOST_AUTO_TEST_CASE(calls_whose_deadline_passed_leave_the_queue_longest_overdue_first)
{
    call_queue queue;
    queued_call late = make_call(1, "o", 10, start_of_test);
    late.deadline = start_of_test + 2s;
    queued_call later = make_call(2, "o", 10, start_of_test);
    later.deadline = start_of_test + 1s;
    push(queue, late);
    push(queue, later);
    push(queue, make_call(3, "o", 10, start_of_test));
    const auto taken = remove_expired(queue, start_of_test + 3s);
    BOOST_REQUIRE(taken.size() == 2U);
    BOOST_TEST(taken[0].attempt.value == 2U);
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
                const std::uint64_t what = next_random(random) % 10;
                if (what < 5) {
                    push(queue,
                         make_call(++attempt, "o" + std::to_string(next_random(random) % 9),
                                   1.0 + static_cast<double>(next_random(random) % 100), start_of_test));
                    waiting[attempt] = true;
                }
                else if (what < 9) {
                    const auto next = pop(queue);
                    BOOST_REQUIRE(next.has_value() == !waiting.empty());
                    BOOST_REQUIRE(!next || waiting.erase(next->attempt.value) == 1U);
                }
                else {
                    const std::uint64_t victim = 1 + next_random(random) % (attempt + 1);
                    BOOST_REQUIRE(remove(queue, attempt_id{victim}) == (waiting.erase(victim) == 1U));
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
