// Addresses for processes of a test.
#pragma once

#include "base/hash_func.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <string>

namespace guavawick::tests {

/// Reserves a loopback address outside the ranges of ports of outgoing connections and of the scenarios,
/// which may run beside the unit tests. Until 64 more are reserved, no other process that reserves addresses
/// gets it, whether somebody listens there or not. Listeners bind it with SO_REUSEADDR. Thread safety: one
/// thread.
inline std::string find_free_address()
{
    constexpr std::uint64_t first_port = 24000;
    constexpr std::uint64_t port_count = 8000;
    constexpr std::size_t max_reserved = 64;
    static boost::asio::io_context context;
    static std::deque<boost::asio::ip::tcp::acceptor> reserved; // bound, and never listening
    while (true) {
        const auto port = static_cast<std::uint16_t>(first_port + random_id() % port_count);
        const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"), port);
        boost::asio::ip::tcp::acceptor acceptor(context, endpoint.protocol());
        boost::system::error_code bind_error;
        acceptor.bind(endpoint, bind_error); // fails if any other socket has the port
        if (bind_error) {
            continue;
        }
        acceptor.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true)); // for the listener
        reserved.push_back(std::move(acceptor));
        if (reserved.size() > max_reserved) {
            reserved.pop_front();
        }
        return "127.0.0.1:" + std::to_string(port);
    }
}

} // namespace guavawick::tests
