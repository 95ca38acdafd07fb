// Connections from callers to a gateway: reads requests, writes responses incrementally, and detects when a
// caller disconnects.
#pragma once

#include "gateway/dialect_type.hpp"
#include "http/request_guard.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>
#include <memory>
#include <string>

namespace guavawick::gateway {

/// Why the rest of a response is not sent.
enum class departure : std::uint8_t {
    none,
    caller_closed, ///< the caller closed its connection
    write_failed,  ///< the connection no longer takes bytes
    aborted        ///< the gateway reset the connection
};

/// Writes the response to one request. Thread safety: the gateway's thread, one coroutine at a time.
class responder {
public:
    responder(http::guarded_connection& connection, bool keep_alive, bool supports_chunked);
    /// Sends a complete response. @pre nothing was sent yet.
    boost::asio::awaitable<void> send(int status, std::string reason, header_list headers, std::string body);
    /// Sends the head of a response of unknown length. @pre nothing was sent yet.
    boost::asio::awaitable<void> start(int status, std::string reason, header_list headers);
    /// Sends a part of the body. @pre start() was called.
    boost::asio::awaitable<void> write(std::string part);
    /// Marks the end of the body. @pre start() was called.
    boost::asio::awaitable<void> finish();
    /// Resets the connection, so that the caller can't mistake a partial response for a complete one.
    void abort();
    /// Closes the connection after this response, which says so if its head was not sent yet.
    void disable_keep_alive() { keep_alive_ = false; }

    [[nodiscard]] bool started() const { return started_; }
    [[nodiscard]] bool caller_left() const { return left_ != departure::none; }
    [[nodiscard]] departure left() const { return left_; }
    /// Gives up the rest of the response. Only the first cause counts.
    void set_left(departure cause) { left_ = left_ == departure::none ? cause : left_; }
    [[nodiscard]] bool reusable() const { return keep_alive_ && complete_ && !caller_left(); }
    [[nodiscard]] bool aborted() const { return aborted_ || (started_ && !complete_); }

    bool head_only = false;               ///< the request was HEAD
    std::function<void()> on_caller_left; ///< called once when the caller closes the connection

private:
    boost::asio::awaitable<void> write_raw(std::string bytes);
    boost::asio::awaitable<void> write_large(std::string bytes);
    [[nodiscard]] std::string make_head(int status, const std::string& reason, const header_list& headers,
                                        const std::string& framing) const;

    http::guarded_connection& connection_;
    boost::beast::tcp_stream& stream_;
    departure left_ = departure::none;
    bool keep_alive_;
    bool supports_chunked_; ///< false for HTTP/1.0, which has no chunked encoding
    bool started_ = false;
    bool complete_ = false;
    bool aborted_ = false;
};

/// Responds to one request. An exception that escapes results in status 500.
using call_handler = std::function<boost::asio::awaitable<void>(raw_request&, responder&)>;

/// State shared by all callers' connections of a gateway. Thread safety: the gateway's thread.
struct caller_server {
    plan::caller_limits limits;
    call_handler handle;
    std::shared_ptr<http::request_guard> guard; ///< byte budget and connections
    bool draining = false; ///< set when a stop begins: responses have `Connection: close`
    bool closing = false;  ///< set once callers know of the stop: only requests that have arrived are read
    std::size_t open = 0;  ///< the accepting coroutine and the accepted connections, until they end
};

/// Closes the connections on which no request has begun to arrive, and lets the others close after their
/// response. @pre the server drains.
void close_idle_connections(caller_server& server);

/// Accepts callers' connections until the acceptor is closed. @pre the server has a guard.
boost::asio::awaitable<void> accept_callers(std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor,
                                            std::shared_ptr<caller_server> server);

} // namespace guavawick::gateway
