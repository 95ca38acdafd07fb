// An HTTP server for stand-ins.
#include "fakes/fake_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cctype>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace guavawick::fakes {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

constexpr std::uint64_t max_body_bytes = 64U << 20U; ///< a long history

std::string make_head(const http::response& head, const std::string& framing)
{
    std::ostringstream text;
    text << "HTTP/1.1 " << std::setw(3) << std::setfill('0') << head.status << ' '
         << beast::http::obsolete_reason(static_cast<beast::http::status>(head.status))
         << "\r\nContent-Type: " << head.content_type << "\r\n";
    for (const auto& [name, value] : head.headers) {
        text << name << ": " << value << "\r\n";
    }
    text << framing << "\r\n";
    return text.str();
}

http::request to_request(const beast::http::request<beast::http::string_body>& message)
{
    http::request result;
    result.method = std::string(message.method_string());
    result.target = std::string(message.target());
    for (const auto& field : message) {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        result.headers[name] = std::string(field.value());
    }
    result.body = message.body();
    return result;
}

asio::awaitable<void> serve_connection(tcp::socket socket, std::shared_ptr<const fake_handler> handler)
{
    beast::flat_buffer buffer;
    boost::system::error_code error;
    bool keep_open = true;
    while (keep_open) {
        beast::http::request_parser<beast::http::string_body> parser;
        parser.body_limit(max_body_bytes);
        co_await beast::http::async_read(socket, buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
        http::request request = to_request(parser.get());
        fake_responder responder(socket, parser.get().keep_alive());
        std::string fault;
        try {
            co_await (*handler)(request, responder);
        }
        catch (const std::exception& exception) {
            fault = exception.what();
        }
        if (!fault.empty()) {
            std::cerr << request.target << ": " << fault << std::endl;
        }
        if (!fault.empty() && !responder.started()) {
            http::response failure = http::make_response(500, "application/json", "{}");
            co_await responder.send(std::move(failure));
        }
        keep_open = responder.reusable();
    }
    socket.shutdown(tcp::socket::shutdown_send, error);
}

asio::awaitable<void> accept_connections(std::shared_ptr<tcp::acceptor> acceptor,
                                         std::shared_ptr<const fake_handler> handler)
{
    while (true) {
        boost::system::error_code error;
        tcp::socket socket = co_await acceptor->async_accept(
            asio::make_strand(acceptor->get_executor()), asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            socket.set_option(tcp::no_delay(true), error);
            const auto executor = socket.get_executor();
            asio::co_spawn(executor, serve_connection(std::move(socket), handler), asio::detached);
        }
    }
}

} // namespace

asio::awaitable<void> fake_responder::send(http::response complete_response)
{
    started_ = true;
    const bool framed = end_ == body_end::framing;
    std::string bytes =
        make_head(complete_response,
                  framed ? "Content-Length: " + std::to_string(complete_response.body.size()) + "\r\n" : "");
    bytes += complete_response.body;
    co_await write_bytes(std::move(bytes));
    reusable_ = framed && !disconnected_;
}

asio::awaitable<void> fake_responder::start_stream(http::response head)
{
    started_ = true;
    std::string bytes = make_head(head, end_ == body_end::framing ? "Transfer-Encoding: chunked\r\n" : "");
    co_await write_bytes(std::move(bytes));
}

asio::awaitable<void> fake_responder::write(std::string chunk)
{
    if (end_ == body_end::framing && !chunk.empty()) {
        std::ostringstream framed;
        framed << std::hex << chunk.size() << "\r\n" << chunk << "\r\n";
        chunk = framed.str();
    }
    co_await write_bytes(std::move(chunk));
}

asio::awaitable<void> fake_responder::finish()
{
    if (end_ == body_end::framing) {
        std::string last_chunk = "0\r\n\r\n";
        co_await write_bytes(std::move(last_chunk));
        reusable_ = !disconnected_;
    }
}

void fake_responder::reset()
{
    reusable_ = false;
    boost::system::error_code ignored;
    socket_.set_option(tcp::socket::linger(true, 0), ignored);
    socket_.close(ignored);
}

bool fake_responder::caller_left() const
{
    if (disconnected_) {
        return true;
    }
    // After the caller has closed its connection, the socket is readable, but recv() returns 0 bytes.
    char byte = 0;
    const ssize_t received = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

asio::awaitable<void> fake_responder::write_bytes(std::string bytes)
{
    if (disconnected_) {
        co_return;
    }
    boost::system::error_code error;
    co_await asio::async_write(socket_, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, error));
    disconnected_ = static_cast<bool>(error);
}

void start_fake_server(const asio::any_io_executor& executor, const std::string& address,
                       fake_handler handler)
{
    const std::size_t colon = address.rfind(':');
    const tcp::endpoint endpoint(asio::ip::make_address(address.substr(0, colon)),
                                 static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    auto acceptor = std::make_shared<tcp::acceptor>(executor);
    acceptor->open(endpoint.protocol());
    acceptor->set_option(asio::socket_base::reuse_address(true));
    acceptor->bind(endpoint);
    acceptor->listen();
    asio::co_spawn(executor,
                   accept_connections(acceptor, std::make_shared<const fake_handler>(std::move(handler))),
                   asio::detached);
}

} // namespace guavawick::fakes
