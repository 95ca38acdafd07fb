// Order of calls by urgency at an engine.
#include "queueing/urgency_func.hpp"
#include "small_fleet.hpp"

#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

using namespace queueing;

namespace {

struct load_aware_fleet : small_fleet {
    load_aware_fleet() : small_fleet({.load_aware = true, .paced_starts = true, .engine_priority = true})
    {
        upstream.respond = respond_with_events;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(urgency_test)

// Guards against first turns that take the time of running programs, as on the heaviest day of the band
// deployment, where programs that started in the overload nearly all ended late.
BOOST_AUTO_TEST_CASE(running_programs_come_first_then_first_turns_then_late_programs)
{
    for (const std::uint32_t priority : {0U, 1U, 2U, 7U}) {
        const urgency_inputs running{false, priority, 2s, 100ms};
        const urgency_inputs first{true, 0, 5s, 100ms};
        const urgency_inputs late{false, 0, 50ms, 100ms};
        BOOST_TEST(engine_priority(running) < engine_priority(first));
        BOOST_TEST(engine_priority({true, priority, 5s, 100ms}) < engine_priority(late));
        BOOST_TEST(engine_priority({false, priority, 0ms, 100ms}) <= max_engine_priority);
    }
}

// Guards against a less urgent route that overtakes a more urgent one of the same class.
BOOST_AUTO_TEST_CASE(priority_orders_calls_of_the_same_class)
{
    BOOST_TEST(engine_priority({false, 0, 2s, 100ms}) < engine_priority({false, 1, 2s, 100ms}));
    BOOST_TEST(engine_priority({true, 1, 2s, 100ms}) < engine_priority({true, 2, 2s, 100ms}));
    BOOST_TEST(engine_priority({false, 0, 0ms, 100ms}) < engine_priority({false, 1, 0ms, 100ms}));
}

// Guards against calls of callers that state no objective being treated as late.
BOOST_AUTO_TEST_CASE(call_without_objective_is_never_late)
{
    BOOST_TEST((classify({false, 0, std::nullopt, 100ms}) == urgency_class::running));
    BOOST_TEST((classify({true, 0, std::nullopt, 100ms}) == urgency_class::first));
    BOOST_TEST((classify({true, 0, 99ms, 100ms}) == urgency_class::late));
}

// Guards against an engine that is not told the urgency, and against first turns that the ledger knows
// better.
BOOST_FIXTURE_TEST_CASE(engine_gets_the_urgency_of_each_call, load_aware_fleet)
{
    BOOST_TEST(call("POST", "/turn/x", {{"Program", "p"}, {"Call", "t1"}}, "a").status == 200);
    BOOST_TEST(upstream.last_priority == "3");
    BOOST_TEST(call("POST", "/turn/x", {{"Program", "p"}, {"Previous", "t1"}}, "b").status == 200);
    BOOST_TEST(upstream.last_priority == "0");
    BOOST_TEST(call("POST", "/turn/x", {{"Program", "q"}}, "c").status == 200);
    BOOST_TEST(upstream.last_priority == "3");
    BOOST_TEST(call("GET", "/safe/x").status == 200);
    BOOST_TEST(upstream.last_priority == "0");
    BOOST_TEST(read_metric("guavawick_gateway_starts_refused_total") == 0);
}

// Guards against a change of what upstreams get while the switch is off.
BOOST_FIXTURE_TEST_CASE(engine_is_told_no_urgency_while_the_switch_is_off, small_fleet)
{
    upstream.respond = respond_with_events;
    BOOST_TEST(call("POST", "/turn/x", {{"Program", "p"}}, "a").status == 200);
    BOOST_TEST(upstream.last_priority.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
