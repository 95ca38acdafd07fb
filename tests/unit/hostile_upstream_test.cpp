// Upstreams that misbehave byte by byte: answers without end, and second copies of answers.
#include "raw_upstream.hpp"
#include "small_fleet.hpp"

#include <algorithm>
#include <array>

namespace guavawick::tests {

namespace {

/// What a gateway may take of an answer without end: its own limits and the buffers of two sockets.
constexpr std::size_t max_taken_bytes = 32U << 20U;

/// A fleet with an upstream that begins an answer and then sends the same bytes until the gateway closes the
/// connection.
struct endless_answer : small_fleet {
    raw_upstream endless;
    std::size_t taken_bytes = 0; ///< that the gateway took before it closed the connection

    /// Makes the endless upstream the only one, and calls until the gateway knows it and a call reaches it.
    /// @return the status that this caller gets.
    int call_endless(const std::string& target, const std::string& beginning, const std::string& repeated)
    {
        endless.serve = [this, beginning, repeated](tcp::socket& socket) {
            read_request(socket);
            write(socket, beginning);
            boost::system::error_code error;
            while (!error && taken_bytes <= max_taken_bytes) {
                taken_bytes += asio::write(socket, asio::buffer(repeated), error);
            }
            socket.close(error);
        };
        announce(upstream, "u1", 2, directory::instance_state::gone);
        announce_address(endless.address, "u2", 1);
        endless.start();
        int status = 0;
        while (!endless.accepted.load()) {
            status = call("GET", target).status;
        }
        endless.thread.join();
        return status;
    }
};

/// A fleet with an upstream whose next answer is given byte by byte and ends with its connection.
struct answer_without_length : small_fleet {
    raw_upstream raw;
    bool resets = false; ///< the connection ends with a reset
    std::string head = "HTTP/1.1 200 OK\r\nSignature: s\r\n";

    /// Makes the raw upstream the only one and calls until the call reaches it.
    http::response call_raw(const std::string& target, const std::string& answer,
                            std::map<std::string, std::string> headers = {})
    {
        raw.serve = [this, answer](tcp::socket& socket) {
            read_request(socket);
            write(socket, answer);
            boost::system::error_code ignored;
            if (resets) {
                socket.set_option(tcp::socket::linger(true, 0), ignored);
            }
            else {
                socket.shutdown(tcp::socket::shutdown_send, ignored);
            }
            socket.close(ignored);
        };
        announce(upstream, "u1", 2, directory::instance_state::gone);
        announce_address(raw.address, "u2", 1);
        raw.start();
        http::response response;
        while (!raw.accepted.load()) {
            response = call("POST", target, headers, "x");
        }
        raw.thread.join();
        boost::system::error_code ignored;
        raw.acceptor.close(ignored); // no further call reaches it
        return response;
    }

    std::string events(const std::string& body) const
    {
        return head + "Content-Type: text/event-stream\r\n\r\n" + body;
    }
};

const std::string two_events = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";

constexpr int max_polls = 10000; ///< of a metric that stays as it is

/// A fleet whose upstreams crash in the middle of the first stream that they run.
struct crashing_upstreams : small_fleet {
    std::array<raw_upstream, 8> crashing;

    crashing_upstreams()
    {
        announce(upstream, "u1", 2, directory::instance_state::gone);
        for (std::size_t i = 0; i < crashing.size(); ++i) {
            raw_upstream& next = crashing.at(i);
            next.serve = [&next](tcp::socket& socket) {
                read_request(socket);
                write(socket, "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Type: text/event-stream\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n12\r\nid: 1\ndata: word\n\n\r\n");
                boost::system::error_code ignored;
                next.acceptor.close(ignored);
                socket.close(ignored);
            };
            next.start();
            announce_address(next.address, "c" + std::to_string(i), 1);
        }
    }

