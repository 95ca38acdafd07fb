// Connections of callers while a gateway or an HTTP server stops.
#include "connected_caller.hpp"
#include "free_address.hpp"
#include "http/http_type.hpp"

namespace guavawick::tests {

BOOST_AUTO_TEST_SUITE(drain_test)

// Guards against a request that is run although its response can't be delivered.
BOOST_AUTO_TEST_CASE(request_received_when_the_gateway_stops_is_answered)
{
    for (const bool is_read : {false, true}) {
        connected_caller connection;
        connection.send(whole_request);
        if (is_read) {
            connection.drain_before_handlers();
        }
        else {
            connection.drain();
        }
        const std::string response = connection.receive_all();
        BOOST_TEST_CONTEXT(connection.handled - 1 << " requests passed on")
        {
            BOOST_TEST(response.starts_with("HTTP/1.1 200 OK"));
            BOOST_TEST(response.ends_with("done"));
            BOOST_TEST(connection.handled == 2);
        }
    }
}

// Guards against a request that is cut off in the middle by a planned stop.
BOOST_AUTO_TEST_CASE(request_in_transfer_when_the_gateway_stops_is_answered)
{
    for (std::size_t sent = 1; sent < whole_request.size(); ++sent) {
        connected_caller connection;
        connection.send(whole_request.substr(0, sent));
        connection.context.poll();
        connection.drain();
        connection.context.poll();
        connection.send(whole_request.substr(sent));
        const std::string response = connection.receive_all();
        BOOST_TEST_CONTEXT("after byte " << sent)
        {
            BOOST_TEST(response.ends_with("done"));
        }
    }
}

// Guards against a stop that waits for connections on which nothing arrives.
BOOST_AUTO_TEST_CASE(idle_connection_is_closed_when_the_gateway_stops)
{
    connected_caller connection;
    connection.drain();
    BOOST_TEST(connection.receive_all() == "");
    BOOST_TEST(connection.handled == 1);
}

// Guards against an exit while a request that arrived during the stop still runs.
BOOST_AUTO_TEST_CASE(connection_is_counted_until_its_last_response_is_sent)
{
    connected_caller connection;
    connection.send(whole_request);
    connection.acceptor->close();
    connection.drain();
    while (connection.server->open > 0) {
        connection.context.run_one();
    }
    BOOST_TEST(connection.handled == 2);
    BOOST_TEST(connection.caller.available() > 0U);
}

// Guards against a connection that is accepted last and then waits for a request beyond the stop.
BOOST_AUTO_TEST_CASE(connection_accepted_during_the_stop_is_closed)
{
    connected_caller connection;
    tcp::socket late(connection.context);
    late.connect(connection.acceptor->local_endpoint());
    connection.drain();
    connection.context.poll();
    std::array<char, 16> byte{};
    boost::system::error_code error;
    late.non_blocking(true);
    late.receive(asio::buffer(byte), 0, error);
    BOOST_TEST((error == asio::error::eof));
}

// Guards against a stop that reads a connection again and again which broke off inside a request.
BOOST_AUTO_TEST_CASE(request_that_breaks_off_during_the_stop_ends_its_connection)
{
    const std::string chunk = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5";
    for (const std::string& part : {std::string("POST /x HT"), request_head + "bo", chunk}) {
        connected_caller connection;
        connection.send(part);
        connection.context.poll();
        connection.drain();
        connection.caller.shutdown(tcp::socket::shutdown_send);
        BOOST_TEST(connection.receive_all() == "");
        BOOST_TEST(connection.handled == 1);
    }
}

// Guards against a request that is read and discarded after the response before it.
BOOST_AUTO_TEST_CASE(next_request_of_a_kept_connection_is_answered_while_the_gateway_drains)
{
    connected_caller connection;
    connection.held = true;
    connection.send(whole_request);
    connection.context.poll();
    connection.server->draining = true; // the response in progress has promised to keep the connection
    connection.send(whole_request);
    connection.held = false;
    connection.gate.cancel();
    const std::string responses = connection.receive_all();
    BOOST_TEST(connection.handled == 3);
    BOOST_TEST(responses.find("done") != responses.rfind("done"));
    BOOST_TEST(responses.find("Connection: close") != std::string::npos);
}

// Guards against a server that takes its own shutdown for a caller who left.
BOOST_AUTO_TEST_CASE(request_received_when_a_server_drains_has_its_caller)
{
    asio::io_context context{1};
    const std::string address = find_free_address();
    int handled = 0;
    bool left = true;
    http::server server(context.get_executor(), address, {},
                        [&](http::request&, http::responder& response) -> asio::awaitable<void> {
                            ++handled;
                            left = response.caller_left();
                            http::response done = http::make_response(200, "text/plain", "done");
                            co_await response.send(std::move(done));
                        });
    tcp::socket caller(context);
    const std::size_t colon = address.rfind(':');
    caller.connect({asio::ip::make_address(address.substr(0, colon)),
                    static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))});
    while (server.connections() < 2) { // the listener itself and the caller
        context.run_one();
    }
    send_all(caller, whole_request);
    asio::post(context, [&server] { server.drain(); });
    while (server.connections() > 0) {
        context.run_one();
    }
    BOOST_TEST(handled == 1);
    BOOST_TEST(!left);
    BOOST_TEST(caller.available() > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
