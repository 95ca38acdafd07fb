// Connections from callers to a gateway.
#include "gateway/caller_connection.hpp"

#include "base/event_type.hpp"
#include "http/request_reader.hpp"
#include "http/response_status.hpp"
#include "runtime/worker_pool.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <netinet/tcp.h>

namespace guavawick::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::seconds write_timeout{10}; ///< of one write to a slow caller
constexpr std::chrono::seconds body_timeout{30};  ///< for a request body to arrive
constexpr unsigned unacknowledged_timeout_ms =
    5000; ///< a caller that acknowledges no data for this long is disconnected
constexpr std::size_t max_unleased_response = 16U << 10U; ///< part of what a connection may cost
constexpr std::size_t response_piece_bytes = 64U << 10U;  ///< of a large response, whose progress is measured
constexpr std::uint64_t pipelined_bytes = 64U << 10U;     ///< that the kernel holds unread while a call runs

/// Discarded behind a running call. By then the kernel offers its smallest window, so that what waits unread
/// is part of what a connection may cost.
constexpr std::size_t max_discarded_bytes = 256U << 10U;

using http::request_parser;

/// @return the headers of a response that the gateway generates itself.
header_list plain_text()
{
    return {{"Content-Type", "text/plain"}};
}

/// Replaces the head of a response whose status can't be sent. @return whether it was replaced.
bool replace_invalid(int& status, std::string& reason, header_list& headers)
{
    const int checked_status = http::check_sent_status(status);
    if (checked_status == status) {
        return false;
    }
    status = checked_status;
    reason = "Bad Gateway";
    headers = plain_text();
    return true;
}

/// Ambiguous framing would allow request smuggling: bytes of a body could be taken for another request.
/// @return whether the body has exactly one possible length.
bool is_framing_unambiguous(const request_parser& parser)
{
    const auto& message = parser.get();
    std::size_t length_fields = 0;
    for (const auto& field : message) {
        if (field.name() == beast::http::field::transfer_encoding &&
            !beast::iequals(field.value(), "chunked")) {
            return false;
        }
        length_fields += field.name() == beast::http::field::content_length ? 1 : 0;
    }
    const bool chunked = message.count(beast::http::field::transfer_encoding) > 0;
    return message.count(beast::http::field::transfer_encoding) <= 1 && length_fields <= 1 &&
           !(chunked && length_fields > 0);
}

raw_request make_request(request_parser& parser)
{
    auto& message = parser.get();
    raw_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message) {
        request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    request.body = std::move(message.body());
    return request;
}

/// @return whether the bytes that wait behind a running call may be held. They are not given up then.
bool hold_pipelined_bytes(http::memory_lease& pipelined)
{
    return pipelined.resize(pipelined_bytes) == http::byte_answer::granted && pipelined.end_transfer();
}

/// State shared by watch_caller() and the coroutine that responds to the request.
struct caller_watch {
    bool active = true; ///< watch_caller() has not returned yet
    bool stop_requested = false;
};

