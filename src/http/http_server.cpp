// HTTP/1.1 server on Boost.Beast.
#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "http/http_type.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <mutex>
#include <set>

namespace guavawick::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

/// Shared by the acceptor and its connections. Lock order: `mutex` is a leaf.
struct server_core : std::enable_shared_from_this<server_core> {
    server_core(asio::any_io_executor executor, const server_limits& allowed, handler answer)
        : pool(std::move(executor)), limits(allowed), on_request(std::move(answer)),
          acceptor(asio::make_strand(pool))
    {
    }

    asio::any_io_executor pool;
    server_limits limits;
    handler on_request;
    tcp::acceptor acceptor;
    std::atomic<bool> draining{false};
    std::atomic<std::uint64_t> running{0};
    std::atomic<std::uint64_t> connections{0};
    std::mutex mutex; ///< guards `idle`
    std::set<beast::tcp_stream*> idle;
};

namespace {

tcp::endpoint parse_address(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    boost::system::error_code wrong;
    const auto ip = asio::ip::make_address(address.substr(0, colon), wrong);
    if (wrong || colon == std::string::npos) {
        throw link_error(address + ": expected IP:PORT");
    }
    return {ip, static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

class connection_responder : public responder {
public:
    connection_responder(beast::tcp_stream& stream, const server_limits& limits, unsigned version, bool keep)
        : stream_(stream), limits_(limits), version_(version), keep_(keep)
    {
    }

    asio::awaitable<void> send(response answer) override
    {
        started_ = true;
        beast::http::response<beast::http::string_body> reply{static_cast<beast::http::status>(answer.status),
                                                              version_};
        fill_head(reply, answer);
        reply.body() = std::move(answer.body);
        reply.prepare_payload();
        stream_.expires_after(limits_.write_timeout);
        boost::system::error_code failed;
        co_await beast::http::async_write(stream_, reply, asio::redirect_error(asio::use_awaitable, failed));
        left_ = left_ || failed;
    }

    asio::awaitable<void> start_stream(response head) override
    {
        started_ = true;
        streaming_ = true;
        beast::http::response<beast::http::empty_body> reply{static_cast<beast::http::status>(head.status),
                                                             version_};
        fill_head(reply, head);
        reply.chunked(true);
        beast::http::response_serializer<beast::http::empty_body> serializer{reply};
        stream_.expires_after(limits_.write_timeout);
        boost::system::error_code failed;
        co_await beast::http::async_write_header(stream_, serializer,
                                                 asio::redirect_error(asio::use_awaitable, failed));
        left_ = left_ || failed;
    }

    asio::awaitable<void> write(std::string part) override
    {
        if (left_ || part.empty()) {
            co_return;
        }
        stream_.expires_after(limits_.write_timeout);
        boost::system::error_code failed;
        co_await asio::async_write(stream_, beast::http::make_chunk(asio::buffer(part)),
                                   asio::redirect_error(asio::use_awaitable, failed));
        left_ = left_ || failed;
    }

    asio::awaitable<void> finish() override
    {
        if (left_) {
            co_return;
        }
        stream_.expires_after(limits_.write_timeout);
        boost::system::error_code failed;
        co_await asio::async_write(stream_, beast::http::make_chunk_last(),
                                   asio::redirect_error(asio::use_awaitable, failed));
        left_ = left_ || failed;
        finished_ = true;
    }

    void abort() override { aborted_ = true; }

    [[nodiscard]] bool caller_left() const override
    {
        if (left_) {
            return true;
        }
        // A caller that hung up makes the socket readable with nothing to read.
        char byte = 0;
        const ssize_t got = ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    [[nodiscard]] bool started() const override { return started_; }
    [[nodiscard]] bool reusable() const { return keep_ && !left_ && !aborted_ && (!streaming_ || finished_); }

private:
    template <typename Reply>
    void fill_head(Reply& reply, const response& answer)
    {
        reply.set(beast::http::field::content_type, answer.content_type);
        for (const auto& [name, value] : answer.headers) {
            reply.set(name, value);
        }
        reply.keep_alive(keep_);
    }

    beast::tcp_stream& stream_;
    const server_limits& limits_;
    unsigned version_;
    bool keep_;
    bool started_ = false;
    bool streaming_ = false;
    bool finished_ = false;
    bool aborted_ = false;
    bool left_ = false;
};

using request_parser = beast::http::request_parser<beast::http::string_body>;

request to_request(request_parser& parser)
{
    auto& message = parser.get();
    request made;
    made.method = std::string(message.method_string());
    made.target = std::string(message.target());
    for (const auto& field : message) {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        made.headers[name] = std::string(field.value());
    }
    made.body = std::move(message.body());
    return made;
}

asio::awaitable<void> refuse(responder& out, int status, const char* name, const std::string& detail)
{
    response answer;
    answer.status = status;
    answer.content_type = "application/problem+json";
    answer.body = R"({"type":"urn:guavawick:failure:)" + std::string(name) + R"(","status":)" +
                  std::to_string(status) + R"(,"detail":")" + detail + R"(","ran":"no"})";
    co_await out.send(std::move(answer));
}

asio::awaitable<void> answer_one(server_core& core, request& received, connection_responder& out)
{
    std::string fault;
    try {
        co_await core.on_request(received, out);
    }
    catch (const std::exception& error) {
        fault = error.what();
    }
    if (fault.empty()) {
        co_return;
    }
    log_event(event::internal_fault, {{"target", received.target}, {"reason", fault}});
    if (!out.started()) {
        co_await refuse(out, 500, "internal", "an internal fault; see the log");
    }
    out.abort();
}

/// Serves one request of a connection. @return whether another may follow.
asio::awaitable<bool> serve_one(server_core& core, beast::tcp_stream& stream, beast::flat_buffer& buffer)
{
    request_parser parser;
    parser.header_limit(static_cast<std::uint32_t>(core.limits.max_header_bytes));
    parser.body_limit(core.limits.max_body_bytes);
    {
        const std::lock_guard lock(core.mutex);
        core.idle.insert(&stream);
    }
    stream.expires_after(core.draining.load() ? duration{std::chrono::milliseconds(1)}
                                              : core.limits.idle_timeout);
    boost::system::error_code failed;
    co_await beast::http::async_read_header(stream, buffer, parser,
                                            asio::redirect_error(asio::use_awaitable, failed));
    {
        const std::lock_guard lock(core.mutex);
        core.idle.erase(&stream);
    }
    if (!failed) {
        stream.expires_after(core.limits.read_timeout);
        co_await beast::http::async_read(stream, buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, failed));
    }
    connection_responder out(stream, core.limits, parser.get().version() == 0 ? 11 : parser.get().version(),
                             !failed && parser.get().keep_alive() && !core.draining.load());
    if (failed == beast::http::error::body_limit) {
        co_await refuse(out, 413, "too_large", "the body is larger than allowed");
        co_return false;
    }
    if (failed == beast::http::error::header_limit) {
        co_await refuse(out, 431, "too_large", "the header is larger than allowed");
        co_return false;
    }
    if (failed) {
        const bool silent =
            failed == beast::http::error::end_of_stream || failed == beast::error::timeout ||
            failed.category() != beast::http::make_error_code(beast::http::error::bad_method).category();
        if (!silent) {
            co_await refuse(out, 400, "bad_request", "the request is no valid HTTP");
        }
        co_return false;
    }
    request received = to_request(parser);
    stream.expires_never();
    core.running.fetch_add(1);
    co_await answer_one(core, received, out);
    core.running.fetch_sub(1);
    co_return out.reusable();
}

asio::awaitable<void> serve_connection(std::shared_ptr<server_core> core, tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    boost::system::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    while (co_await serve_one(*core, stream, buffer)) {
    }
    core->connections.fetch_sub(1);
    stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

asio::awaitable<void> accept_all(std::shared_ptr<server_core> core)
{
    while (!core->draining.load()) {
        boost::system::error_code failed;
        tcp::socket socket = co_await core->acceptor.async_accept(
            asio::make_strand(core->pool), asio::redirect_error(asio::use_awaitable, failed));
        if (failed == asio::error::operation_aborted) {
            co_return;
        }
        if (failed) {
            continue;
        }
        if (core->connections.load() >= core->limits.max_connections) {
            continue; // the socket closes
        }
        core->connections.fetch_add(1);
        const auto executor = socket.get_executor();
        asio::co_spawn(executor, serve_connection(core, std::move(socket)), asio::detached);
    }
}

} // namespace

server::server(asio::any_io_executor pool, const std::string& address, const server_limits& limits,
               handler answer)
    : core_(std::make_shared<server_core>(std::move(pool), limits, std::move(answer)))
{
    const tcp::endpoint where = parse_address(address);
    try {
        core_->acceptor.open(where.protocol());
        core_->acceptor.set_option(asio::socket_base::reuse_address(true));
        core_->acceptor.bind(where);
        core_->acceptor.listen();
    }
    catch (const boost::system::system_error& fault) {
        throw link_error(address + " can't be listened at: " + fault.what());
    }
    asio::co_spawn(core_->acceptor.get_executor(), accept_all(core_), asio::detached);
}

server::~server()
{
    drain();
}

void server::drain()
{
    if (core_->draining.exchange(true)) {
        return;
    }
    asio::post(core_->acceptor.get_executor(), [core = core_] {
        boost::system::error_code ignored;
        core->acceptor.close(ignored);
    });
    const std::lock_guard lock(core_->mutex);
    for (beast::tcp_stream* stream : core_->idle) {
        // shutdown() of a descriptor is safe beside a pending read, which then ends.
        ::shutdown(stream->socket().native_handle(), SHUT_RD);
    }
}

std::uint64_t server::active_requests() const
{
    return core_->running.load();
}

} // namespace guavawick::http
