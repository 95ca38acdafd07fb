// Upstreams that misbehave byte by byte: answers without end, and second copies of answers.
#include "http/http_error_type.hpp"
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

/// How the connection of an answer without a length ends.
enum class connection_end : std::uint8_t {
    in_order,
    half_in_order, ///< the upstream ends its direction, and keeps the connection without reading
    reset,
    none, ///< the upstream keeps the connection without reading, so that the gateway's data is never
          ///< acknowledged
};

/// A fleet with an upstream whose next answer is given byte by byte and ends with its connection.
struct answer_without_length : small_fleet {
    raw_upstream raw;
    connection_end end = connection_end::in_order;
    std::string request_body = "x";
    std::string head = "HTTP/1.1 200 OK\r\nSignature: s\r\n";

    /// Makes the raw upstream the only one and calls until the call reaches it.
    http::response call_raw(const std::string& target, const std::string& answer,
                            std::map<std::string, std::string> headers = {})
    {
        raw.serve = [this, answer](tcp::socket& socket) {
            read_request(socket);
            write(socket, answer);
            boost::system::error_code ignored;
            if (end == connection_end::reset) {
                socket.set_option(tcp::socket::linger(true, 0), ignored);
            }
            if (end == connection_end::in_order || end == connection_end::half_in_order) {
                socket.shutdown(tcp::socket::shutdown_send, ignored);
            }
            if (end == connection_end::in_order || end == connection_end::reset) {
                socket.close(ignored);
            }
        };
        announce(upstream, "u1", 2, directory::instance_state::gone);
        announce_address(raw.address, "u2", 1);
        raw.start();
        http::response response;
        while (!raw.accepted.load()) {
            response = call("POST", target, headers, request_body);
        }
        raw.thread.join();
        boost::system::error_code ignored;
        raw.acceptor.close(ignored); // no further call reaches it
        return response;
    }

    /// Makes the request larger than what the connection takes while the upstream doesn't read, so that it is
    /// still being sent when the connection ends.
    void send_large_request()
    {
        raw.acceptor.set_option(
            tcp::acceptor::receive_buffer_size(4096)); // the window of accepted connections
        request_body = std::string(4U << 20U, 'x');
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
    end = connection_end::reset;
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
    end = connection_end::reset;
    BOOST_TEST(call_raw("/turn/x", events(two_events)).status != 200);
}

// Guards against a part of an answer that is passed on as a whole one: the sending of the request met the
// reset, and the reading found an end in order.
BOOST_FIXTURE_TEST_CASE(answer_that_ends_with_a_reset_while_the_request_is_sent_is_not_passed_on,
                        answer_without_length)
{
    send_large_request();
    end = connection_end::reset;
    BOOST_TEST(call_raw("/once/x", head + "\r\nhalf").status == 502);
}

BOOST_FIXTURE_TEST_CASE(error_that_ends_with_a_reset_while_the_request_is_sent_is_not_passed_on,
                        answer_without_length)
{
    send_large_request();
    end = connection_end::reset;
    BOOST_TEST(call_raw("/safe/x", "HTTP/1.0 500 Failed\r\n\r\nhalf").status == 502);
}

BOOST_FIXTURE_TEST_CASE(stream_that_ends_with_a_reset_while_the_request_is_sent_is_broken_off,
                        answer_without_length)
{
    send_large_request();
    end = connection_end::reset;
    BOOST_TEST(call_raw("/turn/x", events(two_events), {{"Call", "t1"}}).status != 200);
    BOOST_TEST(call("POST", "/turn/x", {{"Previous", "t1"}}, "y").status == 404); // nothing was kept
}

// As before, where the connection ends because the upstream acknowledges nothing.
BOOST_FIXTURE_TEST_CASE(answer_whose_connection_times_out_while_the_request_is_sent_is_not_passed_on,
                        answer_without_length)
{
    send_large_request();
    end = connection_end::none;
    BOOST_TEST(call_raw("/once/x", head + "\r\nhalf").status == 502);
}

BOOST_FIXTURE_TEST_CASE(answer_that_ends_in_order_while_the_request_is_sent_is_whole, answer_without_length)
{
    send_large_request();
    end = connection_end::half_in_order;
    const http::response response = call_raw("/once/x", head + "\r\nwhole");
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.body == "whole");
}

// The framing of an answer tells that it is whole, however its connection ends.
BOOST_FIXTURE_TEST_CASE(answer_with_a_length_is_whole_though_its_connection_is_reset, answer_without_length)
{
    send_large_request();
    end = connection_end::reset;
    const http::response response = call_raw("/once/x", head + "Content-Length: 5\r\n\r\nwhole");
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.body == "whole");
}

// The client writes the whole request before it reads, so the answer is lost. The request may have run.
BOOST_FIXTURE_TEST_CASE(client_whose_request_meets_a_reset_reports_it_as_sent, answer_without_length)
{
    send_large_request();
    raw.serve = [this](tcp::socket& socket) {
        read_request(socket);
        write(socket, head + "\r\nhalf");
        boost::system::error_code ignored;
        socket.set_option(tcp::socket::linger(true, 0), ignored);
        socket.close(ignored);
    };
    raw.start();
    http::request request;
    request.method = "POST";
    request.target = "/";
    request.body = request_body;
    BOOST_CHECK_EXCEPTION(
        run(http::fetch_response("http://" + raw.address, request, call_timeout)), http::client_error,
        [](const http::client_error& error) { return error.sent == http::sent_state::maybe_sent; });
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
