// Callers' connections of an entry.
#include "gateway/caller_connection.hpp"

#include "base/event_type.hpp"
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

#include <netinet/tcp.h>
#include <set>

namespace guavawick::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::seconds write_limit{10};        ///< for one write to a slow caller
constexpr std::chrono::seconds body_limit{30};         ///< for a body to arrive
constexpr std::chrono::milliseconds drain_limit{1000}; ///< for a caller to read an answer and close
constexpr unsigned silent_caller_ms = 5000; ///< a caller that acknowledges nothing for this long is gone

using request_parser = beast::http::request_parser<beast::http::string_body>;

/// The head of an answer of our own.
header_list plain_text()
{
    return {{"Content-Type", "text/plain"}};
}

/// A body's framing must be beyond doubt, or its bytes could be taken for another request.
bool framing_is_certain(const request_parser& parser)
{
    const auto& message = parser.get();
    std::size_t lengths = 0;
    for (const auto& field : message) {
        if (field.name() == beast::http::field::transfer_encoding &&
            !beast::iequals(field.value(), "chunked")) {
            return false;
        }
        lengths += field.name() == beast::http::field::content_length ? 1 : 0;
    }
    const bool chunked = message.count(beast::http::field::transfer_encoding) > 0;
    return message.count(beast::http::field::transfer_encoding) <= 1 && lengths <= 1 &&
           !(chunked && lengths > 0);
}

raw_request to_request(request_parser& parser)
{
    auto& message = parser.get();
    raw_request made;
    made.method = std::string(message.method_string());
    made.target = std::string(message.target());
    for (const auto& field : message) {
        made.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    made.body = std::move(message.body());
    return made;
}

/// Watches a caller's connection while its request is answered.
struct caller_watch {
    bool running = true;
    bool stopped = false;
};

asio::awaitable<void> watch_caller(beast::tcp_stream& stream, answer_port& port,
                                   std::shared_ptr<caller_watch> watch)
{
    boost::system::error_code failed;
    co_await stream.socket().async_wait(tcp::socket::wait_read,
                                        asio::redirect_error(asio::use_awaitable, failed));
    if (!failed && !watch->stopped) {
        char byte = 0;
        const ssize_t got = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool closed = got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
        if (closed) {
            port.left_ = true;
            if (port.on_left) {
                port.on_left();
            }
        }
    }
    watch->running = false;
}

asio::awaitable<void> answer_request(caller_server& server, raw_request& received, answer_port& port)
{
    std::string fault;
    try {
        co_await server.handle(received, port);
    }
    catch (const std::exception& error) {
        fault = error.what();
    }
    if (!fault.empty()) {
        log_event(event::internal_fault, {{"target", received.target}, {"reason", fault}});
        if (!port.started()) {
            co_await port.send(500, "Internal Server Error", plain_text(), "internal fault\n");
        }
        port.abort();
    }
}

/// Reads a request. @return the status to refuse it with, 0 if it was read, -1 if there is none.
asio::awaitable<int> read_request(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                  request_parser& parser, caller_server& server)
{
    boost::system::error_code failed;
    stream.expires_after(server.limits.idle_timeout);
    co_await beast::http::async_read_header(stream, buffer, parser,
                                            asio::redirect_error(asio::use_awaitable, failed));
    if (failed == beast::http::error::header_limit) {
        co_return 431;
    }
    if (failed == beast::http::error::body_limit) {
        co_return 413;
    }
    if (failed) {
        const bool malformed =
            failed.category() == beast::http::make_error_code(beast::http::error::bad_method).category() &&
            failed != beast::http::error::end_of_stream && failed != beast::http::error::partial_message;
        co_return malformed ? 400 : -1;
    }
    if (!framing_is_certain(parser)) {
        co_return 400;
    }
    if (beast::iequals(parser.get()[beast::http::field::expect], "100-continue")) {
        const std::string go_on = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(stream, asio::buffer(go_on),
                                   asio::redirect_error(asio::use_awaitable, failed));
    }
    stream.expires_after(body_limit);
    co_await beast::http::async_read(stream, buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, failed));
    if (failed == beast::http::error::body_limit) {
        co_return 413;
    }
    if (failed) {
        const bool malformed =
            failed.category() == beast::http::make_error_code(beast::http::error::bad_method).category() &&
            failed != beast::http::error::partial_message;
        co_return malformed ? 400 : -1;
    }
    co_return 0;
}

/// Serves one request of a connection. @return whether another may follow.
asio::awaitable<bool> serve_one(caller_server& server, beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                bool& idle)
{
    request_parser parser;
    parser.header_limit(static_cast<std::uint32_t>(server.limits.max_header_bytes));
    parser.body_limit(server.limits.max_body_bytes);
    idle = true;
    const int refused = co_await read_request(stream, buffer, parser, server);
    idle = false;
    if (refused < 0) {
        co_return false;
    }
    const bool modern = parser.get().version() >= 11;
    answer_port port(stream, refused == 0 && parser.get().keep_alive() && !server.leaving, modern);
    if (refused > 0) {
        log_event(event::call_refused,
                  {{"reason", "the request can't be read"}, {"status", std::uint64_t(refused)}});
        co_await port.send(refused, "Refused", plain_text(), "");
        co_return false;
    }
    port.head_only = parser.get().method() == beast::http::verb::head;
    raw_request received = to_request(parser);
    stream.expires_never();
    const auto executor = co_await asio::this_coro::executor;
    auto watch = std::make_shared<caller_watch>();
    if (buffer.size() == 0) {
        asio::co_spawn(executor, watch_caller(stream, port, watch), asio::detached);
    }
    else {
        watch->running = false; // a further request was sent already
    }
    ++server.running;
    co_await answer_request(server, received, port);
    --server.running;
    watch->stopped = true;
    while (watch->running) {
        boost::system::error_code ignored;
        stream.socket().cancel(ignored);
        co_await asio::post(executor, asio::use_awaitable);
    }
    co_return port.reusable();
}

