// Connections from a gateway to upstream instances, and the HTTP exchange of one call on a connection.
#include "gateway/upstream_connection.hpp"

#include "runtime/worker_pool.hpp"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <netinet/tcp.h>

namespace guavawick::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_idle_connections = 16; ///< to one instance
constexpr duration idle_margin =
    500ms; ///< a connection is not reused this shortly before the upstream closes it
constexpr unsigned unacknowledged_timeout_ms =
    1500; ///< half of the shortest deadline, so that an unreachable upstream is detected in time
constexpr std::size_t read_buffer_bytes = 16U << 10U;
constexpr std::uint32_t max_head_bytes = 64U << 10U; ///< of a response
constexpr std::size_t max_remembered_requests = 8;   ///< of a connection, to recognise their late responses
constexpr int max_foreign_responses = 3;             ///< late responses to other requests that are discarded

using response_parser = beast::http::response_parser<beast::http::buffer_body>;

/// @return whether the connection is still open and has no unread bytes.
bool is_reusable(upstream_connection& connection)
{
    char byte = 0;
    const ssize_t received = ::recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) && connection.buffer.size() == 0;
}

/// Progress of sending a request, which runs concurrently with reading the response.
struct send_state {
    bool ended = false;
    boost::system::error_code error; ///< that ended it; unset if the whole request was sent
};

asio::awaitable<void> send_request(connection_ptr connection, std::shared_ptr<const std::string> request,
                                   std::shared_ptr<send_state> state)
{
    boost::system::error_code error;
    co_await asio::async_write(connection->socket, asio::buffer(*request),
                               asio::redirect_error(asio::use_awaitable, error));
    state->error = error;
    state->ended = true;
}

/// Ends the sending of a request after the end of the connection was read.
/// @return the error of the connection, if the sending has met one. The kernel reports an error once, to the
/// operation that comes first. One that reads after the sending has met it finds an end in order.
asio::awaitable<boost::system::error_code> stop_sending(connection_ptr connection,
                                                        std::shared_ptr<send_state> sending)
{
    const auto executor = co_await asio::this_coro::executor;
    while (!sending->ended) {
        boost::system::error_code ignored;
        connection->socket.cancel(ignored);
        co_await asio::post(executor, asio::use_awaitable);
    }
    const bool cancelled = sending->error == asio::error::operation_aborted;
    co_return cancelled ? boost::system::error_code() : sending->error;
}

void remember_request(upstream_connection& connection, const std::string& request_id)
{
    if (connection.request_ids.size() >= max_remembered_requests) {
        connection.request_ids.erase(connection.request_ids.begin());
    }
    connection.request_ids.push_back(request_id);
}

bool was_sent_on(const upstream_connection& connection, const std::string& request_id)
{
    return !request_id.empty() && std::find(connection.request_ids.begin(), connection.request_ids.end(),
                                            request_id) != connection.request_ids.end();
}

response_head read_head(const response_parser& parser, const platform_adapter& adapter)
{
    const auto& message = parser.get();
    response_head head;
    head.status = message.result_int();
    head.reason = std::string(message.reason());
    for (const auto& field : message) {
        head.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    head.metadata = adapter.read_response(head.status, head.headers);
    head.ends_with_connection = parser.need_eof();
    head.is_event_stream = find_header(head.headers, "content-type").starts_with("text/event-stream");
    return head;
}

} // namespace

std::string find_header(const header_list& headers, std::string_view name)
{
    for (const auto& [key, value] : headers) {
        if (beast::iequals(key, beast::string_view(name.data(), name.size()))) {
            return value;
        }
    }
    return {};
}

connection_ptr connection_pool::acquire(const std::string& instance, time_point now)
{
    std::vector<connection_ptr>& idle = idle_[instance];
    while (!idle.empty()) {
        connection_ptr connection = std::move(idle.back());
        idle.pop_back();
        if (now - connection->idle_since < connection->idle_timeout && is_reusable(*connection)) {
            connection->fresh = false;
            return connection;
        }
    }
    return nullptr;
}

void connection_pool::release(connection_ptr connection, duration idle_timeout, time_point now)
{
    std::vector<connection_ptr>& idle = idle_[connection->instance];
    if (idle.size() >= max_idle_connections || idle_timeout <= idle_margin) {
        return;
    }
    connection->idle_since = now;
    connection->idle_timeout = idle_timeout - idle_margin;
    idle.push_back(std::move(connection));
}

