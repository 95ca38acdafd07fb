// A listener for callers and a connected caller, whose steps are decided by the test.
#pragma once

#include "gateway/caller_connection.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <functional>
#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace guavawick::tests {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

inline const std::string request_head = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n";
inline const std::string whole_request = request_head + "body";

/// Sends bytes and waits until they are in the receiver's buffer.
inline void send_all(tcp::socket& socket, const std::string& bytes)
{
    asio::write(socket, asio::buffer(bytes));
    int unacknowledged = 1;
    while (unacknowledged > 0) {
        BOOST_REQUIRE(::ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledged) == 0);
    }
}

/// A listener for callers and a connected caller. Both run on the test's thread, so that the test decides
/// what happens between two steps of the listener.
struct connected_caller {
    asio::io_context context{1};
    std::shared_ptr<gateway::caller_server> server = std::make_shared<gateway::caller_server>();
    std::shared_ptr<tcp::acceptor> acceptor;
    tcp::socket caller{context};
    asio::steady_timer gate{context, asio::steady_timer::time_point::max()};
    bool held = false;             ///< requests are not answered until the gate opens
    int handled = 0;               ///< requests that were passed on
    std::string body = "done";     ///< of the responses
    boost::system::error_code end; ///< how the connection ended

    explicit connected_caller(const http::byte_limits& bytes = {},
                              const http::connection_limits& connections = {})
    {
        server->guard =
            std::make_shared<http::request_guard>(std::make_shared<http::memory_budget>(bytes), connections);
        server->handle = [this](gateway::raw_request&,
                                gateway::responder& response) -> asio::awaitable<void> {
            ++handled;
            if (held) {
                boost::system::error_code ignored;
                co_await gate.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            }
            std::string copy = body;
            co_await response.send(200, "OK", {}, std::move(copy));
        };
        acceptor =
            std::make_shared<tcp::acceptor>(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        asio::co_spawn(context, gateway::accept_callers(acceptor, server), asio::detached);
        caller.connect(acceptor->local_endpoint());
        caller.set_option(tcp::no_delay(true));
        exchange();
    }

    ~connected_caller()
    {
        boost::system::error_code ignored;
        caller.close(ignored);
        acceptor->close(ignored);
        context.run();
    }

    connected_caller(const connected_caller&) = delete;
    connected_caller& operator=(const connected_caller&) = delete;

    void send(const std::string& bytes) { send_all(caller, bytes); }

    /// A request and its response, after which the connection is kept.
    void exchange()
    {
        send(whole_request);
        while (caller.available() == 0) {
            context.run_one();
        }
        std::array<char, 1024> response{};
        caller.receive(asio::buffer(response));
        context.poll();
    }

    void drain()
    {
        server->draining = true;
        gateway::close_idle_connections(*server);
    }

    /// Drains after the listener has looked for events, so that reads which they complete are handled later.
    void drain_before_handlers()
    {
        asio::post(context, [this] { drain(); });
    }

    /// @return what the caller receives until its connection ends.
    std::string receive_all()
    {
        std::string received;
        std::array<char, 1024> part{};
        bool ended = false;
        std::function<void(boost::system::error_code, std::size_t)> receive_part =
            [&](boost::system::error_code error, std::size_t bytes) {
                received.append(part.data(), bytes);
                end = error;
                ended = static_cast<bool>(error);
                if (!ended) {
                    caller.async_read_some(asio::buffer(part), receive_part);
                }
            };
        caller.async_read_some(asio::buffer(part), receive_part);
        while (!ended) {
            context.run_one();
        }
        context.poll(); // what the listener does after the connection has ended
        return received;
    }
};

} // namespace guavawick::tests
