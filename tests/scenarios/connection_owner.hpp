// Which process owns a TCP connection.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <string>
#include <sys/types.h>

namespace guavawick::scenarios {

/// The two ends of a TCP connection over IPv4, as its owner sees them.
struct connection_ends {
    boost::asio::ip::tcp::endpoint local;
    boost::asio::ip::tcp::endpoint remote;
};

/// Finds the process that owns the local end of a connection, by a query of the kernel for this socket.
/// Thread safety: any thread. @param processes ids of running processes by name.
/// @return the name; "?" if none of them owns it.
std::string find_connection_owner(const std::map<std::string, pid_t>& processes, const connection_ends& ends);

} // namespace guavawick::scenarios