    std::size_t count_crashed() const
    {
        return static_cast<std::size_t>(std::count_if(crashing.begin(), crashing.end(),
                                                      [](const auto& each) { return each.accepted.load(); }));
    }
};

const std::string filler(64U << 10U, 'x');

} // namespace

BOOST_AUTO_TEST_SUITE(hostile_upstream_test)

BOOST_FIXTURE_TEST_CASE(head_without_end_is_given_up_after_bounded_bytes, endless_answer)
{
    BOOST_TEST(call_endless("/safe/x", "HTTP/1.1 200 ", filler) >= 500);
    BOOST_TEST(taken_bytes <= max_taken_bytes);
}

BOOST_FIXTURE_TEST_CASE(head_of_endless_header_lines_is_given_up_after_bounded_bytes, endless_answer)
{
    std::string lines;
    while (lines.size() < filler.size()) {
        lines += "Field: value\r\n";
    }
    BOOST_TEST(call_endless("/safe/x", "HTTP/1.1 200 OK\r\n", lines) >= 500);
    BOOST_TEST(taken_bytes <= max_taken_bytes);
}

BOOST_FIXTURE_TEST_CASE(body_without_end_is_given_up_after_bounded_bytes, endless_answer)
{
    BOOST_TEST(call_endless("/safe/x", "HTTP/1.1 200 OK\r\nSignature: s\r\n\r\n", filler) >= 500);
    BOOST_TEST(taken_bytes <= max_taken_bytes);
}

BOOST_FIXTURE_TEST_CASE(chunk_head_without_end_is_given_up_after_bounded_bytes, endless_answer)
{
    BOOST_TEST(call_endless("/safe/x",
                            "HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n5;",
                            filler) >= 500);
    BOOST_TEST(taken_bytes <= max_taken_bytes);
}

BOOST_FIXTURE_TEST_CASE(event_without_end_is_given_up_after_bounded_bytes, endless_answer)
{
    // The answer has begun, so the caller's connection is broken off.
    BOOST_TEST(call_endless("/turn/x",
                            "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Type: text/event-stream\r\n\r\n",
                            filler) == 0);
    BOOST_TEST(taken_bytes <= max_taken_bytes);
}

BOOST_FIXTURE_TEST_CASE(second_copy_of_an_answer_is_not_given_to_the_next_caller, small_fleet)
{
    raw_upstream doubling;
    doubling.serve = [](tcp::socket& socket) {
        const auto make_answer = [](const std::string& id, const std::string& body) {
            return "HTTP/1.1 200 OK\r\nSignature: s\r\nCall: " + id +
                   "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        };
        std::string previous_answer;
        while (true) {
            const std::string id = read_request(socket);
            if (id.empty()) {
                return;
            }
            const std::string answer = make_answer(id, "answer to " + id);
            write(socket, previous_answer + answer);
            previous_answer = answer;
        }
    };
    announce(upstream, "u1", 2, directory::instance_state::gone);
    announce_address(doubling.address, "u2", 1);
    doubling.start();
    while (call("GET", "/safe/x").status != 200) { // until the gateway knows the upstream
    }
    for (const char* id : {"first", "second", "third"}) {
        const http::response response = call("GET", "/safe/x", {{"Call", id}});
        BOOST_TEST(response.status == 200);
        BOOST_TEST(response.body == std::string("answer to ") + id);
    }
}

BOOST_FIXTURE_TEST_CASE(plain_answer_that_ends_with_its_connection_is_whole, answer_without_length)
{
    const http::response response = call_raw("/once/x", head + "\r\nwhole");
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.body == "whole");
}

BOOST_FIXTURE_TEST_CASE(error_that_ends_with_its_connection_is_whole, answer_without_length)
{
    const http::response response = call_raw("/once/x", "HTTP/1.0 500 Failed\r\n\r\nwhole");
    BOOST_TEST(response.status == 500);
    BOOST_TEST(response.body == "whole");
}

BOOST_FIXTURE_TEST_CASE(plain_answer_that_ends_with_a_reset_is_not_passed_on, answer_without_length)
{
    resets = true;
    BOOST_TEST(call_raw("/once/x", head + "\r\nhalf").status == 502);
}

BOOST_FIXTURE_TEST_CASE(stream_that_ends_with_its_connection_after_an_event_is_whole, answer_without_length)
{
    const http::response response = call_raw("/turn/x", events(two_events), {{"Call", "t1"}});
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.body == two_events);
    upstream.respond = respond_with_events;
    announce(upstream, "u3", 1);
    int status = 503;
    while (status == 503) {
        status = call("POST", "/turn/x", {{"Previous", "t1"}}, "y").status;
    }
    BOOST_TEST(status == 200);
    BOOST_TEST(upstream.last_body == "xone\ntwo\ny"); // the turn was kept
}

// Guards against streams that were broken off and passed on, and kept, as whole.
BOOST_FIXTURE_TEST_CASE(stream_that_ends_with_its_connection_inside_an_event_is_broken_off,
                        answer_without_length)
{
    const http::response response =
        call_raw("/turn/x", events(two_events + "id: 3\ndata: thr"), {{"Call", "t1"}});
    BOOST_TEST(response.status == 0);                                             // the response was aborted
    BOOST_TEST(call("POST", "/turn/x", {{"Previous", "t1"}}, "y").status == 404); // nothing was kept
}

BOOST_FIXTURE_TEST_CASE(stream_with_chunks_that_ends_inside_an_event_is_broken_off, answer_without_length)
{
    const std::string chunked =
        head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    BOOST_TEST(call_raw("/turn/x", chunked + "10\r\nid: 1\ndata: one\n\r\n0\r\n\r\n").status == 0);
}

BOOST_FIXTURE_TEST_CASE(stream_that_ends_with_a_reset_is_broken_off, answer_without_length)
{
    resets = true;
    BOOST_TEST(call_raw("/turn/x", events(two_events)).status != 200);
}

// Guards against a request that crashes one upstream after the other: crashes in the middle of a stream were
// not counted.
BOOST_FIXTURE_TEST_CASE(request_that_crashes_upstreams_in_the_middle_of_its_stream_is_refused,
                        crashing_upstreams)
{
    for (std::size_t crash = 1; crash <= directory::crash_limit; ++crash) {
        while (count_crashed() < crash) { // until the gateway knows the upstreams
            call("POST", "/turn/x", {}, "poison");
        }
        double recorded = 0;
        for (int polls = 0; recorded < static_cast<double>(crash) && polls < max_polls; ++polls) {
            recorded = read_metric("guavawick_gateway_crashes_total");
        }
        BOOST_TEST_REQUIRE(recorded == static_cast<double>(crash));
    }
    BOOST_TEST(call("POST", "/turn/x", {}, "poison").status == 503);
    BOOST_TEST(count_crashed() == directory::crash_limit);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
