// Callers whose requests are in progress while the gateway's connections or bytes are needed by others.
#include "connected_caller.hpp"
#include "http/request_reader.hpp"

namespace guavawick::tests {

namespace {

const std::string last_request =
    "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody";

std::shared_ptr<http::interruptible_stream> make_other_stream(asio::io_context& context)
{
    auto stream = std::make_shared<http::interruptible_stream>();
    stream->executor = context.get_executor();
    return stream;
}

/// Asks a listener to accept another connection. @return whether it is accepted.
bool admit_another(http::request_guard& guard, asio::io_context& context)
{
    const auto activity = std::make_shared<http::connection_activity>();
    return guard.admit("127.0.0.1", activity, make_other_stream(context)) != 0;
}

/// A listener that has room for one connection.
struct full_listener : connected_caller {
    full_listener() : connected_caller(http::byte_limits{}, {1, 1, duration{}}) {}

    /// Asks for the place of the connection. @return whether another connection is accepted.
    bool admit_another() { return tests::admit_another(*server->guard, context); }
};

/// When a request arrives at a connection whose place is asked for.
enum class arrival : std::uint8_t { before_choice, before_interruption, before_its_handling };

void send_around_choice(full_listener& connection, arrival when, const std::string& request)
{
    if (when == arrival::before_choice) {
        connection.send(request);
        connection.admit_another();
        return;
    }
    asio::post(connection.context, [&connection, when, request] {
        const auto send = [&connection, request] { connection.send(request); };
        if (when == arrival::before_interruption) {
            asio::post(connection.context, send);
        }
        connection.admit_another();
        if (when == arrival::before_its_handling) {
            asio::post(connection.context, send);
        }
    });
}

/// A connection to a listener with a byte budget, without the listener's coroutines.
struct leased_connection {
    asio::io_context context{1};
    std::shared_ptr<http::memory_budget> budget;
    tcp::socket client{context};
    boost::beast::tcp_stream stream{context};
    boost::beast::flat_buffer buffer{http::max_parse_buffer(16U << 10U)};
    http::request_parser parser;
    std::optional<http::guarded_connection> connection;

    explicit leased_connection(const http::connection_limits& connections = {})
    {
        http::byte_limits limits;
        limits.total = 100'000;
        limits.per_address = 100'000;
        limits.grace = duration{};
        budget = std::make_shared<http::memory_budget>(limits);
        tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        client.connect(acceptor.local_endpoint());
        acceptor.accept(stream.socket());
        connection.emplace(std::make_shared<http::request_guard>(budget, connections), stream,
                           context.get_executor());
    }

    bool admit_another() { return tests::admit_another(connection->guard(), context); }

    void fill_send_buffer()
    {
        const std::string bytes(1U << 20U, 'x');
        boost::system::error_code error;
        stream.socket().non_blocking(true);
        while (!error) {
            stream.socket().write_some(asio::buffer(bytes), error);
        }
    }

