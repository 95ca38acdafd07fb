// HTTP/1.1 client on Boost.Beast: a new connection for each request.
#include "http/buffer_limit.hpp"
#include "http/http_error_type.hpp"
#include "http/response_reader.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <mutex>

namespace guavawick::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t chunk_buffer_bytes = 64U << 10U;
constexpr std::uint64_t max_response_bytes = 1ULL << 30U;
constexpr duration connect_timeout = std::chrono::seconds(2);

tcp::endpoint parse_base_url(const std::string& base_url)
{
    const std::string scheme = "http://";
    const std::size_t colon = base_url.rfind(':');
    if (base_url.rfind(scheme, 0) != 0 || colon <= scheme.size()) {
        throw client_error(base_url + ": expected http://IP:PORT", sent_state::not_sent, false);
    }
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(base_url.substr(scheme.size(), colon - scheme.size()), error);
    if (error) {
        throw client_error(base_url + ": expected http://IP:PORT", sent_state::not_sent, false);
    }
    return {ip, static_cast<std::uint16_t>(std::stoul(base_url.substr(colon + 1)))};
}

using string_request = beast::http::request<beast::http::string_body>;

string_request to_beast(const std::string& base_url, request& outgoing)
{
    string_request message{beast::http::string_to_verb(outgoing.method), outgoing.target, 11};
    message.set(beast::http::field::host, base_url.substr(std::string("http://").size()));
    for (const auto& [name, value] : outgoing.headers) {
        message.set(name, value);
    }
    message.body() = std::move(outgoing.body);
    message.keep_alive(false);
    message.prepare_payload();
    return message;
}

[[noreturn]] void fail(const std::string& base_url, const boost::system::error_code& error, sent_state sent)
{
    throw client_error(base_url + ": " + error.message(), sent, error == beast::error::timeout);
}

asio::awaitable<int> read_body(const std::string& base_url, beast::tcp_stream& stream,
                               const chunk_handler& on_chunk)
{
    using response_parser = beast::http::response_parser<beast::http::buffer_body>;
    beast::flat_buffer buffer{max_unparsed_bytes};
    std::optional<response_parser> last_parser;
    const auto prepare = [](response_parser& next) { next.body_limit(max_response_bytes); };
    const head_outcome head = co_await read_final_head(stream, buffer, last_parser, prepare);
    if (!head.is_final) {
        throw client_error(base_url + ": " + head.describe(), sent_state::maybe_sent,
                           head.error == beast::error::timeout);
    }
    response_parser& parser = *last_parser;
    boost::system::error_code error;
    const int status = static_cast<int>(parser.get().result_int());
    const std::string content_type(parser.get()[beast::http::field::content_type]);
    std::vector<char> chunk_buffer(chunk_buffer_bytes);
    while (!parser.is_done()) {
        parser.get().body().data = chunk_buffer.data();
        parser.get().body().size = chunk_buffer.size();
        co_await beast::http::async_read_some(stream, buffer, parser,
                                              asio::redirect_error(asio::use_awaitable, error));
        if (error && error != beast::http::error::need_buffer) {
            fail(base_url, error, sent_state::maybe_sent);
        }
        const std::size_t received_bytes = chunk_buffer.size() - parser.get().body().size;
        if (received_bytes == 0) {
            continue;
        }
        const bool wants_more =
            co_await on_chunk(status, content_type, std::string(chunk_buffer.data(), received_bytes));
        if (!wants_more) {
            break;
        }
    }
    co_return status;
}

} // namespace

struct cancellation::shared_state {
    std::mutex mutex; ///< guards the members below; no other lock is taken while it is held
    bool cancelled = false;
    std::function<void()> action;
};

std::shared_ptr<cancellation::shared_state> cancellation::make_state()
{
    return std::make_shared<shared_state>();
}

void cancellation::cancel()
{
    std::function<void()> action;
    {
        const std::lock_guard lock(state_->mutex);
        state_->cancelled = true;
        action = state_->action;
    }
    if (action) {
        action();
    }
}

void cancellation::on_cancel(const std::function<void()>& action)
{
    bool call_now = false;
    {
        const std::lock_guard lock(state_->mutex);
        state_->action = action;
        call_now = state_->cancelled;
    }
    if (call_now && action) {
        action();
    }
}

bool cancellation::cancelled() const
{
    const std::lock_guard lock(state_->mutex);
    return state_->cancelled;
}

asio::awaitable<int> fetch(std::string base_url, request outgoing, duration timeout,
                           std::shared_ptr<cancellation> cancel_token, chunk_handler on_chunk)
{
    const tcp::endpoint endpoint = parse_base_url(base_url);
    auto stream = std::make_shared<beast::tcp_stream>(co_await asio::this_coro::executor);
    if (cancel_token) {
        const std::weak_ptr<beast::tcp_stream> weak = stream;
        cancel_token->on_cancel([weak] {
            if (const auto connection = weak.lock()) {
                asio::post(connection->get_executor(), [connection] {
                    connection->cancel();
                    connection->close();
                });
            }
        });
    }
    boost::system::error_code error;
    stream->expires_after(std::min(connect_timeout, timeout));
    co_await stream->async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        fail(base_url, error, sent_state::not_sent);
    }
    stream->socket().set_option(tcp::no_delay(true), error);
    string_request message = to_beast(base_url, outgoing);
    stream->expires_after(timeout);
    co_await beast::http::async_write(*stream, message, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        fail(base_url, error, sent_state::maybe_sent);
    }
    const int status = co_await read_body(base_url, *stream, on_chunk);
    if (cancel_token) {
        cancel_token->on_cancel({});
    }
    co_return status;
}

asio::awaitable<response> fetch_response(std::string base_url, request outgoing, duration timeout)
{
    response result;
    chunk_handler collect = [&result](int, const std::string& content_type,
                                      std::string chunk) -> asio::awaitable<bool> {
        result.content_type = content_type;
        result.body += chunk;
        co_return true;
    };
    result.status =
        co_await fetch(std::move(base_url), std::move(outgoing), timeout, nullptr, std::move(collect));
    co_return result;
}

} // namespace guavawick::http
