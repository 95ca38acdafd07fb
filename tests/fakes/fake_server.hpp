// An HTTP server for stand-ins, which can also end responses by the end of their connection and break them
// off in several ways. The product's own server does neither.
#pragma once

#include "http/http_type.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace guavawick::fakes {

/// What marks the end of a response's body.
enum class body_end : std::uint8_t {
    framing,   ///< a length or the last chunk
    connection ///< the end of the connection; the response has neither a length nor chunks
};

/// Responds to one request. Thread safety: used by one coroutine at a time.
class fake_responder final : public http::responder {
public:
    /// @param keep_alive whether the caller lets the connection be used again.
    fake_responder(boost::asio::ip::tcp::socket& socket, bool keep_alive)
        : socket_(socket), keep_alive_(keep_alive)
    {
    }

    /// Selects what marks the end of the body. @pre nothing was sent yet.
    void set_end(body_end end) { end_ = end; }
    boost::asio::awaitable<void> send(http::response complete_response) override;
    boost::asio::awaitable<void> start_stream(http::response head) override;
    boost::asio::awaitable<void> write(std::string chunk) override;
    boost::asio::awaitable<void> finish() override;
    /// Ends the connection in order and without the last chunk.
    void abort() override { reusable_ = false; }
    /// Ends the connection with a reset.
    void reset();
    [[nodiscard]] bool caller_left() const override;
    [[nodiscard]] bool started() const override { return started_; }
    [[nodiscard]] body_end end() const { return end_; }
    [[nodiscard]] bool reusable() const { return reusable_ && keep_alive_; }

private:
    boost::asio::awaitable<void> write_bytes(std::string bytes);

    boost::asio::ip::tcp::socket& socket_;
    bool keep_alive_;
    body_end end_ = body_end::framing;
    bool started_ = false;
    bool reusable_ = false; ///< a whole response with a length or chunks was sent
    bool disconnected_ = false;
};

using fake_handler = std::function<boost::asio::awaitable<void>(http::request&, fake_responder&)>;

/// Listens at an address ("IP:PORT") and serves connections until the executor's context stops.
/// @throw boost::system::system_error if it can't listen there.
void start_fake_server(const boost::asio::any_io_executor& executor, const std::string& address,
                       fake_handler handler);

} // namespace guavawick::fakes
