// Reads requests within the byte budget.
#include "http/request_reader.hpp"

#include "base/event_type.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>

namespace guavawick::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr std::uint64_t free_bytes = 16U << 10U; ///< of a body or a parse buffer; part of what a connection
                                                 ///< may cost, so small requests need no lease
constexpr std::size_t body_read_bytes = 16U << 10U; ///< of one read of a large body
constexpr std::size_t min_read_bytes = 512;
constexpr std::size_t chunk_head_bytes = 4U << 10U; ///< beyond the header limit: a chunk's head and extension
constexpr std::uint64_t copies_of_body = 2;
constexpr std::size_t drain_read_bytes = 16U << 10U;
constexpr std::size_t max_drained_bytes =
    8U << 20U; ///< more than a legal body; discarding all that 120 clients sent kept a process from its links
constexpr duration drain_timeout =
    std::chrono::seconds(1); ///< for a client to read the last response and close

read_outcome classify_parse_error(const boost::system::error_code& error)
{
    if (error == beast::http::error::header_limit) {
        return read_outcome::header_too_large;
    }
    return error == beast::http::error::body_limit ? read_outcome::body_too_large : read_outcome::malformed;
}

read_outcome classify_read_error(const guarded_connection& connection, const memory_lease& lease,
                                 const boost::system::error_code& error, bool has_started)
{
    if (!has_started) {
        return read_outcome::closed;
    }
    if (lease.given_up() || connection.displaced()) {
        return read_outcome::given_up;
    }
    return error == beast::error::timeout ? read_outcome::timed_out : read_outcome::closed;
}

read_outcome classify_answer(byte_answer answer)
{
    switch (answer) {
    case byte_answer::granted:
        return read_outcome::complete;
    case byte_answer::share_used:
        return read_outcome::share_used;
    default:
        return read_outcome::budget_used;
    }
}

/// Reads bytes of a request. @return how many were received.
asio::awaitable<std::size_t> read_some(guarded_connection& connection, asio::mutable_buffer space,
                                       boost::system::error_code& error)
{
    std::size_t received = 0;
    bool repeated = true;
    while (repeated) {
        connection.begin_read();
        received = co_await connection.stream().async_read_some(
            space, asio::redirect_error(asio::use_awaitable, error));
        repeated = connection.end_read(received);
    }
    co_return received;
}

/// @return bytes to read next; 0 if the buffer is full.
std::size_t next_read_size(const beast::flat_buffer& buffer)
{
    return std::min(std::max(min_read_bytes, buffer.capacity() - buffer.size()),
                    buffer.max_size() - buffer.size());
}

/// Makes room for what the buffer holds of a body of unknown length.
read_outcome reserve_chunked_body(const beast::flat_buffer& buffer, std::string& body,
                                  std::uint64_t max_body_bytes, memory_lease& lease)
{
    const std::size_t needed = body.size() + buffer.size();
    if (needed <= body.capacity() || needed <= free_bytes) {
        return read_outcome::complete;
    }
    const std::size_t capacity =
        next_body_capacity(body.capacity(), needed, max_body_bytes + buffer.max_size());
    // While the body moves, the old and the new allocation are less than two new ones.
    const byte_answer answer = lease.resize(body_read_bytes + bytes_of_body(capacity));
    if (answer == byte_answer::granted) {
        body.reserve(capacity);
    }
    return classify_answer(answer);
}

} // namespace

int refusal_status(read_outcome outcome)
{
    switch (outcome) {
    case read_outcome::malformed:
        return 400;
    case read_outcome::header_too_large:
        return 431;
    case read_outcome::body_too_large:
        return 413;
    case read_outcome::timed_out:
    case read_outcome::given_up:
        return 408;
    case read_outcome::share_used:
        return 429;
    case read_outcome::budget_used:
        return 503;
    default:
        return 0;
    }
}

bool is_worth_retrying(read_outcome outcome)
{
    return outcome == read_outcome::share_used || outcome == read_outcome::budget_used ||
           outcome == read_outcome::given_up;
}

std::uint64_t bytes_of_body(std::uint64_t body_bytes)
{
    return copies_of_body * body_bytes;
}

std::size_t max_parse_buffer(std::uint64_t max_header_bytes)
{
    return std::max<std::size_t>(max_header_bytes, body_read_bytes) + chunk_head_bytes;
}

bool has_unread_bytes(guarded_connection& connection, const beast::flat_buffer& buffer)
{
    boost::system::error_code error;
    return buffer.size() > 0 || connection.stream().socket().available(error) > 0;
}

