// Connections from an entry to upstream instances, and the exchange of one call on one of them.
#include "gateway/upstream_connection.hpp"

#include "runtime/worker_pool.hpp"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

namespace guavawick::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_idle = 16;    ///< idle connections to one instance
constexpr duration idle_margin = 500ms; ///< a connection is not used shortly before the other side closes it
constexpr unsigned unacknowledged_ms =
    1500; ///< half of the shortest deadline; silent peers are found by then
constexpr std::size_t read_size = 16U << 10U;
constexpr std::uint32_t max_head_bytes = 64U << 10U; ///< of an answer
constexpr int max_foreign_answers = 3;               ///< late answers to other requests that are read over

using answer_parser = beast::http::response_parser<beast::http::buffer_body>;

bool looks_sound(upstream_connection& one)
{
    char byte = 0;
    const ssize_t got = ::recv(one.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) && one.buffer.size() == 0;
}

/// Progress of the sending of a request, which goes on beside the reading of its answer.
struct send_state {
    bool done = false;
    bool failed = false;
};

asio::awaitable<void> send_request(connection_ptr with, std::shared_ptr<const std::string> request,
                                   std::shared_ptr<send_state> state)
{
    boost::system::error_code failed;
    co_await asio::async_write(with->socket, asio::buffer(*request),
                               asio::redirect_error(asio::use_awaitable, failed));
    state->done = !failed;
    state->failed = static_cast<bool>(failed);
}

answer_head read_head(const answer_parser& parser, const platform_adapter& speaks)
{
    const auto& message = parser.get();
    answer_head made;
    made.status = message.result_int();
    made.reason = std::string(message.reason());
    for (const auto& field : message) {
        made.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    made.facts = speaks.read_response(made.status, made.headers);
    made.ends_with_connection = parser.need_eof();
    made.is_event_stream = find_header(made.headers, "content-type").starts_with("text/event-stream");
    return made;
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

connection_ptr connection_pool::take(const std::string& instance, time_point now)
{
    std::vector<connection_ptr>& held = idle_[instance];
    while (!held.empty()) {
        connection_ptr one = std::move(held.back());
        held.pop_back();
        if (now - one->idle_since < one->idle_limit && looks_sound(*one)) {
            one->fresh = false;
            return one;
        }
    }
    return nullptr;
}

void connection_pool::give_back(connection_ptr held, duration idle_limit, time_point now)
{
    std::vector<connection_ptr>& others = idle_[held->instance];
    if (others.size() >= max_idle || idle_limit <= idle_margin) {
        return;
    }
    held->idle_since = now;
    held->idle_limit = idle_limit - idle_margin;
    others.push_back(std::move(held));
}

void connection_pool::drop_idle(time_point now)
{
    for (auto& [instance, held] : idle_) {
        std::erase_if(held, [now](const connection_ptr& one) {
            return now - one->idle_since >= one->idle_limit || !looks_sound(*one);
        });
    }
    std::erase_if(idle_, [](const auto& one) { return one.second.empty(); });
}

void connection_pool::drop_instance(const std::string& instance)
{
    idle_.erase(instance);
}

void close_connection(upstream_connection& one)
{
    boost::system::error_code ignored;
    one.socket.close(ignored);
}

asio::awaitable<connection_ptr> connect_upstream(std::string instance, std::string address, duration limit)
{
    const auto executor = co_await asio::this_coro::executor;
    const std::size_t colon = address.rfind(':');
    boost::system::error_code failed;
    const auto ip = asio::ip::make_address(address.substr(0, colon), failed);
    if (failed || colon == std::string::npos) {
        co_return nullptr;
    }
    const auto port = static_cast<std::uint16_t>(std::strtoul(address.c_str() + colon + 1, nullptr, 10));
    auto made = std::make_shared<upstream_connection>(executor);
    made->instance = std::move(instance);
    auto timer = std::make_shared<asio::basic_waitable_timer<runtime_clock>>(executor);
    timer->expires_after(limit);
    timer->async_wait([made, timer](boost::system::error_code cancelled) {
        if (!cancelled) {
            close_connection(*made);
        }
    });
    const tcp::endpoint to(ip, port);
    co_await made->socket.async_connect(to, asio::redirect_error(asio::use_awaitable, failed));
    timer->cancel();
    if (failed || !made->socket.is_open()) {
        co_return nullptr;
    }
    made->socket.set_option(tcp::no_delay(true), failed);
    const unsigned silent_ms = unacknowledged_ms;
    ::setsockopt(made->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &silent_ms, sizeof silent_ms);
    co_return made;
}

asio::awaitable<exchange_end> exchange(connection_ptr with, std::shared_ptr<const std::string> request,
                                       std::string id, bool head_only, const platform_adapter& speaks,
                                       answer_sink& sink, bool& reusable)
{
    reusable = false;
    const auto executor = co_await asio::this_coro::executor;
    auto sending = std::make_shared<send_state>();
    asio::co_spawn(executor, send_request(with, request, sending), asio::detached);
    std::vector<char> part(read_size);
    for (int foreign = 0; foreign <= max_foreign_answers; ++foreign) {
        answer_parser parser;
        parser.header_limit(max_head_bytes);
        parser.body_limit(boost::none);
        parser.skip(head_only);
        boost::system::error_code failed;
        co_await beast::http::async_read_header(with->socket, with->buffer, parser,
                                                asio::redirect_error(asio::use_awaitable, failed));
        if (failed) {
            co_return with->socket.is_open() ? exchange_end::broken_head : exchange_end::stopped;
        }
        const answer_head head = read_head(parser, speaks);
        const bool own = head.facts.request.empty() || head.facts.request == id;
        if (own && !co_await sink.head(head)) {
            co_return exchange_end::stopped;
        }
        while (!parser.is_done()) {
            parser.get().body().data = part.data();
            parser.get().body().size = part.size();
            co_await beast::http::async_read_some(with->socket, with->buffer, parser,
                                                  asio::redirect_error(asio::use_awaitable, failed));
            if (failed == beast::http::error::need_buffer) {
                failed = {};
            }
            const std::size_t got = part.size() - parser.get().body().size;
            if (own && got > 0) {
                std::string bytes(part.data(), got);
                if (!co_await sink.body(std::move(bytes))) {
                    co_return exchange_end::stopped;
                }
            }
            if (failed) {
                co_return with->socket.is_open() ? exchange_end::broken_body : exchange_end::stopped;
            }
        }
        if (own) {
            // Bytes after the answer, or a request that was not read whole, must not meet the next call.
            reusable = sending->done && parser.keep_alive() && !head.ends_with_connection &&
                       with->buffer.size() == 0;
            co_return exchange_end::whole;
        }
        if (!parser.keep_alive()) {
            co_return exchange_end::broken_head;
        }
    }
    co_return exchange_end::broken_head;
}

} // namespace guavawick::gateway
