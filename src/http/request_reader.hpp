// Reads requests of clients that may ignore the limits.
#pragma once

#include "http/request_guard.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace guavawick::http {

using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

/// Limits of reading a request.
struct read_limits {
    std::uint64_t max_header_bytes = 16U << 10U;
    std::uint64_t max_body_bytes = 4U << 20U;
    duration idle_timeout = std::chrono::seconds(15);  ///< until the first byte of a request
    duration header_timeout = std::chrono::seconds(3); ///< from the first read to the end of the header
    duration body_timeout = std::chrono::seconds(30);  ///< from the end of the header to the end of the body
};

/// How reading ended.
enum class read_outcome : std::uint8_t {
    complete,
    closed,           ///< the connection ended or nothing arrived; there is no response
    malformed,        ///< 400
    header_too_large, ///< 431
    body_too_large,   ///< 413
    timed_out,        ///< 408
    given_up,         ///< 408; the transfer was slow and its bytes were needed
    share_used,       ///< 429
    budget_used       ///< 503
};

/// @return the HTTP status of the refusal; 0 if there is no response or no refusal.
int refusal_status(read_outcome outcome);
/// @return whether a client may succeed if it repeats the request, so that the response has Retry-After.
bool is_worth_retrying(read_outcome outcome);
/// @return bytes that a body of that size needs: the body and its copy in the request to an upstream.
std::uint64_t bytes_of_body(std::uint64_t body_bytes);
/// @return limit of what a connection's parse buffer holds.
std::size_t max_parse_buffer(std::uint64_t max_header_bytes);

/// @return whether bytes of the client wait to be read.
bool has_unread_bytes(guarded_connection& connection, const boost::beast::flat_buffer& buffer);
/// Reads a request's header. @param lease grows with a long header.
boost::asio::awaitable<read_outcome> read_header(guarded_connection& connection,
                                                 boost::beast::flat_buffer& buffer, request_parser& parser,
                                                 const read_limits& limits, memory_lease& lease);
/// Reads a request's body, if it may be held. A body of unknown length is admitted step by step.
/// @pre read_header() returned `complete`. @param lease keeps the body's bytes when this returns.
boost::asio::awaitable<read_outcome> read_body(guarded_connection& connection,
                                               boost::beast::flat_buffer& buffer, request_parser& parser,
                                               const read_limits& limits, memory_lease& lease);
/// Counts and logs a refused request.
void record_refusal(guarded_connection& connection, read_outcome outcome);
/// Closes the sending side and discards what the client still sends for a while. Closing a socket with unread
/// bytes would reset the connection, and the client could lose the response.
boost::asio::awaitable<void> drain_and_close(guarded_connection& connection);

} // namespace guavawick::http