asio::awaitable<read_outcome> read_header(guarded_connection& connection, beast::flat_buffer& buffer,
                                          request_parser& parser, const read_limits& limits,
                                          memory_lease& lease)
{
    beast::tcp_stream& stream = connection.stream();
    parser.eager(false);
    stream.expires_after(limits.idle_timeout);
    bool has_started = false;
    connection.set_idle(buffer.size() == 0);
    while (true) {
        if (buffer.size() > 0) {
            connection.set_idle(false);
            boost::system::error_code parse_error;
            buffer.consume(parser.put(buffer.data(), parse_error));
            if (parse_error && parse_error != beast::http::error::need_more) {
                co_return classify_parse_error(parse_error);
            }
            if (parser.is_header_done()) {
                co_return read_outcome::complete;
            }
            if (!has_started) {
                has_started = true;
                stream.expires_after(limits.header_timeout);
            }
        }
        const std::size_t size = next_read_size(buffer);
        if (size == 0) {
            co_return read_outcome::header_too_large;
        }
        if (buffer.size() + size > chunk_head_bytes && buffer.size() + size > buffer.capacity()) {
            const byte_answer answer = lease.resize(2 * (buffer.size() + size));
            if (answer != byte_answer::granted) {
                co_return classify_answer(answer);
            }
        }
        boost::system::error_code error;
        const asio::mutable_buffer space = buffer.prepare(size);
        const transfer_scope transfer(lease);
        const std::size_t received = co_await read_some(connection, space, error);
        buffer.commit(received);
        if (error || lease.given_up()) {
            co_return classify_read_error(connection, lease, error, has_started);
        }
    }
}

asio::awaitable<read_outcome> read_body(guarded_connection& connection, beast::flat_buffer& buffer,
                                        request_parser& parser, const read_limits& limits,
                                        memory_lease& lease)
{
    if (parser.is_done()) {
        co_return lease.end_transfer() ? read_outcome::complete : read_outcome::budget_used;
    }
    beast::tcp_stream& stream = connection.stream();
    const std::uint64_t length = parser.content_length().value_or(0);
    const bool chunked = parser.chunked();
    if (length > free_bytes) {
        const byte_answer answer = lease.resize(body_read_bytes + bytes_of_body(length));
        if (answer != byte_answer::granted) {
            co_return classify_answer(answer);
        }
        buffer.reserve(body_read_bytes);
    }
    boost::system::error_code error;
    if (beast::iequals(parser.get()[beast::http::field::expect], "100-continue")) {
        const std::string continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(stream, asio::buffer(continue_response),
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    parser.eager(true);
    stream.expires_after(limits.body_timeout);
    while (true) {
        if (buffer.size() > 0) {
            if (chunked) {
                const read_outcome room =
                    reserve_chunked_body(buffer, parser.get().body(), limits.max_body_bytes, lease);
                if (room != read_outcome::complete) {
                    co_return room;
                }
            }
            boost::system::error_code parse_error;
            buffer.consume(parser.put(buffer.data(), parse_error));
            if (parse_error && parse_error != beast::http::error::need_more) {
                co_return classify_parse_error(parse_error);
            }
            if (parser.is_done()) {
                break;
            }
        }
        const std::size_t size = next_read_size(buffer);
        if (size == 0) {
            co_return read_outcome::malformed; // the head of a chunk has no end
        }
        const asio::mutable_buffer space = buffer.prepare(size);
        const transfer_scope transfer(lease);
        const std::size_t received = co_await read_some(connection, space, error);
        buffer.commit(received);
        lease.record_transfer(received);
        if (error || lease.given_up()) {
            co_return classify_read_error(connection, lease, error, true);
        }
    }
    if (buffer.size() == 0 && buffer.capacity() >= body_read_bytes) {
        buffer.shrink_to_fit(); // an idle connection doesn't keep it
    }
    co_return lease.end_transfer() ? read_outcome::complete : read_outcome::budget_used;
}

void record_refusal(guarded_connection& connection, read_outcome outcome)
{
    guard_counters& counters = connection.guard().budget().counters();
    switch (outcome) {
    case read_outcome::header_too_large:
    case read_outcome::body_too_large:
        counters.refused_too_large.fetch_add(1);
        log_event(event::request_too_large, {{"address", connection.address()}});
        break;
    case read_outcome::timed_out:
        counters.timed_out.fetch_add(1);
        log_event(event::request_timed_out, {{"address", connection.address()}});
        break;
    case read_outcome::given_up:
        log_event(event::transfer_given_up, {{"address", connection.address()}});
        break;
    case read_outcome::share_used:
        counters.refused_by_share.fetch_add(1);
        log_event(event::request_over_share, {{"address", connection.address()}});
        break;
    case read_outcome::budget_used:
        counters.refused_by_budget.fetch_add(1);
        log_event(event::request_over_budget, {{"address", connection.address()}});
        break;
    default:
        break;
    }
}

asio::awaitable<void> drain_and_close(guarded_connection& connection)
{
    beast::tcp_stream& stream = connection.stream();
    boost::system::error_code error;
    if (connection.displaced()) {
        co_return;
    }
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
    std::array<char, drain_read_bytes> discarded{};
    const asio::mutable_buffer space = asio::buffer(discarded);
    stream.expires_after(drain_timeout);
    for (std::size_t drained = 0; !error && drained < max_drained_bytes;) {
        drained += co_await read_some(connection, space, error);
    }
}

} // namespace guavawick::http
