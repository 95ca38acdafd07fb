// Plain types of HTTP requests and answers, and the server and client built on Boost.Beast.
#pragma once

#include "base/clock_type.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace guavawick::http {

/// A received request. Header names are lower case.
struct request {
    std::string method;
    std::string target; ///< path and query
    std::map<std::string, std::string> headers;
    std::string body;

    /// @return a header's value, empty if it is absent.
    [[nodiscard]] std::string header(const std::string& lower_case_name) const
    {
        const auto found = headers.find(lower_case_name);
        return found == headers.end() ? "" : found->second;
    }
};

/// An answer that is sent at once.
struct response {
    int status = 200;
    std::string content_type = "application/json";
    std::map<std::string, std::string> headers;
    std::string body;
};

/// @return an answer with a body. Coroutines pass its result on instead of a braced temporary, which GCC 12
/// destroys twice.
inline response make_response(int status, std::string content_type, std::string body)
{
    response made;
    made.status = status;
    made.content_type = std::move(content_type);
    made.body = std::move(body);
    return made;
}

/// Sends the answer of one request. Thread safety: one coroutine at a time.
class responder {
public:
    virtual ~responder() = default;
    /// Sends a whole answer. @pre nothing was sent yet.
    virtual boost::asio::awaitable<void> send(response answer) = 0;
    /// Starts an answer of unknown length. @pre nothing was sent yet.
    virtual boost::asio::awaitable<void> start_stream(response head) = 0;
    /// Sends a part of a started answer.
    virtual boost::asio::awaitable<void> write(std::string part) = 0;
    /// Ends a started answer.
    virtual boost::asio::awaitable<void> finish() = 0;
    /// Breaks a started answer off, so that the caller does not take it for whole.
    virtual void abort() = 0;
    /// @return whether the caller closed its connection.
    [[nodiscard]] virtual bool caller_left() const = 0;
    /// @return whether something was sent.
    [[nodiscard]] virtual bool started() const = 0;
};

/// Answers one request. An exception that escapes becomes status 500.
using handler = std::function<boost::asio::awaitable<void>(request&, responder&)>;

/// Limits of a server.
struct server_limits {
    std::uint64_t max_body_bytes = 4U << 20U;
    std::uint64_t max_header_bytes = 16U << 10U;
    std::uint64_t max_connections = 4096;
    duration idle_timeout = std::chrono::seconds(120); ///< between two requests
    duration read_timeout = std::chrono::seconds(30);  ///< for one request to arrive whole
    duration write_timeout = std::chrono::seconds(30); ///< for one write to a slow caller
};

struct server_core;

/// An HTTP/1.1 server. Thread safety: every function from any thread.
class server {
public:
    /// Listens at once. @throw link_error if the address can't be listened at.
    server(boost::asio::any_io_executor pool, const std::string& address, const server_limits& limits,
           handler answer);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    /// Accepts no further connections and closes idle ones; running requests go on and end with `Connection:
    /// close`.
    void drain();
    /// @return requests that are being answered.
    [[nodiscard]] std::uint64_t active_requests() const;

private:
    std::shared_ptr<server_core> core_;
};

/// Receives the parts of an answer's body as they arrive. @return false to break off.
using chunk_handler = std::function<boost::asio::awaitable<bool>(int status, const std::string& content_type,
                                                                 std::string part)>;

/// A running request of a client that another coroutine may cancel.
class cancellation {
public:
    /// Breaks the request off, now or as soon as it starts. Thread safe.
    void cancel();
    /// Registers what cancel() calls. Thread safe.
    void on_cancel(const std::function<void()>& action);
    /// @return whether cancel() was called. Thread safe.
    [[nodiscard]] bool cancelled() const;

private:
    struct shared_state;
    std::shared_ptr<shared_state> state_ = make_state();
    static std::shared_ptr<shared_state> make_state();
};

/// How far a request got before it failed.
enum class sent_state : std::uint8_t { not_sent, maybe_sent };

/// Sends a request to "http://IP:PORT" and hands on the answer's parts.
/// @return the HTTP status. @throw client_error.
boost::asio::awaitable<int> fetch(std::string base, request wanted, duration limit,
                                  std::shared_ptr<cancellation> stop, chunk_handler parts);
/// Sends a request and collects the whole answer. @throw client_error.
boost::asio::awaitable<response> fetch_response(std::string base, request wanted, duration limit);

} // namespace guavawick::http