/// @return whether the caller has closed its connection. @pre the socket is readable.
bool has_closed(tcp::socket& socket)
{
    char byte = 0;
    const ssize_t received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/// Records that the caller left and calls `on_caller_left` if the caller closes the connection while its
/// request is in progress.
/// @param pipelined holds the bytes that the caller sends meanwhile. If they may not be held they are
/// discarded, and the connection closes after the response.
asio::awaitable<void> watch_caller(beast::tcp_stream& stream, responder& response,
                                   std::shared_ptr<caller_watch> watch, http::memory_lease& pipelined)
{
    std::size_t discarded = 0;
    bool watched = true;
    while (watched) {
        boost::system::error_code error;
        co_await stream.socket().async_wait(tcp::socket::wait_read,
                                            asio::redirect_error(asio::use_awaitable, error));
        if (error || watch->stop_requested) {
            break;
        }
        if (has_closed(stream.socket())) {
            response.set_left(departure::caller_closed);
            if (response.on_caller_left) {
                response.on_caller_left();
            }
            break;
        }
        if (discarded == 0 && hold_pipelined_bytes(pipelined)) {
            break;
        }
        response.disable_keep_alive();
        discarded += http::discard_unread_bytes(stream.socket());
        watched = discarded < max_discarded_bytes;
    }
    watch->active = false;
}

asio::awaitable<void> handle_request(caller_server& server, raw_request& request, responder& response)
{
    std::string failure;
    try {
        co_await server.handle(request, response);
    }
    catch (const std::exception& error) {
        failure = error.what();
    }
    if (!failure.empty()) {
        log_event(event::internal_fault, {{"target", request.target}, {"reason", failure}});
        response.disable_keep_alive();
        if (!response.started()) {
            co_await response.send(500, "Internal Server Error", plain_text(), "internal fault\n");
        }
        if (response.aborted()) {
            response.abort(); // a reset could destroy a complete response that is on its way
        }
    }
}

/// Reads a request. @param lease holds its bytes.
asio::awaitable<http::read_outcome> read_request(caller_server& server, http::guarded_connection& connection,
                                                 beast::flat_buffer& buffer, request_parser& parser,
                                                 http::memory_lease& lease)
{
    http::read_limits limits;
    limits.max_header_bytes = server.limits.max_header_bytes;
    limits.max_body_bytes = server.limits.max_body_bytes;
    limits.idle_timeout = server.limits.idle_timeout;
    limits.header_timeout = server.limits.header_timeout;
    limits.body_timeout = body_timeout;
    connection.mark_waiting();
    const http::read_outcome header = co_await http::read_header(connection, buffer, parser, limits, lease);
    if (header != http::read_outcome::complete) {
        co_return header;
    }
    if (!is_framing_unambiguous(parser)) {
        co_return http::read_outcome::malformed;
    }
    co_return co_await http::read_body(connection, buffer, parser, limits, lease);
}

/// Responds to a request that was not read, so that nothing was sent to an upstream.
asio::awaitable<void> refuse_unread(http::guarded_connection& connection, responder& response,
                                    http::read_outcome outcome)
{
    const int status = http::refusal_status(outcome);
    http::record_refusal(connection, outcome);
    log_event(event::call_refused,
              {{"reason", "the request can't be read"}, {"status", std::uint64_t(status)}});
    header_list headers = plain_text();
    if (http::is_worth_retrying(outcome)) {
        headers.emplace_back("Retry-After", http::make_retry_after());
    }
    co_await response.send(status, "Refused", std::move(headers), "");
}

/// Serves one request of a connection.
/// @return whether another request may follow.
asio::awaitable<bool> serve_request(caller_server& server, http::guarded_connection& connection,
                                    beast::flat_buffer& buffer)
{
    beast::tcp_stream& stream = connection.stream();
    http::memory_lease lease(connection.guard().budget(), connection.address(), connection.shared());
    auto parser = std::make_unique<request_parser>();
    parser->header_limit(static_cast<std::uint32_t>(server.limits.max_header_bytes));
    parser->body_limit(server.limits.max_body_bytes);
    http::read_outcome outcome = http::read_outcome::closed;
    // A stop interrupts the wait for a request, which may have arrived at the same moment.
    while (outcome == http::read_outcome::closed &&
           (!server.closing || http::has_unread_bytes(connection, buffer))) {
        outcome = co_await read_request(server, connection, buffer, *parser, lease);
        if (!server.closing || parser->got_some()) {
            break; // a request that broke off in the middle is not waited for again
        }
    }
    if (outcome == http::read_outcome::closed) {
        co_return false;
    }
    if (connection.displaced()) {
        http::refuse_connection(stream.socket()); // doesn't wait, so that the descriptor closes at once
        co_return false;
    }
    const bool supports_chunked = parser->get().version() >= 11;
    responder response(
        connection, outcome == http::read_outcome::complete && parser->get().keep_alive() && !server.draining,
        supports_chunked);
    if (outcome != http::read_outcome::complete) {
        parser.reset(); // its bytes belong to others now
        co_await refuse_unread(connection, response, outcome);
        co_return false;
    }
    response.head_only = parser->get().method() == beast::http::verb::head;
    raw_request request = make_request(*parser);
    parser.reset();
    stream.expires_never();
    connection.mark_busy();
    const auto executor = co_await asio::this_coro::executor;
    auto watch = std::make_shared<caller_watch>();
    http::memory_lease pipelined(connection.guard().budget(), connection.address(), connection.shared());
    if (buffer.size() == 0) {
        asio::co_spawn(executor, watch_caller(stream, response, watch, pipelined), asio::detached);
    }
    else {
        watch->active = false; // not watched: a pipelined request has been received already
        if (!hold_pipelined_bytes(pipelined)) {
            response.disable_keep_alive();
            co_await refuse_unread(connection, response, http::read_outcome::budget_used);
            co_return false;
        }
    }
    co_await handle_request(server, request, response);
    watch->stop_requested = true;
    while (watch->active) {
        boost::system::error_code ignored;
        stream.socket().cancel(ignored);
        co_await asio::post(executor, asio::use_awaitable);
    }
    co_return response.reusable();
}

asio::awaitable<void> serve_caller(std::shared_ptr<caller_server> server, tcp::socket socket,
                                   std::shared_ptr<void> open)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer{http::max_parse_buffer(server->limits.max_header_bytes)};
    boost::system::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    const unsigned timeout_ms = unacknowledged_timeout_ms;
    ::setsockopt(stream.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                 sizeof timeout_ms);
    const auto executor = co_await asio::this_coro::executor;
    http::guarded_connection connection(server->guard, stream, executor);
    if (!connection.accepted()) {
        http::refuse_connection(stream.socket());
        co_return;
    }
    while (co_await serve_request(*server, connection, buffer)) {
    }
    connection.mark_waiting();
    co_await http::drain_and_close(connection);
}

} // namespace

responder::responder(http::guarded_connection& connection, bool keep_alive, bool supports_chunked)
    : connection_(connection), stream_(connection.stream()), keep_alive_(keep_alive),
      supports_chunked_(supports_chunked)
{
}