    /// Makes every slow transfer give way.
    void use_whole_budget()
    {
        const std::string other_address = "192.0.2.1";
        http::memory_lease other(*budget, other_address, make_other_stream(context));
        other.force(100'001);
    }

    asio::awaitable<http::read_outcome> read(http::memory_lease& lease)
    {
        const http::read_limits limits;
        const http::read_outcome header =
            co_await http::read_header(*connection, buffer, parser, limits, lease);
        if (header != http::read_outcome::complete) {
            co_return header;
        }
        co_return co_await http::read_body(*connection, buffer, parser, limits, lease);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(connection_pressure_test)

// Guards against a response that is cut off since its connection was chosen to give way before the request.
BOOST_AUTO_TEST_CASE(response_is_not_cut_off_when_its_connection_was_chosen_before_the_request)
{
    leased_connection connection({1, 1, duration{}});
    connection.fill_send_buffer();
    BOOST_TEST(connection.admit_another());
    connection.connection->mark_busy(); // its request has been read meanwhile
    std::optional<boost::system::error_code> written;
    asio::async_write(connection.stream, asio::buffer(whole_request),
                      [&written](boost::system::error_code error, std::size_t bytes) { written = error; });
    connection.context.poll();
    BOOST_TEST(!written.has_value());
}

// Guards against a request that is lost since it arrives when its connection is interrupted.
BOOST_AUTO_TEST_CASE(request_that_arrives_when_its_connection_gives_way_is_answered)
{
    for (const arrival when :
         {arrival::before_choice, arrival::before_interruption, arrival::before_its_handling}) {
        full_listener connection;
        send_around_choice(connection, when, last_request);
        const std::string response = connection.receive_all();
        BOOST_TEST_CONTEXT("arrival " << int(when))
        {
            BOOST_TEST(response.ends_with("done"));
            BOOST_TEST(connection.handled == 2);
        }
    }
}

// Guards against a connection that kept its place and is treated as given up later.
BOOST_AUTO_TEST_CASE(later_request_of_a_connection_that_kept_its_place_is_answered)
{
    for (const arrival when :
         {arrival::before_choice, arrival::before_interruption, arrival::before_its_handling}) {
        full_listener connection;
        send_around_choice(connection, when, whole_request);
        connection.context.poll();
        connection.send(last_request.substr(0, last_request.size() - 1));
        connection.context.poll();
        connection.send(last_request.substr(last_request.size() - 1));
        const std::string responses = connection.receive_all();
        BOOST_TEST_CONTEXT("arrival " << int(when))
        {
            BOOST_TEST(responses.ends_with("done"));
            BOOST_TEST(connection.handled == 3);
        }
    }
}

// Guards against a listener that goes beyond its limit since connections that are to give way keep their
// places.
BOOST_AUTO_TEST_CASE(listener_whose_connection_kept_its_place_admits_no_more)
{
    full_listener connection;
    connection.held = true;
    connection.send(whole_request);
    asio::post(connection.context, [&connection] { BOOST_TEST(connection.admit_another()); });
    connection.context.poll();
    BOOST_TEST(connection.handled == 2);
    BOOST_TEST(connection.server->guard->connections() == 2U);
    for (int i = 0; i < 3; ++i) {
        connection.admit_another();
        connection.context.poll();
        BOOST_TEST(connection.server->guard->connections() <= 2U);
    }
    connection.gate.cancel();
}

// Guards against waiting connections that keep others out.
BOOST_AUTO_TEST_CASE(connection_that_waits_gives_way)
{
    for (const std::string& part : {std::string(), whole_request.substr(0, 10), request_head + "bo"}) {
        full_listener connection;
        connection.send(part);
        connection.context.poll();
        BOOST_TEST(connection.admit_another());
        connection.receive_all();
        BOOST_TEST(connection.handled == 1);
        BOOST_TEST(connection.server->guard->connections() == 1U);
    }
}

// Guards against a request that is cut off since the response before it was slow.
BOOST_AUTO_TEST_CASE(request_after_a_response_that_gave_way_at_its_end_is_read)
{
    leased_connection connection;
    {
        http::memory_lease response(*connection.budget, connection.connection->address(),
                                    connection.connection->shared());
        response.force(60'000);
        connection.use_whole_budget();
    }
    http::memory_lease lease(*connection.budget, connection.connection->address(),
                             connection.connection->shared());
    http::read_outcome outcome = http::read_outcome::closed;
    asio::co_spawn(connection.context, connection.read(lease),
                   [&outcome](const std::exception_ptr&, http::read_outcome read) { outcome = read; });
    connection.context.poll();
    send_all(connection.client, whole_request.substr(0, whole_request.size() - 1));
    connection.context.poll();
    send_all(connection.client, whole_request.substr(whole_request.size() - 1));
    connection.context.poll();
    BOOST_TEST((outcome == http::read_outcome::complete));
}

// Guards against a request that is passed on although its bytes were given to others, and then cut off.
BOOST_AUTO_TEST_CASE(request_whose_bytes_were_given_to_others_is_refused)
{
    leased_connection connection;
    http::memory_lease lease(*connection.budget, connection.connection->address(),
                             connection.connection->shared());
    BOOST_TEST((lease.resize(60'000) == http::byte_answer::granted));
    connection.buffer.commit(
        asio::buffer_copy(connection.buffer.prepare(whole_request.size()), asio::buffer(whole_request)));
    connection.use_whole_budget();
    http::read_outcome outcome = http::read_outcome::closed;
    asio::co_spawn(connection.context, connection.read(lease),
                   [&outcome](const std::exception_ptr&, http::read_outcome read) { outcome = read; });
    connection.context.poll();
    BOOST_TEST((outcome == http::read_outcome::budget_used));
}

// Guards against a running call that is aborted since its caller sends more bytes than may be held.
BOOST_AUTO_TEST_CASE(running_call_is_answered_when_bytes_behind_it_may_not_be_held)
{
    http::byte_limits limits;
    limits.total = 100;
    limits.per_address = 100;
    connected_caller connection(limits);
    const std::string other_address = "192.0.2.1";
    http::memory_lease other(connection.server->guard->budget(), other_address,
                             make_other_stream(connection.context));
    other.force(100);
    connection.held = true;
    connection.send(whole_request);
    connection.context.poll();
    connection.send(whole_request);
    connection.context.poll();
    connection.gate.cancel();
    const std::string response = connection.receive_all();
    BOOST_TEST(response.starts_with("HTTP/1.1 200 OK"));
    BOOST_TEST(response.find("Connection: close") != std::string::npos);
    BOOST_TEST(response.ends_with("done"));
    BOOST_TEST(connection.end == asio::error::eof);
    BOOST_TEST(connection.handled == 2);
}

// Guards against a complete response that is lost by a reset.
BOOST_AUTO_TEST_CASE(connection_of_a_call_whose_handling_failed_is_closed_in_order)
{
    for (const bool is_answered : {false, true}) {
        connected_caller connection;
        connection.server->handle = [is_answered](gateway::raw_request&,
                                                  gateway::responder& response) -> asio::awaitable<void> {
            if (is_answered) {
                std::string body = "done";
                co_await response.send(200, "OK", {}, std::move(body));
            }
            throw std::runtime_error("a fault");
        };
        connection.send(last_request);
        const std::string response = connection.receive_all();
        BOOST_TEST(response.starts_with(is_answered ? "HTTP/1.1 200" : "HTTP/1.1 500"));
        BOOST_TEST(connection.end == asio::error::eof);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
