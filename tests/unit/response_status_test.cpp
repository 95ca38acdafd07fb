// Statuses of HTTP responses: their classes and the client that reads them.
#include "http/http_error_type.hpp"
#include "http/response_status.hpp"
#include "raw_upstream.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

namespace {

using namespace std::chrono_literals;
using http::response_kind;

constexpr duration fetch_timeout = 20s;

std::string status_line(const std::string& status)
{
    return "HTTP/1.1 " + status + " Reason\r\n";
}

const std::string interim_head = status_line("103") + "Content-Type: text/early\r\n\r\n";
const std::string final_answer =
    status_line("404") + "Content-Type: text/plain\r\nContent-Length: 2\r\n\r\nno";

std::string repeat(const std::string& text, int times)
{
    std::string repeated;
    for (int i = 0; i < times; ++i) {
        repeated += text;
    }
    return repeated;
}

/// A client of a server that answers with given bytes and then closes the connection.
struct client_of_raw_bytes {
    /// @return the response. @throw client_error if there is none.
    http::response fetch(const std::string& answer)
    {
        raw_upstream server;
        server.serve = [&answer](tcp::socket& socket) {
            read_request(socket);
            write(socket, answer);
            boost::system::error_code ignored;
            socket.shutdown(tcp::socket::shutdown_send, ignored);
            std::string rest;
            asio::read_until(socket, asio::dynamic_buffer(rest), "\n", ignored); // until the client closes
        };
        server.start();
        http::request request;
        request.method = "GET";
        request.target = "/";
        asio::io_context context;
        auto pending = asio::co_spawn(
            context, http::fetch_response("http://" + server.address, std::move(request), fetch_timeout),
            asio::use_future);
        context.run();
        return pending.get();
    }

    /// @return the text of the error that the client throws, empty if it throws none.
    std::string failure(const std::string& answer)
    {
        try {
            fetch(answer);
        }
        catch (const http::client_error& error) {
            BOOST_TEST((error.sent == http::sent_state::maybe_sent));
            BOOST_TEST(!error.timed_out);
            return error.what();
        }
        return "";
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(response_status_test)

BOOST_AUTO_TEST_CASE(status_of_every_number_has_one_kind)
{
    for (int status = -1; status <= 100'000; ++status) {
        const bool interim = status >= 100 && status <= 199 && status != 101;
        const bool final_response = status >= 200 && status <= 599;
        const response_kind expected = interim          ? response_kind::interim
                                       : final_response ? response_kind::final_response
                                                        : response_kind::invalid;
        BOOST_REQUIRE((http::classify_status(status) == expected));
    }
}

BOOST_FIXTURE_TEST_CASE(client_takes_an_invalid_status_for_no_answer, client_of_raw_bytes)
{
    for (const std::string status : {"000", "099", "101", "600", "999"}) {
        const std::string answer = status_line(status) + "Content-Length: 2\r\n\r\nno";
        BOOST_TEST(failure(answer).ends_with(": invalid status " + status));
        BOOST_TEST(failure(interim_head + answer).ends_with(": invalid status " + status));
    }
    for (const std::string status : {"20", "2000", "-20", "2x0"}) {
        BOOST_TEST(!failure(status_line(status) + "Content-Length: 2\r\n\r\nno").empty());
    }
}

BOOST_FIXTURE_TEST_CASE(client_takes_an_interim_status_as_the_last_word_for_no_answer, client_of_raw_bytes)
{
    for (const std::string status : {"100", "102", "103"}) {
        BOOST_TEST(
            failure(status_line(status) + "\r\n").ends_with(": no final answer after status " + status));
    }
}

BOOST_FIXTURE_TEST_CASE(client_skips_interim_responses_up_to_the_limit, client_of_raw_bytes)
{
    for (const std::string status : {"100", "102", "103"}) {
        const http::response response = fetch(status_line(status) + "\r\n" + final_answer);
        BOOST_TEST(response.status == 404);
        BOOST_TEST(response.body == "no");
    }
    const http::response response = fetch(repeat(interim_head, http::max_interim_responses) + final_answer);
    BOOST_TEST(response.status == 404);
    BOOST_TEST(response.content_type == "text/plain");
    BOOST_TEST(failure(repeat(interim_head, http::max_interim_responses + 1) + final_answer)
                   .ends_with(": no final answer after status 103"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
