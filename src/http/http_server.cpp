// HTTP/1.1 server on Boost.Beast.
#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "http/http_type.hpp"
#include "http/request_reader.hpp"
#include "http/response_status.hpp"
#include "runtime/worker_pool.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <thread>

namespace guavawick::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

/// State shared by the acceptor and the connections.
struct server_state : std::enable_shared_from_this<server_state> {
    server_state(asio::any_io_executor executor, const server_limits& server_options, handler request_handler)
        : pool(std::move(executor)), limits(server_options), on_request(std::move(request_handler)),
          acceptor(asio::make_strand(pool))
    {
        if (!limits.guard) {
            connection_limits connections_allowed;
            connections_allowed.total = limits.max_connections;
            connections_allowed.per_address = limits.max_connections;
            limits.guard = std::make_shared<request_guard>(
                std::make_shared<memory_budget>(derive_byte_limits(0)), connections_allowed);
        }
    }

    asio::any_io_executor pool;
    server_limits limits;
    handler on_request;
    tcp::acceptor acceptor;
    std::atomic<bool> draining{false};
    std::atomic<std::uint64_t> active_requests{0};
    std::atomic<std::uint64_t> open{
        0}; ///< the accepting coroutine and the accepted connections, until they end
};

namespace {

constexpr std::size_t max_unleased_response = 16U << 10U; ///< part of what a connection may cost
constexpr duration accept_retry_interval = std::chrono::milliseconds(20);
constexpr duration drain_poll_interval = std::chrono::milliseconds(10);

tcp::endpoint parse_address(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    if (error || colon == std::string::npos) {
        throw link_error(address + ": expected IP:PORT");
    }
    return {ip, static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

class connection_responder : public responder {
public:
    connection_responder(guarded_connection& connection, const server_limits& limits, unsigned version,
                         bool keep_alive)
        : connection_(connection), stream_(connection.stream()), limits_(limits), version_(version),
          keep_alive_(keep_alive)
    {
    }

    asio::awaitable<void> send(response complete_response) override
    {
        started_ = true;
        replace_invalid(complete_response);
        beast::http::response<beast::http::string_body> message{
            static_cast<beast::http::status>(complete_response.status), version_};
        fill_head(message, complete_response);
        message.body() = std::move(complete_response.body);
        message.prepare_payload();
        memory_lease lease(connection_.guard().budget(), connection_.address(), connection_.shared());
        if (message.body().size() > max_unleased_response) {
            lease.force(message.body().size());
        }
        const transfer_scope transfer(lease);
        stream_.expires_after(limits_.write_timeout);
        boost::system::error_code error;
        co_await beast::http::async_write(stream_, message, asio::redirect_error(asio::use_awaitable, error));
        disconnected_ = disconnected_ || error;
    }

    asio::awaitable<void> start_stream(response head) override
    {
        started_ = true;
        streaming_ = true;
        replace_invalid(head);
        beast::http::response<beast::http::empty_body> message{static_cast<beast::http::status>(head.status),
                                                               version_};
        fill_head(message, head);
        message.chunked(true);
        beast::http::response_serializer<beast::http::empty_body> serializer{message};
        stream_.expires_after(limits_.write_timeout);
        boost::system::error_code error;
        co_await beast::http::async_write_header(stream_, serializer,
                                                 asio::redirect_error(asio::use_awaitable, error));
        disconnected_ = disconnected_ || error;
    }

    asio::awaitable<void> write(std::string chunk) override
    {
        if (disconnected_ || chunk.empty()) {
            co_return;
        }
        stream_.expires_after(limits_.write_timeout);
        boost::system::error_code error;
        co_await asio::async_write(stream_, beast::http::make_chunk(asio::buffer(chunk)),
                                   asio::redirect_error(asio::use_awaitable, error));
        disconnected_ = disconnected_ || error;
    }

    asio::awaitable<void> finish() override
    {
        if (disconnected_) {
            co_return;
        }
        stream_.expires_after(limits_.write_timeout);
        boost::system::error_code error;
        co_await asio::async_write(stream_, beast::http::make_chunk_last(),
                                   asio::redirect_error(asio::use_awaitable, error));
        disconnected_ = disconnected_ || error;
        finished_ = true;
    }

    void abort() override { aborted_ = true; }

    [[nodiscard]] bool caller_left() const override
    {
        if (disconnected_) {
            return true;
        }
        // After the caller has closed its connection, the socket is readable, but recv() returns 0 bytes.
        char byte = 0;
        const ssize_t received_bytes =
            ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received_bytes == 0 || (received_bytes < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    [[nodiscard]] bool started() const override { return started_; }
    [[nodiscard]] bool reusable() const
    {
        return keep_alive_ && !disconnected_ && !aborted_ && (!streaming_ || finished_);
    }

private:
    static void replace_invalid(response& head)
    {
        const int status = check_sent_status(head.status);
        if (status != head.status) {
            head = make_response(status, "text/plain", "");
        }
    }

    template <typename Message>
    void fill_head(Message& message, const response& head)
    {
        message.set(beast::http::field::content_type, head.content_type);
        for (const auto& [name, value] : head.headers) {
            message.set(name, value);
        }
        message.keep_alive(keep_alive_);
    }

    guarded_connection& connection_;
    beast::tcp_stream& stream_;
    const server_limits& limits_;
    unsigned version_;
    bool keep_alive_;
    bool started_ = false;
    bool streaming_ = false;
    bool finished_ = false;
    bool aborted_ = false;
    bool disconnected_ = false;
};

request to_request(request_parser& parser)
{
    auto& message = parser.get();
    request result;
    result.method = std::string(message.method_string());
    result.target = std::string(message.target());
    for (const auto& field : message) {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        result.headers[name] = std::string(field.value());
    }
    result.body = std::move(message.body());
    return result;
}

response make_refusal(int status, const char* name, const std::string& detail)
{
    response refusal;
    refusal.status = status;
    refusal.content_type = "application/problem+json";
    refusal.body = R"({"type":"urn:guavawick:failure:)" + std::string(name) + R"(","status":)" +
                   std::to_string(status) + R"(,"detail":")" + detail + R"(","ran":"no"})";
    return refusal;
}

asio::awaitable<void> handle_request(server_state& state, request& received, connection_responder& writer)
{
    std::string error_message;
    try {
        co_await state.on_request(received, writer);
    }
    catch (const std::exception& error) {
        error_message = error.what();
    }
    if (error_message.empty()) {
        co_return;
    }
    log_event(event::internal_fault, {{"target", received.target}, {"reason", error_message}});
    if (!writer.started()) {
        response refusal = make_refusal(500, "internal", "internal error; see the log");
        co_await writer.send(std::move(refusal));
    }
    writer.abort();
}

const char* refusal_detail(read_outcome outcome)
{
    switch (outcome) {
    case read_outcome::malformed:
        return "the request is not valid HTTP";
    case read_outcome::header_too_large:
        return "the header is larger than allowed";
    case read_outcome::body_too_large:
        return "the body is larger than allowed";
    case read_outcome::share_used:
        return "too many bytes of this address's requests wait";
    case read_outcome::budget_used:
        return "too many bytes of requests wait";
    default:
        return "the request did not arrive in time";
    }
}

const char* refusal_name(read_outcome outcome)
{
    switch (outcome) {
    case read_outcome::malformed:
        return "bad_request";
    case read_outcome::header_too_large:
    case read_outcome::body_too_large:
        return "too_large";
    case read_outcome::share_used:
    case read_outcome::budget_used:
        return "overloaded";
    default:
        return "timeout";
    }
}

/// Responds to a request that was not read. The connection closes after it.
asio::awaitable<void> refuse_unread(guarded_connection& connection, connection_responder& writer,
                                    read_outcome outcome)
{
    record_refusal(connection, outcome);
    response refusal = make_refusal(refusal_status(outcome), refusal_name(outcome), refusal_detail(outcome));
    if (is_worth_retrying(outcome)) {
        refusal.headers["Retry-After"] = make_retry_after();
    }
    co_await writer.send(std::move(refusal));
    co_await drain_and_close(connection);
}

/// Reads a request. @param lease holds its bytes.
asio::awaitable<read_outcome> read_request(server_state& state, guarded_connection& connection,
                                           beast::flat_buffer& buffer, request_parser& parser,
                                           memory_lease& lease)
{
    read_limits limits;
    limits.max_header_bytes = state.limits.max_header_bytes;
    limits.max_body_bytes = state.limits.max_body_bytes;
    limits.idle_timeout = state.limits.idle_timeout;
    limits.header_timeout = state.limits.header_timeout;
    limits.body_timeout = state.limits.read_timeout;
    connection.mark_waiting();
    const read_outcome header = co_await read_header(connection, buffer, parser, limits, lease);
    if (header != read_outcome::complete) {
        co_return header;
    }
    co_return co_await read_body(connection, buffer, parser, limits, lease);
}

/// Serves one request of a connection. @return whether the connection may be used for another.
asio::awaitable<bool> serve_request(server_state& state, guarded_connection& connection,
                                    beast::flat_buffer& buffer)
{
    memory_lease lease(connection.guard().budget(), connection.address(), connection.shared());
    auto parser = std::make_unique<request_parser>();
    parser->header_limit(static_cast<std::uint32_t>(state.limits.max_header_bytes));
    parser->body_limit(state.limits.max_body_bytes);
    read_outcome outcome = read_outcome::closed;
    // A stop interrupts the wait for a request, which may have arrived at the same moment.
    while (outcome == read_outcome::closed &&
           (!state.draining.load() || has_unread_bytes(connection, buffer))) {
        outcome = co_await read_request(state, connection, buffer, *parser, lease);
        if (!state.draining.load() || parser->got_some()) {
            break; // a request that broke off in the middle is not waited for again
        }
    }
    if (outcome == read_outcome::closed) {
        co_return false;
    }
    if (connection.displaced()) {
        refuse_connection(
            connection.stream().socket()); // doesn't wait, so that the descriptor closes at once
        co_return false;
    }
    const unsigned version = parser->get().version() == 0 ? 11 : parser->get().version();
    const bool keep_alive =
        outcome == read_outcome::complete && parser->get().keep_alive() && !state.draining.load();
    connection_responder writer(connection, state.limits, version, keep_alive);
    if (outcome != read_outcome::complete) {
        parser.reset(); // its bytes belong to others now
        co_await refuse_unread(connection, writer, outcome);
        co_return false;
    }
    request received = to_request(*parser);
    parser.reset();
    connection.stream().expires_never();
    connection.mark_busy();
    state.active_requests.fetch_add(1);
    co_await handle_request(state, received, writer);
    state.active_requests.fetch_sub(1);
    co_return writer.reusable();
}

/// @return a token that counts as open until its last copy is destroyed.
std::shared_ptr<void> count_open(const std::shared_ptr<server_state>& state)
{
    state->open.fetch_add(1);
    return {nullptr, [state](void*) { state->open.fetch_sub(1); }};
}

asio::awaitable<void> serve_connection(std::shared_ptr<server_state> state, tcp::socket socket,
                                       std::shared_ptr<void> open)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer{max_parse_buffer(state->limits.max_header_bytes)};
    boost::system::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    const auto executor = co_await asio::this_coro::executor;
    guarded_connection connection(state->limits.guard, stream, executor);
    if (!connection.accepted()) {
        refuse_connection(stream.socket());
        co_return;
    }
    while (co_await serve_request(*state, connection, buffer)) {
    }
    co_await drain_and_close(connection);
}

asio::awaitable<void> accept_connections(std::shared_ptr<server_state> state, std::shared_ptr<void> open)
{
    while (!state->draining.load()) {
        boost::system::error_code error;
        tcp::socket socket = co_await state->acceptor.async_accept(
            asio::make_strand(state->pool), asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            co_await runtime::wait_for(accept_retry_interval); // no descriptors are left
            continue;
        }
        const auto executor = socket.get_executor();
        asio::co_spawn(executor, serve_connection(state, std::move(socket), count_open(state)),
                       asio::detached);
    }
}

} // namespace

server::server(asio::any_io_executor pool, const std::string& address, const server_limits& limits,
               handler request_handler)
    : state_(std::make_shared<server_state>(std::move(pool), limits, std::move(request_handler)))
{
    const tcp::endpoint endpoint = parse_address(address);
    try {
        state_->acceptor.open(endpoint.protocol());
        state_->acceptor.set_option(asio::socket_base::reuse_address(true));
        state_->acceptor.bind(endpoint);
        limit_socket_buffers(state_->acceptor);
        state_->acceptor.listen();
    }
    catch (const boost::system::system_error& error) {
        throw link_error(address + ": cannot listen: " + error.what());
    }
    asio::co_spawn(state_->acceptor.get_executor(), accept_connections(state_, count_open(state_)),
                   asio::detached);
}

server::~server()
{
    drain();
}

void server::drain()
{
    if (state_->draining.exchange(true)) {
        return;
    }
    asio::post(state_->acceptor.get_executor(), [state = state_] {
        boost::system::error_code ignored;
        state->acceptor.close(ignored);
    });
    state_->limits.guard->interrupt_idle();
}

void server::drain_within(duration limit)
{
    drain();
    const time_point deadline = runtime_clock::now() + limit;
    while (connections() != 0 && runtime_clock::now() < deadline) {
        std::this_thread::sleep_for(drain_poll_interval);
    }
}

std::uint64_t server::connections() const
{
    return state_->open.load();
}

std::uint64_t server::active_requests() const
{
    return state_->active_requests.load();
}

} // namespace guavawick::http
