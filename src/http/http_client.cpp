// HTTP/1.1 client on Boost.Beast: a new connection for each request.
#include "http/http_error_type.hpp"

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

constexpr std::size_t part_size = 64U << 10U;
constexpr std::uint64_t max_answer_bytes = 1ULL << 30U;
constexpr duration connect_limit = std::chrono::seconds(2);

tcp::endpoint parse_base(const std::string& base)
{
    const std::string scheme = "http://";
    const std::size_t colon = base.rfind(':');
    if (base.rfind(scheme, 0) != 0 || colon <= scheme.size()) {
        throw client_error(base + ": expected http://IP:PORT", sent_state::not_sent, false);
    }
    boost::system::error_code wrong;
    const auto ip = asio::ip::make_address(base.substr(scheme.size(), colon - scheme.size()), wrong);
    if (wrong) {
        throw client_error(base + ": expected http://IP:PORT", sent_state::not_sent, false);
    }
    return {ip, static_cast<std::uint16_t>(std::stoul(base.substr(colon + 1)))};
}

using string_request = beast::http::request<beast::http::string_body>;

string_request to_beast(const std::string& base, request& wanted)
{
    string_request made{beast::http::string_to_verb(wanted.method), wanted.target, 11};
    made.set(beast::http::field::host, base.substr(std::string("http://").size()));
    for (const auto& [name, value] : wanted.headers) {
        made.set(name, value);
    }
    made.body() = std::move(wanted.body);
    made.keep_alive(false);
    made.prepare_payload();
    return made;
}

[[noreturn]] void fail(const std::string& base, const boost::system::error_code& why, sent_state sent)
{
    throw client_error(base + ": " + why.message(), sent, why == beast::error::timeout);
}

asio::awaitable<int> read_parts(const std::string& base, beast::tcp_stream& stream,
                                const chunk_handler& parts)
{
    beast::flat_buffer buffer;
    beast::http::response_parser<beast::http::buffer_body> parser;
    parser.body_limit(max_answer_bytes);
    boost::system::error_code failed;
    co_await beast::http::async_read_header(stream, buffer, parser,
                                            asio::redirect_error(asio::use_awaitable, failed));
    if (failed) {
        fail(base, failed, sent_state::maybe_sent);
    }
    const int status = static_cast<int>(parser.get().result_int());
    const std::string content_type(parser.get()[beast::http::field::content_type]);
    std::vector<char> space(part_size);
    while (!parser.is_done()) {
        parser.get().body().data = space.data();
        parser.get().body().size = space.size();
        co_await beast::http::async_read_some(stream, buffer, parser,
                                              asio::redirect_error(asio::use_awaitable, failed));
        if (failed && failed != beast::http::error::need_buffer) {
            fail(base, failed, sent_state::maybe_sent);
        }
        const std::size_t got = space.size() - parser.get().body().size;
        if (got == 0) {
            continue;
        }
        const bool go_on = co_await parts(status, content_type, std::string(space.data(), got));
        if (!go_on) {
            break;
        }
    }
    co_return status;
}

} // namespace

struct cancellation::shared_state {
    std::mutex mutex; ///< guards the two below; a leaf
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
    bool now = false;
    {
        const std::lock_guard lock(state_->mutex);
        state_->action = action;
        now = state_->cancelled;
    }
    if (now && action) {
        action();
    }
}

bool cancellation::cancelled() const
{
    const std::lock_guard lock(state_->mutex);
    return state_->cancelled;
}

asio::awaitable<int> fetch(std::string base, request wanted, duration limit,
                           std::shared_ptr<cancellation> stop, chunk_handler parts)
{
    const tcp::endpoint where = parse_base(base);
    auto stream = std::make_shared<beast::tcp_stream>(co_await asio::this_coro::executor);
    if (stop) {
        const std::weak_ptr<beast::tcp_stream> weak = stream;
        stop->on_cancel([weak] {
            if (const auto held = weak.lock()) {
                asio::post(held->get_executor(), [held] {
                    held->cancel();
                    held->close();
                });
            }
        });
    }
    boost::system::error_code failed;
    stream->expires_after(std::min(connect_limit, limit));
    co_await stream->async_connect(where, asio::redirect_error(asio::use_awaitable, failed));
    if (failed) {
        fail(base, failed, sent_state::not_sent);
    }
    stream->socket().set_option(tcp::no_delay(true), failed);
    string_request message = to_beast(base, wanted);
    stream->expires_after(limit);
    co_await beast::http::async_write(*stream, message, asio::redirect_error(asio::use_awaitable, failed));
    if (failed) {
        fail(base, failed, sent_state::maybe_sent);
    }
    const int status = co_await read_parts(base, *stream, parts);
    if (stop) {
        stop->on_cancel({});
    }
    co_return status;
}

asio::awaitable<response> fetch_response(std::string base, request wanted, duration limit)
{
    response answer;
    chunk_handler collect = [&answer](int, const std::string& content_type,
                                      std::string part) -> asio::awaitable<bool> {
        answer.content_type = content_type;
        answer.body += part;
        co_return true;
    };
    answer.status = co_await fetch(std::move(base), std::move(wanted), limit, nullptr, std::move(collect));
    co_return answer;
}

} // namespace guavawick::http
