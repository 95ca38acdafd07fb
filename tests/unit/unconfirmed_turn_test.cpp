// Turns whose ledger group does not confirm a request, or whose history can't be read.
#include "scripted_ledger.hpp"
#include "small_fleet.hpp"

#include <future>
#include <thread>

namespace guavawick::tests {

namespace {

/// A fleet whose only store is scripted. The budget of a program is 10 tokens, and each turn reserves 4.
struct fleet_with_scripted_ledger : small_fleet {
    scripted_ledger ledger{pool.executor()};

    fleet_with_scripted_ledger() : small_fleet(core::fleet_features{}, false)
    {
        upstream.respond = respond_with_events;
        second_upstream.respond = respond_with_events;
        int status = 503;
        while (status != 200) { // until the gateway knows the ledger group
            ledger.report_to(common_settings.seeds.front());
            status = call("POST", "/turn/x", {{"Deadline", "300"}}, "x").status;
        }
    }

    ~fleet_with_scripted_ledger()
    {
        ledger.links.close();
        small_fleet::stop();
    }

    int call_turn(const std::string& request, const std::string& deadline_ms = "10000")
    {
        return call("POST", "/turn/x", {{"Call", request}, {"Program", "p"}, {"Deadline", deadline_ms}}, "x")
            .status;
    }

    /// Has three turns refused, which would reserve the program's whole budget.
    void check_refused_turns()
    {
        for (int i = 0; i < 3; ++i) {
            BOOST_TEST(call_turn("r" + std::to_string(i), "400") == 503);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(unconfirmed_turn_test)

// Guards against 402 for a program whose budget is not spent: tokens stayed reserved for turns that never
// ran.
BOOST_FIXTURE_TEST_CASE(turn_whose_opening_was_not_confirmed_leaves_no_tokens_reserved,
                        fleet_with_scripted_ledger)
{
    ledger.withholds_openings = true;
    check_refused_turns();
    ledger.release();
    BOOST_TEST(call_turn("next") == 200);
}

// Guards against 402 for a program whose budget is not spent: tokens stayed reserved for turns that never
// ran.
BOOST_FIXTURE_TEST_CASE(turn_whose_history_can_not_be_read_leaves_no_tokens_reserved,
                        fleet_with_scripted_ledger)
{
    ledger.loses_history = true;
    check_refused_turns();
    ledger.loses_history = false;
    BOOST_TEST(call_turn("next") == 200);
}

// Guards against more load at a ledger that is overloaded: a turn that it refused needs no closing.
BOOST_FIXTURE_TEST_CASE(turn_that_an_overloaded_ledger_refused_is_not_closed, fleet_with_scripted_ledger)
{
    ledger.refuses_openings = true;
    BOOST_TEST(call_turn("refused") == 503);
    ledger.refuses_openings = false;
    BOOST_TEST(call_turn("next") == 200);
    const std::lock_guard lock(ledger.mutex);
    BOOST_TEST(!ledger.closed.contains("refused"));
}

// Guards against a connection that is reset after the head of a stream of which no event may be passed on.
BOOST_FIXTURE_TEST_CASE(stream_without_a_confirmed_record_is_answered_with_a_failure,
                        fleet_with_scripted_ledger)
{
    ledger.records_streams = false;
    std::uint64_t sequence = 10;
    int status = 503;
    while (status == 503) { // the opening was released too late
        const std::string other = "other" + std::to_string(sequence);
        announce(upstream, "u1", ++sequence);
        while (call("GET", "/safe/x").status != 200) {
        }
        ledger.withholds_openings = true;
        auto streaming =
            std::async(std::launch::async, [this] { return call("POST", "/kept/x", {}, "x").status; });
        while (ledger.count_withheld() == 0 && streaming.wait_for(0s) != std::future_status::ready) {
            std::this_thread::yield();
        }
        const double known = read_metric("guavawick_gateway_instances");
        announce(upstream, "u1", ++sequence, directory::instance_state::gone);
        announce(second_upstream, other, 1, directory::instance_state::serving, "v2");
        while (read_metric("guavawick_gateway_instances") == known) { // announcements arrive in order
        }
        ledger.release();
        status = streaming.get();
        announce(second_upstream, other, 2, directory::instance_state::gone, "v2");
    }
    BOOST_TEST(status == 502);
    BOOST_TEST(second_upstream.calls.load() >= 1);
}

// Guards against streams that can't be taken up: the request to record a stream was given up while it ran,
// when the ledger group had no leader for longer than an election.
BOOST_FIXTURE_TEST_CASE(origin_of_a_running_stream_is_sent_until_the_ledger_confirms_it,
                        fleet_with_scripted_ledger)
{
    ledger.records_streams = false;
    upstream.respond = [this](http::responder& responder) -> asio::awaitable<void> {
        http::response head = http::make_response(200, "text/event-stream", "");
        head.headers["Signature"] = "s";
        co_await responder.start_stream(std::move(head));
        std::string first = "id: 1\ndata: one\n\n";
        co_await responder.write(std::move(first));
        while (ledger.record_requests.load() < 5) {
            co_await runtime::wait_for(20ms);
        }
        std::string second = "id: 2\ndata: two\n\n";
        co_await responder.write(std::move(second));
        co_await responder.finish();
    };
    BOOST_TEST(call("POST", "/resumed/x", {}, "x").status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
