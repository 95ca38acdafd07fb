// Addresses for processes of a test.
#pragma once

#include "base/hash_func.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace guavawick::tests {

/// @return a loopback address that is not in use, outside the ranges of ports of outgoing connections and of
/// the scenarios, which may run beside the unit tests.
inline std::string find_free_address()
{
    constexpr std::uint64_t first_port = 24000;
    constexpr std::uint64_t port_count = 8000;
    boost::asio::io_context context;
    while (true) {
        const auto port = static_cast<std::uint16_t>(first_port + random_id() % port_count);
        const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"), port);
        boost::asio::ip::tcp::acceptor acceptor(context, endpoint.protocol());
        boost::system::error_code bind_error;
        acceptor.bind(endpoint, bind_error);
        if (!bind_error) {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
}

} // namespace guavawick::tests
