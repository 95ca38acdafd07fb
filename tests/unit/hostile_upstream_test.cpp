// Upstreams that misbehave byte by byte: answers without end, and second copies of answers.
#include "small_fleet.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <future>
#include <thread>

namespace guavawick::tests {

namespace {

using tcp = asio::ip::tcp;

/// What a gateway may take of an answer without end: its own limits and the buffers of two sockets.
constexpr std::size_t max_taken_bytes = 32U << 20U;

/// An upstream that runs a function on each connection, on a thread of its own.
struct raw_upstream {
    asio::io_context context;
    tcp::acceptor acceptor{context};
    tcp::socket connection{context};
    std::atomic<bool> accepted{false}; ///< a call has reached this upstream
    std::string address = find_free_address();
    std::thread thread;
    std::function<void(tcp::socket&)> serve;

    raw_upstream()
    {
        const std::size_t colon = address.rfind(':');
        const tcp::endpoint endpoint(asio::ip::make_address(address.substr(0, colon)),
                                     static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
        acceptor.open(endpoint.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen();
    }

    ~raw_upstream()
    {
        ::shutdown(acceptor.native_handle(), SHUT_RDWR); // ends the thread's accept, or its read
        ::shutdown(connection.native_handle(), SHUT_RDWR);
        if (thread.joinable()) {
            thread.join();
        }
    }

    raw_upstream(const raw_upstream&) = delete;
    raw_upstream& operator=(const raw_upstream&) = delete;

    /// Serves one connection.
    void start()
    {
        thread = std::thread([this] {
            boost::system::error_code error;
            acceptor.accept(connection, error);
            if (!error) {
                accepted.store(true);
                serve(connection);
            }
        });
    }
};

/// Reads a request without a body. @return the value of its "Call" header; empty if the connection ended.
std::string read_request(tcp::socket& socket)
{
    std::string received;
    boost::system::error_code error;
    asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", error);
    const std::size_t begin = received.find("Call: ");
    if (error || begin == std::string::npos) {
        return {};
    }
    const std::size_t value = begin + std::string("Call: ").size();
    return received.substr(value, received.find("\r\n", value) - value);
}

void write(tcp::socket& socket, const std::string& bytes)
{
    boost::system::error_code ignored; // the gateway may have closed the connection
    asio::write(socket, asio::buffer(bytes), ignored);
}

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
