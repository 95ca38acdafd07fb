// Statuses of HTTP responses: their classes, the client that reads them and the servers that send them.
#include "free_address.hpp"
#include "gateway/caller_connection.hpp"
#include "http/http_error_type.hpp"
#include "http/response_status.hpp"
#include "raw_upstream.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
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

/// Servers whose handlers choose a status.
struct sending_servers {
    asio::io_context context{1};
    int status = 200;
    bool streams = false;

    asio::awaitable<void> respond(http::responder& out) const
    {
        http::response response = http::make_response(status, "text/plain", streams ? "" : "body");
        if (!streams) {
            co_await out.send(std::move(response));
            co_return;
        }
        co_await out.start_stream(std::move(response));
        co_await out.finish();
    }

    asio::awaitable<void> respond_to_caller(gateway::responder& out) const
    {
        std::string body = "body";
        gateway::header_list headers{{"Secret", "x"}};
        if (!streams) {
            co_await out.send(status, "Reason", std::move(headers), std::move(body));
            co_return;
        }
        co_await out.start(status, "Reason", std::move(headers));
        co_await out.finish();
    }

    /// @return the first line of the response and the rest of it.
    std::string exchange(const tcp::endpoint& server)
    {
        std::string response;
        tcp::socket caller(context);
        caller.connect(server);
        asio::write(caller,
                    asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")));
        bool ended = false;
        asio::async_read(caller, asio::dynamic_buffer(response),
                         [&ended](boost::system::error_code, std::size_t) { ended = true; });
        while (!ended) {
            context.run_one();
        }
        return response;
    }

    std::string call_server()
    {
        const std::string address = find_free_address();
        const std::size_t colon = address.rfind(':');
        http::server server(context.get_executor(), address, http::server_limits{},
                            [this](http::request&, http::responder& out) { return respond(out); });
        return exchange(tcp::endpoint(asio::ip::make_address(address.substr(0, colon)),
                                      static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))));
    }

    std::string call_gateway()
    {
        auto server = std::make_shared<gateway::caller_server>();
        server->guard = std::make_shared<http::request_guard>(
            std::make_shared<http::memory_budget>(http::byte_limits{}), http::connection_limits{});
        server->handle = [this](gateway::raw_request&, gateway::responder& out) {
            return respond_to_caller(out);
        };
        auto acceptor =
            std::make_shared<tcp::acceptor>(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        asio::co_spawn(context, gateway::accept_callers(acceptor, server), asio::detached);
        const std::string response = exchange(acceptor->local_endpoint());
        acceptor->close();
        return response;
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

BOOST_FIXTURE_TEST_CASE(status_that_is_not_final_is_not_sent, sending_servers)
{
    for (const bool is_stream : {false, true}) {
        streams = is_stream;
        for (const int invalid : {0, 99, 100, 101, 199, 600, 999, 1000, -1}) {
            status = invalid;
            BOOST_TEST_CONTEXT(invalid << (streams ? " stream" : ""))
            {
                BOOST_TEST(call_server().starts_with("HTTP/1.1 502 "));
                const std::string response = call_gateway();
                BOOST_TEST(response.starts_with("HTTP/1.1 502 Bad Gateway\r\n"));
                BOOST_TEST(response.find("Secret") == std::string::npos);
                BOOST_TEST(response.find("body") == std::string::npos);
            }
        }
        for (const int valid : {200, 404, 599}) {
            status = valid;
            const std::string expected = "HTTP/1.1 " + std::to_string(valid) + " ";
            BOOST_TEST(call_server().starts_with(expected));
            BOOST_TEST(call_gateway().starts_with(expected));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
