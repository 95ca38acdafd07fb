// How calls end: each call that a gateway opened has one end, with the cause if its caller got no response.
#include "raw_upstream.hpp"
#include "small_fleet.hpp"

namespace guavawick::tests {

namespace {

constexpr int max_polls = 10000; ///< of a metric that stays as it is

struct counted_calls : small_fleet {
    int first_turn_status = open_first_turn();
    double opened_before = read_metric("guavawick_gateway_opened_total");
    double refused_before = read_ended("refused");
    double ended_before = count_ended();

    /// Waits until the ledger answers. @return the status of a turn.
    int open_first_turn()
    {
        int status = 503;
        while (status == 503) {
            status = call("POST", "/turn/x", {}, "y").status;
        }
        upstream.calls = 0;
        return status;
    }

    double read_ended(const std::string& how)
    {
        return read_metric("guavawick_gateway_ended_total{name=\"" + how + "\"}");
    }

    double read_cut(const std::string& cause)
    {
        return read_metric("guavawick_gateway_cut_total{name=\"" + cause + "\"}");
    }

    double count_ended()
    {
        return read_ended("answered") + read_ended("refused") + read_ended("failed") +
               read_ended("caller_left");
    }

    /// Waits until as many calls have ended as were opened. @return their number.
    double await_ends()
    {
        double opened = 0;
        for (int polls = 0; polls < max_polls; ++polls) {
            opened = read_metric("guavawick_gateway_opened_total") - opened_before;
            if (count_ended() - ended_before == opened) {
                return opened;
            }
        }
        BOOST_TEST(count_ended() - ended_before == opened);
        return opened;
    }

    tcp::endpoint caller_endpoint() const
    {
        const std::string& address = common_settings.caller_listen;
        const std::size_t colon = address.rfind(':');
        return {asio::ip::make_address(address.substr(0, colon)),
                static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
    }

    /// Sends a call and closes the connection once the call has reached the upstream.
    void call_and_leave(const std::string& target)
    {
        asio::io_context context;
        tcp::socket caller(context);
        caller.connect(caller_endpoint());
        const int calls_before = upstream.calls.load();
        asio::write(caller,
                    asio::buffer("GET " + target + " HTTP/1.1\r\nHost: h\r\nKey: key\r\nCall: left\r\n\r\n"));
        while (upstream.calls.load() == calls_before) {
        }
        caller.close();
    }
};

/// Answers once the connection from the gateway has ended.
asio::awaitable<void> respond_once_left(http::responder& responder)
{
    while (!responder.caller_left()) {
        co_await runtime::wait_for(1ms);
    }
}

/// Sends the head of a stream and its first event.
asio::awaitable<void> begin_stream(http::responder& responder)
{
    http::response head = http::make_response(200, "text/event-stream", "");
    head.headers["Signature"] = "s";
    co_await responder.start_stream(std::move(head));
    std::string event = "id: 1\ndata: one\n\n";
    co_await responder.write(std::move(event));
}

} // namespace

BOOST_AUTO_TEST_SUITE(call_end_test)

BOOST_FIXTURE_TEST_CASE(answered_refused_and_failed_calls_have_one_end_each, counted_calls)
{
    BOOST_TEST(call("GET", "/safe/x").status == 200);
    BOOST_TEST(call("POST", "/turn/x", {{"Previous", "unknown"}}, "y").status == 404);
    upstream.respond = respond_truncated;
    BOOST_TEST(call("POST", "/once/x", {}, "y").status == 502);
    BOOST_TEST(await_ends() == 3);
    BOOST_TEST(read_ended("refused") - refused_before == 1);
    BOOST_TEST(read_ended("failed") == 1);
}

// Guards against calls without a line that ends them: those whose callers left while an upstream worked.
BOOST_FIXTURE_TEST_CASE(call_whose_caller_left_during_the_attempt_has_an_end, counted_calls)
{
    upstream.respond = respond_once_left;
    call_and_leave("/safe/x");
    BOOST_TEST(await_ends() == 1);
    BOOST_TEST(read_ended("caller_left") == 1);
    BOOST_TEST(read_cut("caller_closed") == 1);
}

BOOST_FIXTURE_TEST_CASE(stream_that_breaks_off_is_counted_as_cut, counted_calls)
{
    upstream.respond = [](http::responder& responder) -> asio::awaitable<void> {
        co_await begin_stream(responder);
        responder.abort();
    };
    BOOST_TEST(call("POST", "/turn/x", {}, "y").status == 0);
    BOOST_TEST(await_ends() == 1);
    BOOST_TEST(read_cut("stream_broke_off") == 1);
}

BOOST_FIXTURE_TEST_CASE(calls_that_run_when_the_process_stops_have_an_end, counted_calls)
{
    upstream.respond = [](http::responder& responder) -> asio::awaitable<void> {
        co_await begin_stream(responder);
        co_await respond_once_left(responder);
    };
    asio::io_context context;
    tcp::socket caller(context);
    caller.connect(caller_endpoint());
    asio::write(caller,
                asio::buffer(std::string("POST /turn/x HTTP/1.1\r\nHost: h\r\nKey: key\r\nCall: cut\r\n"
                                         "Content-Length: 1\r\n\r\ny")));
    std::string response;
    asio::read_until(caller, asio::dynamic_buffer(response), "data: one");
    gateway_server->stop(); // after the grace period of one second
    BOOST_TEST(await_ends() == 1);
    BOOST_TEST(read_cut("stopped") == 1);
}

// A call whose response has not begun is ended by the stop, so that its caller gets a response.
BOOST_FIXTURE_TEST_CASE(call_that_the_stop_ends_before_its_response_has_failed, counted_calls)
{
    upstream.respond = respond_once_left;
    asio::io_context context;
    tcp::socket caller(context);
    caller.connect(caller_endpoint());
    asio::write(caller, asio::buffer(
                            std::string("GET /safe/x HTTP/1.1\r\nHost: h\r\nKey: key\r\nCall: cut\r\n\r\n")));
    while (upstream.calls.load() == 0) {
    }
    gateway_server->stop();
    BOOST_TEST(await_ends() == 1);
    BOOST_TEST(read_ended("failed") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
