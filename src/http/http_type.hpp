// HTTP requests and responses, and the server and client built on Boost.Beast.
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

    /// @return the value of a header, empty if the header is absent.
    [[nodiscard]] std::string header(const std::string& lower_case_name) const
    {
        const auto found = headers.find(lower_case_name);
        return found == headers.end() ? "" : found->second;
    }
};

/// A response. For a streamed response the body stays empty; its chunks are sent separately.
struct response {
    int status = 200;
    std::string content_type = "application/json";
    std::map<std::string, std::string> headers;
    std::string body;
};

/// @return a response with a body. Coroutines pass its result on instead of a braced temporary, which GCC 12
/// destroys twice.
inline response make_response(int status, std::string content_type, std::string body)
{
    response result;
    result.status = status;
    result.content_type = std::move(content_type);
    result.body = std::move(body);
    return result;
}

/// Sends the response to one request. Thread safety: used by one coroutine at a time.
class responder {
public:
    virtual ~responder() = default;
    /// Sends a complete response. @pre nothing was sent yet.
    virtual boost::asio::awaitable<void> send(response complete_response) = 0;
    /// Sends the status and headers of a response with a chunked body. @pre nothing was sent yet.
    virtual boost::asio::awaitable<void> start_stream(response head) = 0;
    /// Sends a chunk of the body. @pre start_stream() was called.
    virtual boost::asio::awaitable<void> write(std::string chunk) = 0;
    /// Sends the last chunk. @pre start_stream() was called.
    virtual boost::asio::awaitable<void> finish() = 0;
    /// Marks a started response as failed: the connection closes without the last chunk, so that the caller
    /// sees that the response is incomplete.
    virtual void abort() = 0;
    /// @return whether the caller closed its connection.
    [[nodiscard]] virtual bool caller_left() const = 0;
    /// @return whether send() or start_stream() was called.
    [[nodiscard]] virtual bool started() const = 0;
};

/// Responds to one request. An exception that escapes is logged; it becomes status 500 or, once the response
/// has started, aborts it.
using handler = std::function<boost::asio::awaitable<void>(request&, responder&)>;

class request_guard;

/// Limits and timeouts of a server.
struct server_limits {
    std::uint64_t max_body_bytes = 4U << 20U;
    std::uint64_t max_header_bytes = 16U << 10U;
    std::uint64_t max_connections = 4096;
    duration idle_timeout = std::chrono::seconds(120); ///< between two requests of a connection
    duration header_timeout = std::chrono::seconds(5); ///< from the first byte of a header to its end
    duration read_timeout = std::chrono::seconds(30);  ///< from a request's header to the end of its body
    duration write_timeout = std::chrono::seconds(30); ///< for one write to a slow caller
    std::shared_ptr<request_guard> guard; ///< byte budget and connections; nullptr for a default one
};

struct server_state;

/// Longest wait for operators' requests when a replica stops. With the transfer of its leadership, which may
/// take 3 s, it fits in the 8 s until the process is killed.
constexpr duration operator_drain_limit = std::chrono::seconds(3);

/// An HTTP/1.1 server. Thread safety: every function from any thread.
class server {
public:
    /// Starts to listen and to accept connections.
    /// @param address "IP:PORT". @throw link_error if the server cannot listen at the address.
    server(boost::asio::any_io_executor pool, const std::string& address, const server_limits& limits,
           handler request_handler);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    /// Accepts no further connections and closes idle ones. Running requests are completed before their
    /// connections close; a request that still arrives is answered with `Connection: close`.
    void drain();
    /// Drains and waits until all connections have ended. @param limit of the wait.
    /// @pre not called by a thread that serves the connections.
    void drain_within(duration limit);
    /// @return the number of connections that are not closed yet, and one more while others are accepted.
    [[nodiscard]] std::uint64_t connections() const;
    /// @return the number of requests that are being handled.
    [[nodiscard]] std::uint64_t active_requests() const;

private:
    std::shared_ptr<server_state> state_;
};

/// Receives the chunks of a response's body as they arrive. @return false to stop reading the response.
using chunk_handler = std::function<boost::asio::awaitable<bool>(int status, const std::string& content_type,
                                                                 std::string chunk)>;

/// Lets another coroutine cancel a request of the client.
class cancellation {
public:
    /// Cancels the request now, or as soon as it starts. Thread safe.
    void cancel();
    /// Sets the function that cancel() calls; called at once if cancel() was called before. An empty function
    /// removes it. Thread safe.
    void on_cancel(const std::function<void()>& action);
    /// @return whether cancel() was called. Thread safe.
    [[nodiscard]] bool cancelled() const;

private:
    struct shared_state;
    std::shared_ptr<shared_state> state_ = make_state();
    static std::shared_ptr<shared_state> make_state();
};

/// Whether a failed request may have reached the other process.
enum class sent_state : std::uint8_t { not_sent, maybe_sent };

/// Sends a request and passes the chunks of the response's body to `on_chunk`.
/// @param base_url "http://IP:PORT". @param timeout applies from the end of connecting to the end of the
/// response; connecting may take as long again, but at most 2 s. @param cancel_token may be null.
/// @return the HTTP status, which is that of a final response. @throw client_error if the request failed or
/// timed out, or the response's status is invalid.
boost::asio::awaitable<int> fetch(std::string base_url, request outgoing, duration timeout,
                                  std::shared_ptr<cancellation> cancel_token, chunk_handler on_chunk);
/// Sends a request and collects the response's body. Parameters and errors as for fetch().
boost::asio::awaitable<response> fetch_response(std::string base_url, request outgoing, duration timeout);

} // namespace guavawick::http