/// Reads over what the caller still sends, since closing with unread bytes would reset the answer away.
asio::awaitable<void> close_gently(beast::tcp_stream& stream)
{
    boost::system::error_code failed;
    stream.socket().shutdown(tcp::socket::shutdown_send, failed);
    std::array<char, 4096> unread{};
    stream.expires_after(drain_limit);
    while (!failed) {
        co_await stream.async_read_some(asio::buffer(unread),
                                        asio::redirect_error(asio::use_awaitable, failed));
    }
}

asio::awaitable<void> serve_caller(std::shared_ptr<caller_server> server, tcp::socket socket,
                                   std::shared_ptr<std::set<std::pair<beast::tcp_stream*, const bool*>>> open)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    bool idle = true;
    boost::system::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    const unsigned silent_ms = silent_caller_ms;
    ::setsockopt(stream.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &silent_ms,
                 sizeof silent_ms);
    const auto place = open->insert({&stream, &idle}).first;
    ++server->connections;
    while (co_await serve_one(*server, stream, buffer, idle)) {
        if (server->leaving && buffer.size() == 0) {
            break;
        }
    }
    --server->connections;
    open->erase(place);
    co_await close_gently(stream);
}

} // namespace

answer_port::answer_port(beast::tcp_stream& stream, bool keep_alive, bool chunks_allowed)
    : stream_(stream), keep_alive_(keep_alive), chunks_allowed_(chunks_allowed)
{
}

std::string answer_port::make_head(int status, const std::string& reason, const header_list& headers,
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

void answer_port::abort()
{
    aborted_ = true;
    left_ = true;
    // A reset: the end of the connection alone could pass for the end of the answer.
    boost::system::error_code ignored;
    stream_.socket().set_option(tcp::socket::linger(true, 0), ignored);
    stream_.socket().close(ignored);
}

asio::awaitable<void> answer_port::put(std::string bytes)
{
    if (left_) {
        co_return;
    }
    stream_.expires_after(write_limit);
    boost::system::error_code failed;
    co_await asio::async_write(stream_, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, failed));
    stream_.expires_never();
    if (failed) {
        left_ = true;
    }
}

asio::awaitable<void> answer_port::send(int status, std::string reason, header_list headers, std::string body)
{
    started_ = true;
    const bool bodiless = status == 204 || status == 304 || (status >= 100 && status < 200);
    const std::string length = bodiless ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    std::string bytes = make_head(status, reason, headers, length);
    if (!head_only && !bodiless) {
        bytes += body;
    }
    co_await put(std::move(bytes));
    whole_ = !left_;
}

asio::awaitable<void> answer_port::start(int status, std::string reason, header_list headers)
{
    started_ = true;
    if (!chunks_allowed_) {
        keep_alive_ = false;
    }
    std::string head =
        make_head(status, reason, headers, chunks_allowed_ ? "Transfer-Encoding: chunked\r\n" : "");
    co_await put(std::move(head));
}

asio::awaitable<void> answer_port::write(std::string part)
{
    if (part.empty() || head_only) {
        co_return;
    }
    if (!chunks_allowed_) {
        co_await put(std::move(part));
        co_return;
    }
    std::array<char, 20> size{};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
    std::string framed(size.data(), static_cast<std::size_t>(length));
    framed += part;
    framed += "\r\n";
    co_await put(std::move(framed));
}

asio::awaitable<void> answer_port::finish()
{
    if (chunks_allowed_ && !head_only) {
        std::string last = "0\r\n\r\n";
        co_await put(std::move(last));
    }
    whole_ = !left_;
}

asio::awaitable<void> accept_callers(std::shared_ptr<tcp::acceptor> acceptor,
                                     std::shared_ptr<caller_server> server)
{
    const auto executor = co_await asio::this_coro::executor;
    auto open = std::make_shared<std::set<std::pair<beast::tcp_stream*, const bool*>>>();
    server->close_idle = [open] {
        for (const auto& [stream, idle] : *open) {
            if (*idle) {
                boost::system::error_code ignored;
                stream->socket().shutdown(tcp::socket::shutdown_both, ignored);
            }
        }
    };
    while (acceptor->is_open()) {
        boost::system::error_code failed;
        tcp::socket socket =
            co_await acceptor->async_accept(asio::redirect_error(asio::use_awaitable, failed));
        if (failed == asio::error::operation_aborted || failed == asio::error::bad_descriptor) {
            co_return;
        }
        if (failed) {
            co_await runtime::wait_for(std::chrono::milliseconds(20)); // out of descriptors for a moment
            continue;
        }
        asio::co_spawn(executor, serve_caller(server, std::move(socket), open), asio::detached);
    }
}

} // namespace guavawick::gateway
