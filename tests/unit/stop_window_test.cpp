// Calls that arrive while a gateway stops.
#include "gateway/stop_window.hpp"
#include "small_fleet.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <thread>

namespace guavawick::tests {

namespace {

const time_point now{100s};

asio::awaitable<void> never_respond(http::responder&)
{
    co_await runtime::wait_for(1h);
}

} // namespace

BOOST_AUTO_TEST_SUITE(stop_window_test)

BOOST_AUTO_TEST_CASE(call_whose_deadline_is_before_the_end_keeps_it)
{
    BOOST_TEST((gateway::limit_deadline(now + 4s, now + 3s, {}, now) == now + 3s));
    BOOST_TEST((gateway::limit_deadline(now + 4s, now + 4s, {}, now) == now + 4s));
}

// Guards against a call that is cut off at the end of the grace.
BOOST_AUTO_TEST_CASE(call_that_may_need_more_time_than_is_left_is_refused)
{
    BOOST_TEST(!gateway::limit_deadline(now + 4s, now + 6s, {}, now).has_value());
    gateway::route_timing timing;
    gateway::record_duration(timing, 5s);
    BOOST_TEST(!gateway::limit_deadline(now + 4s, now + 6s, timing, now).has_value());
    BOOST_TEST(!gateway::limit_deadline(now - 1s, now + 6s, timing, now).has_value());
}

BOOST_AUTO_TEST_CASE(call_of_a_route_whose_calls_are_short_is_served_until_the_end)
{
    gateway::route_timing timing;
    gateway::record_duration(timing, 5s);
    for (int i = 0; i < 300; ++i) {
        gateway::record_duration(timing, 100ms);
    }
    BOOST_TEST((gateway::limit_deadline(now + 4s, now + 6s, timing, now) == now + 4s));
    BOOST_TEST(!gateway::limit_deadline(now + 50ms, now + 6s, timing, now).has_value());
}

// Guards against a call that arrives late in a stop, is passed on and cut off when the process ends.
BOOST_FIXTURE_TEST_CASE(call_on_a_kept_connection_is_refused_when_the_gateway_is_about_to_end, small_fleet)
{
    asio::io_context context;
    asio::ip::tcp::socket caller(context);
    const std::string address = common_settings.caller_listen;
    const std::size_t colon = address.rfind(':');
    caller.connect({asio::ip::make_address(address.substr(0, colon)),
                    static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))});
    const std::string request =
        "GET /safe/x HTTP/1.1\r\nHost: h\r\nKey: key\r\nCall: c\r\nDeadline: 2000\r\n\r\n";
    asio::write(caller, asio::buffer(request));
    std::array<char, 1024> first{};
    BOOST_TEST(caller.receive(asio::buffer(first)) > 0U);
    upstream.respond = never_respond;
    upstream.calls = 0;
    gateway_server->stop();
    asio::write(caller, asio::buffer(request));
    std::string response;
    boost::system::error_code error;
    asio::read(caller, asio::dynamic_buffer(response), error);
    BOOST_TEST(response.starts_with("HTTP/1.1 503"));
    BOOST_TEST(response.find("Retry-After: ") != std::string::npos);
    BOOST_TEST(response.find("Connection: close") != std::string::npos);
    BOOST_TEST(upstream.calls.load() == 0);
}

// Guards against a call that runs when the gateway stops and is cut off when the process ends.
BOOST_FIXTURE_TEST_CASE(call_that_runs_when_the_gateway_is_about_to_end_gets_a_complete_response, small_fleet)
{
    std::atomic<bool> released{false};
    upstream.respond = [&released](http::responder& responder) -> asio::awaitable<void> {
        while (!released) {
            co_await runtime::wait_for(1ms);
        }
        co_await respond_ok(responder);
    };
    int status = 0;
    std::thread caller([this, &status] { status = call("GET", "/safe/x", {{"Deadline", "20000"}}).status; });
    while (upstream.calls.load() == 0) {
        std::this_thread::yield();
    }
    gateway_server->stop();
    released = true;
    caller.join();
    BOOST_TEST(status == 504);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
