// Calls through a real gateway, control replica and store over loopback, with scripted upstreams.
#include "small_fleet.hpp"

namespace guavawick::tests {

BOOST_AUTO_TEST_SUITE(fleet_test)

BOOST_FIXTURE_TEST_CASE(call_with_a_key_reaches_the_upstream_under_its_organisation, small_fleet)
{
    const http::response response = call("POST", "/once/x", {}, "body");
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.body == "done");
    BOOST_TEST(upstream.last_body == "body");
    BOOST_TEST(upstream.last_organisation == "o");
}

BOOST_FIXTURE_TEST_CASE(call_without_route_or_key_is_refused_and_reaches_no_upstream, small_fleet)
{
    BOOST_TEST(call("GET", "/nowhere/x").status == 404);
    // A gateway with an older plan can't know that the turn does not exist.
    BOOST_TEST(call("POST", "/nowhere/x", {{"Previous", "t1"}}, "x").status == 503);
    BOOST_TEST(call("GET", "/safe/x", {{"Key", "other"}}).status == 401);
    BOOST_TEST(upstream.calls.load() == 0);
}

BOOST_FIXTURE_TEST_CASE(continued_turn_includes_the_history_of_earlier_turns, small_fleet)
{
    upstream.respond = respond_with_events;
    BOOST_TEST(call("POST", "/turn/x", {{"Call", "t1"}}, "first ").status == 200);
    const http::response response = call("POST", "/turn/x", {{"Call", "t2"}, {"Previous", "t1"}}, "second ");
    BOOST_TEST(response.body == "id: 1\ndata: one\n\nid: 2\ndata: two\n\n");
    BOOST_TEST(upstream.last_body == "first one\ntwo\nsecond ");
    BOOST_TEST(call("POST", "/turn/x", {{"Previous", "t9"}}, "x").status == 404);
}

// A history that is too large for the gateway's cache comes from the ledger in parts.
BOOST_FIXTURE_TEST_CASE(history_of_large_turns_reaches_the_upstream_whole, small_fleet)
{
    upstream.respond = respond_with_events;
    std::string expected;
    std::string previous;
    for (int i = 1; i <= 4; ++i) {
        const std::string id = "t" + std::to_string(i);
        const std::string input(3U << 20U, static_cast<char>('a' + i));
        std::map<std::string, std::string> headers{{"Call", id}};
        if (!previous.empty()) {
            headers["Previous"] = previous;
        }
        BOOST_TEST_REQUIRE(call("POST", "/turn/x", headers, input).status == 200);
        expected += input + "one\ntwo\n";
        previous = id;
    }
    BOOST_TEST(call("POST", "/turn/x", {{"Previous", previous}}, "end").status == 200);
    BOOST_TEST((upstream.last_body == expected + "end"));
}

BOOST_FIXTURE_TEST_CASE(program_with_a_spent_budget_is_refused_and_does_not_run, small_fleet)
{
    upstream.respond = respond_with_events; // a turn uses 2 events of 2 tokens; the budget is 10 tokens
    int admitted = 0;
    int status = 200;
    while (status == 200 && admitted < 10) {
        status = call("POST", "/turn/x", {{"Program", "p"}}, "x").status;
        admitted += status == 200 ? 1 : 0;
    }
    BOOST_TEST(status == 402);
    BOOST_TEST(admitted == 3);
    BOOST_TEST(upstream.calls.load() == 3);
}

BOOST_FIXTURE_TEST_CASE(idempotent_call_with_a_truncated_response_is_retried_on_another_upstream, small_fleet)
{
    upstream.respond = respond_truncated;
    second_upstream.respond = respond_truncated;
    announce(second_upstream, "u2", 1);
    while (call("GET", "/safe/x").status == 200 || second_upstream.calls.load() == 0) {
    }
    second_upstream.respond = respond_ok;
    BOOST_TEST(call("GET", "/safe/x").status == 200);
}

BOOST_FIXTURE_TEST_CASE(
    non_idempotent_call_with_a_truncated_response_runs_once_and_is_not_reported_as_unexecuted, small_fleet)
{
    announce(second_upstream, "u2", 1);
    upstream.respond = respond_truncated;
    second_upstream.respond = respond_truncated;
    second_upstream.calls = 0;
    BOOST_TEST(call("POST", "/once/x", {}, "x").status == 502);
    BOOST_TEST(upstream.calls.load() + second_upstream.calls.load() == 1);
}

BOOST_FIXTURE_TEST_CASE(call_that_no_upstream_executed_is_refused_as_unavailable, small_fleet)
{
    upstream.respond = respond_not_executed;
    const http::response response = call("POST", "/once/x", {}, "x");
    BOOST_TEST(response.status == 503);
}

BOOST_FIXTURE_TEST_CASE(draining_upstream_gets_no_new_calls, small_fleet)
{
    announce(second_upstream, "u2", 1);
    announce(upstream, "u1", 2, directory::instance_state::draining);
    while (call("GET", "/safe/x").status != 200 || second_upstream.calls.load() == 0) {
    }
    upstream.calls = 0;
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(call("POST", "/once/x", {}, "x").status == 200);
    }
    BOOST_TEST(upstream.calls.load() == 0);
}

BOOST_FIXTURE_TEST_CASE(evacuated_data_centre_gets_no_calls_until_it_is_restored, small_fleet)
{
    run(control->set_evacuation("a", true));
    while (call("POST", "/once/x", {}, "x").status != 503) {
    }
    upstream.calls = 0;
    BOOST_TEST(call("POST", "/once/x", {}, "x").status == 503);
    BOOST_TEST(upstream.calls.load() == 0);
    run(control->set_evacuation("a", false));
    while (call("POST", "/once/x", {}, "x").status != 200) {
    }
}

// Guards against a process that ends because its metrics are read: the response's text was destroyed twice.
BOOST_FIXTURE_TEST_CASE(gateway_whose_metrics_are_read_goes_on, small_fleet)
{
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(read_metric("guavawick_gateway_plan_version") == 1);
    }
    BOOST_TEST(call("GET", "/safe/x").status == 200);
}

BOOST_FIXTURE_TEST_CASE(document_with_an_older_version_is_acknowledged_and_changes_nothing, small_fleet)
{
    run(control->publish({5, "5"}));
    run(control->publish({4, "4"}));
    BOOST_TEST(run(control->read_document()).version == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