std::string responder::make_head(int status, const std::string& reason, const header_list& headers,
                                 const std::string& framing) const
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
    for (const auto& [name, value] : headers) {
        head.append(name).append(": ").append(value).append("\r\n");
    }
    head += framing;
    head += keep_alive_ ? "\r\n" : "Connection: close\r\n\r\n";
    return head;
}

void responder::abort()
{
    aborted_ = true;
    set_left(departure::aborted);
    // Forces a reset, since a normal close could be taken for the end of the response.
    boost::system::error_code ignored;
    stream_.socket().set_option(tcp::socket::linger(true, 0), ignored);
    stream_.socket().close(ignored);
}

asio::awaitable<void> responder::write_raw(std::string bytes)
{
    if (caller_left()) {
        co_return;
    }
    if (bytes.size() > max_unleased_response) {
        co_await write_large(std::move(bytes));
        co_return;
    }
    stream_.expires_after(write_timeout);
    boost::system::error_code error;
    co_await asio::async_write(stream_, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, error));
    stream_.expires_never();
    if (error) {
        set_left(departure::write_failed);
    }
}

asio::awaitable<void> responder::write_large(std::string bytes)
{
    http::memory_lease lease(connection_.guard().budget(), connection_.address(), connection_.shared());
    lease.force(bytes.size());
    const http::transfer_scope transfer(lease);
    stream_.expires_after(write_timeout);
    boost::system::error_code error;
    for (std::size_t sent = 0; !error && sent < bytes.size(); sent += response_piece_bytes) {
        const asio::const_buffer piece =
            asio::buffer(bytes.data() + sent, std::min(response_piece_bytes, bytes.size() - sent));
        co_await asio::async_write(stream_, piece, asio::redirect_error(asio::use_awaitable, error));
        lease.record_transfer(piece.size());
        if (!error && sent + piece.size() < bytes.size() && lease.given_up()) {
            error = asio::error::operation_aborted; // the interruption found no pending write
        }
    }
    stream_.expires_never();
    if (error && lease.given_up()) {
        log_event(event::reader_given_up, {{"address", connection_.address()}});
    }
    if (error) {
        set_left(departure::write_failed);
    }
}

asio::awaitable<void> responder::send(int status, std::string reason, header_list headers, std::string body)
{
    started_ = true;
    if (replace_invalid(status, reason, headers)) {
        body.clear();
    }
    const bool bodiless = status == 204 || status == 304;
    const std::string length = bodiless ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    std::string bytes = make_head(status, reason, headers, length);
    if (!head_only && !bodiless) {
        bytes += body;
    }
    std::string().swap(body); // not held twice while a slow caller reads
    co_await write_raw(std::move(bytes));
    complete_ = !caller_left();
}

asio::awaitable<void> responder::start(int status, std::string reason, header_list headers)
{
    started_ = true;
    replace_invalid(status, reason, headers);
    if (!supports_chunked_) {
        keep_alive_ = false;
    }
    std::string head =
        make_head(status, reason, headers, supports_chunked_ ? "Transfer-Encoding: chunked\r\n" : "");
    co_await write_raw(std::move(head));
}

asio::awaitable<void> responder::write(std::string part)
{
    if (part.empty() || head_only) {
        co_return;
    }
    if (!supports_chunked_) {
        co_await write_raw(std::move(part));
        co_return;
    }
    std::array<char, 20> size{};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
    std::string chunk(size.data(), static_cast<std::size_t>(length));
    chunk += part;
    chunk += "\r\n";
    co_await write_raw(std::move(chunk));
}

asio::awaitable<void> responder::finish()
{
    if (supports_chunked_ && !head_only) {
        std::string last_chunk = "0\r\n\r\n";
        co_await write_raw(std::move(last_chunk));
    }
    complete_ = !caller_left();
}

void close_idle_connections(caller_server& server)
{
    server.closing = true;
    log_event(event::idle_connections_closed, {{"open", server.guard->connections()}});
    server.guard->interrupt_idle();
}

namespace {

/// @return a token that counts as open until its last copy is destroyed.
std::shared_ptr<void> count_open(const std::shared_ptr<caller_server>& server)
{
    ++server->open;
    return {nullptr, [server](void*) { --server->open; }};
}

} // namespace

asio::awaitable<void> accept_callers(std::shared_ptr<tcp::acceptor> acceptor,
                                     std::shared_ptr<caller_server> server)
{
    const auto executor = co_await asio::this_coro::executor;
    const std::shared_ptr<void> accepting = count_open(server);
    while (acceptor->is_open()) {
        boost::system::error_code error;
        tcp::socket socket =
            co_await acceptor->async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
            co_return;
        }
        if (error) {
            co_await runtime::wait_for(
                std::chrono::milliseconds(20)); // file descriptors exhausted, try again
            continue;
        }
        asio::co_spawn(executor, serve_caller(server, std::move(socket), count_open(server)), asio::detached);
    }
}

} // namespace guavawick::gateway
