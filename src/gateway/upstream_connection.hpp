// Connections from a gateway to upstream instances, and the HTTP exchange of one call on a connection.
#pragma once

#include "gateway/dialect_type.hpp"
#include "http/buffer_limit.hpp"
#include "http/response_reader.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace guavawick::gateway {

/// One open connection. Thread safety: the gateway's thread.
struct upstream_connection {
    explicit upstream_connection(const boost::asio::any_io_executor& executor) : socket(executor) {}

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer{http::max_unparsed_bytes};
    std::string instance;
    bool fresh = true;                    ///< not reused from the pool
    std::vector<std::string> request_ids; ///< of the last requests that were sent on it, newest last
    time_point idle_since{};
    duration idle_timeout{}; ///< idle time after which it is not reused
};

using connection_ptr = std::shared_ptr<upstream_connection>;

/// Idle connections by instance. Thread safety: the gateway's thread.
class connection_pool {
public:
    /// @return an idle connection that the upstream has not closed, or nullptr if there is none.
    connection_ptr acquire(const std::string& instance, time_point now);
    /// Returns a connection to the pool. @pre the last response was read completely and no bytes follow it.
    void release(connection_ptr connection, duration idle_timeout, time_point now);
    /// Closes connections that exceeded their idle timeout or were closed by the upstream.
    void evict_idle(time_point now);
    /// Closes the idle connections to an instance.
    void evict_instance(const std::string& instance);

private:
    std::map<std::string, std::vector<connection_ptr>> idle_;
};

/// Opens a connection to "IP:PORT".
/// @return nullptr if the address is invalid, the connection fails or the timeout expires.
boost::asio::awaitable<connection_ptr> connect_upstream(std::string instance, std::string address,
                                                        duration timeout);

/// The head of an upstream's response.
struct response_head {
    int status = 0;
    std::string reason;
    header_list headers;
    response_metadata metadata;
    bool ends_with_connection = false; ///< the body is delimited by the end of the connection
    bool is_event_stream = false;
};

/// How an exchange ended.
enum class exchange_result : std::uint8_t {
    complete,       ///< the response was read completely
    no_response,    ///< no final response has begun; an invalid or interim one is none
    truncated_body, ///< the response ended early
    cancelled,      ///< a callback returned false, or the gateway closed the connection
};

/// Callbacks for the parts of a response. @return false to cancel the exchange.
struct response_sink {
    /// Called with the head of each response that bears the id of a request sent on the connection, also if
    /// that is an earlier one.
    std::function<void(const response_head&)> on_authentic_head;
    std::function<boost::asio::awaitable<bool>(const response_head&)> on_head;
    std::function<boost::asio::awaitable<bool>(std::string part)> on_body;
};

/// What is known about a connection after an exchange.
struct exchange_report {
    bool reusable = false;                      ///< the connection may be used for another call
    http::head_outcome last_head{};             ///< tells why there was no response
    boost::system::error_code connection_error; ///< that ended a response early, also if the sending met it

    /// @return why a response that had begun ended early.
    [[nodiscard]] std::string describe_break() const
    {
        return connection_error ? "the answer broke off: " + connection_error.message()
                                : "the answer broke off";
    }
};

/// Sends a request and reads its response. Responses to other requests are read and discarded, and so are
/// interim ones, whose headers no callback gets. A response that ends with its connection is complete only if
/// neither reading it nor sending the request met an error.
/// @param request the complete request, head and body.
/// @param request_id accepted are responses with this id or none.
/// @param head_only the request is HEAD, so the response has no body.
boost::asio::awaitable<exchange_result>
exchange(connection_ptr connection, std::shared_ptr<const std::string> request, std::string request_id,
         bool head_only, const platform_adapter& adapter, response_sink& sink, exchange_report& report);

/// Closes a connection's socket, which cancels its pending operations.
void close_connection(upstream_connection& connection);

} // namespace guavawick::gateway
