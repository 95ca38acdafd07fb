// An upstream whose answers a test gives byte by byte.
#pragma once

#include "free_address.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace guavawick::tests {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// An upstream that runs a function on each connection, on a thread of its own.
struct raw_upstream {
    asio::io_context context;
    tcp::acceptor acceptor{context};
    tcp::socket connection{context};
    std::atomic<bool> accepted{false}; ///< a call has reached this upstream
    std::string address = find_free_address();
    std::thread thread;
    std::function<void(tcp::socket&)> serve;

    raw_upstream()
    {
        const std::size_t colon = address.rfind(':');
        const tcp::endpoint endpoint(asio::ip::make_address(address.substr(0, colon)),
                                     static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
        acceptor.open(endpoint.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen();
    }

    ~raw_upstream()
    {
        ::shutdown(acceptor.native_handle(), SHUT_RDWR); // ends the thread's accept, or its read
        ::shutdown(connection.native_handle(), SHUT_RDWR);
        if (thread.joinable()) {
            thread.join();
        }
    }

    raw_upstream(const raw_upstream&) = delete;
    raw_upstream& operator=(const raw_upstream&) = delete;

    /// Serves one connection.
    void start()
    {
        thread = std::thread([this] {
            boost::system::error_code error;
            acceptor.accept(connection, error);
            if (!error) {
                accepted.store(true);
                serve(connection);
            }
        });
    }
};

/// Reads the head of a request. @return the value of its "Call" header; empty if the connection ended.
inline std::string read_request(tcp::socket& socket)
{
    std::string received;
    boost::system::error_code error;
    asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", error);
    const std::size_t begin = received.find("Call: ");
    if (error || begin == std::string::npos) {
        return {};
    }
    const std::size_t value = begin + std::string("Call: ").size();
    return received.substr(value, received.find("\r\n", value) - value);
}

inline void write(tcp::socket& socket, const std::string& bytes)
{
    boost::system::error_code ignored; // the gateway may have closed the connection
    asio::write(socket, asio::buffer(bytes), ignored);
}

} // namespace guavawick::tests
