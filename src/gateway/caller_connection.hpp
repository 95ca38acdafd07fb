// Callers' connections of an entry: reads requests, writes answers part by part, and notices when a caller
// leaves.
#pragma once

#include "gateway/platform_adapter.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>
#include <memory>
#include <string>

namespace guavawick::gateway {

/// Writes the answer of one request. Thread safety: the entry's thread, one coroutine at a time.
class answer_port {
public:
    answer_port(boost::beast::tcp_stream& stream, bool keep_alive, bool chunks_allowed);
    /// Sends a whole answer. @pre nothing was sent yet.
    boost::asio::awaitable<void> send(int status, std::string reason, header_list headers, std::string body);
    /// Sends the head of an answer whose length is unknown. @pre nothing was sent yet.
    boost::asio::awaitable<void> start(int status, std::string reason, header_list headers);
    /// Sends a part of a started answer.
    boost::asio::awaitable<void> write(std::string part);
    /// Ends a started answer as whole.
    boost::asio::awaitable<void> finish();
    /// Breaks the connection off, so that a started answer does not look whole.
    void abort();
    /// Says that no further request will be read from the connection. @pre nothing was sent yet.
    void close_after() { keep_alive_ = false; }

    [[nodiscard]] bool started() const { return started_; }
    [[nodiscard]] bool caller_left() const { return left_; }
    [[nodiscard]] bool reusable() const { return keep_alive_ && whole_ && !left_; }
    [[nodiscard]] bool aborted() const { return aborted_ || (started_ && !whole_); }

    bool head_only = false;        ///< the request was HEAD
    bool left_ = false;            ///< the caller closed its connection
    std::function<void()> on_left; ///< called once when the caller leaves

private:
    boost::asio::awaitable<void> put(std::string bytes);
    [[nodiscard]] std::string make_head(int status, const std::string& reason, const header_list& headers,
                                        const std::string& framing) const;

    boost::beast::tcp_stream& stream_;
    bool keep_alive_;
    bool chunks_allowed_; ///< HTTP/1.0 callers know no chunks
    bool started_ = false;
    bool whole_ = false;
    bool aborted_ = false;
};

/// Answers one request; an exception that escapes becomes status 500.
using call_handler = std::function<boost::asio::awaitable<void>(raw_request&, answer_port&)>;

/// What the connections of an entry share. Thread safety: the entry's thread.
struct caller_server {
    plan::caller_limits limits;
    call_handler handle;
    bool leaving = false; ///< answers end with `Connection: close`
    std::size_t connections = 0;
    std::size_t running = 0;          ///< requests that are being answered
    std::function<void()> close_idle; ///< closes connections that carry no request
};

/// Accepts callers until the acceptor is closed.
boost::asio::awaitable<void> accept_callers(std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor,
                                            std::shared_ptr<caller_server> server);

} // namespace guavawick::gateway