void connection_pool::evict_idle(time_point now)
{
    for (auto& [instance, connections] : idle_) {
        std::erase_if(connections, [now](const connection_ptr& connection) {
            return now - connection->idle_since >= connection->idle_timeout || !is_reusable(*connection);
        });
    }
    std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

void connection_pool::evict_instance(const std::string& instance)
{
    idle_.erase(instance);
}

void close_connection(upstream_connection& connection)
{
    boost::system::error_code ignored;
    connection.socket.close(ignored);
}

asio::awaitable<connection_ptr> connect_upstream(std::string instance, std::string address, duration timeout)
{
    const auto executor = co_await asio::this_coro::executor;
    const std::size_t colon = address.rfind(':');
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    if (error || colon == std::string::npos) {
        co_return nullptr;
    }
    const auto port = static_cast<std::uint16_t>(std::strtoul(address.c_str() + colon + 1, nullptr, 10));
    auto connection = std::make_shared<upstream_connection>(executor);
    connection->instance = std::move(instance);
    auto timer = std::make_shared<asio::basic_waitable_timer<runtime_clock>>(executor);
    timer->expires_after(timeout);
    timer->async_wait([connection, timer](boost::system::error_code timer_error) {
        if (!timer_error) {
            close_connection(*connection);
        }
    });
    const tcp::endpoint endpoint(ip, port);
    co_await connection->socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    timer->cancel();
    if (error || !connection->socket.is_open()) {
        co_return nullptr;
    }
    connection->socket.set_option(tcp::no_delay(true), error);
    const unsigned timeout_ms = unacknowledged_timeout_ms;
    ::setsockopt(connection->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                 sizeof timeout_ms);
    co_return connection;
}

asio::awaitable<exchange_result> exchange(connection_ptr connection,
                                          std::shared_ptr<const std::string> request, std::string request_id,
                                          bool head_only, const platform_adapter& adapter,
                                          response_sink& sink, exchange_report& report)
{
    report = exchange_report();
    remember_request(*connection, request_id);
    const auto executor = co_await asio::this_coro::executor;
    auto sending = std::make_shared<send_state>();
    asio::co_spawn(executor, send_request(connection, request, sending), asio::detached);
    std::vector<char> buffer(read_buffer_bytes);
    const auto prepare = [head_only](response_parser& parser) {
        parser.header_limit(max_head_bytes);
        parser.body_limit(boost::none);
        parser.skip(head_only);
    };
    for (int foreign = 0; foreign <= max_foreign_responses; ++foreign) {
        std::optional<response_parser> next_parser;
        report.last_head =
            co_await http::read_final_head(connection->socket, connection->buffer, next_parser, prepare);
        if (!report.last_head.is_final) {
            co_return connection->socket.is_open() ? exchange_result::no_response
                                                   : exchange_result::cancelled;
        }
        response_parser& parser = *next_parser;
        boost::system::error_code error;
        const response_head head = read_head(parser, adapter);
        if (was_sent_on(*connection, head.metadata.request)) {
            sink.on_authentic_head(head);
        }
        const bool own = head.metadata.request.empty() || head.metadata.request == request_id;
        if (own && !co_await sink.on_head(head)) {
            co_return exchange_result::cancelled;
        }
        while (!parser.is_done()) {
            parser.get().body().data = buffer.data();
            parser.get().body().size = buffer.size();
            co_await beast::http::async_read_some(connection->socket, connection->buffer, parser,
                                                  asio::redirect_error(asio::use_awaitable, error));
            if (error == beast::http::error::need_buffer) {
                error = {};
            }
            const std::size_t received = buffer.size() - parser.get().body().size;
            if (own && received > 0) {
                std::string part(buffer.data(), received);
                if (!co_await sink.on_body(std::move(part))) {
                    co_return exchange_result::cancelled;
                }
            }
            if (error) {
                report.connection_error = error;
                co_return connection->socket.is_open() ? exchange_result::truncated_body
                                                       : exchange_result::cancelled;
            }
        }
        if (own && head.ends_with_connection) {
            report.connection_error = co_await stop_sending(connection, sending);
            if (report.connection_error) {
                co_return exchange_result::truncated_body;
            }
        }
        if (own) {
            // Surplus bytes of the response, or missing bytes of the request, would corrupt the next exchange
            // on this connection.
            const bool sent = sending->ended && !sending->error;
            report.reusable =
                sent && parser.keep_alive() && !head.ends_with_connection && connection->buffer.size() == 0;
            co_return exchange_result::complete;
        }
        if (!parser.keep_alive()) {
            co_return exchange_result::no_response;
        }
    }
    co_return exchange_result::no_response;
}

} // namespace guavawick::gateway
