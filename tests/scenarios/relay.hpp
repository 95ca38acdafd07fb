// A TCP relay in front of a process's port, which can silence, delay and reset connections.
#pragma once

#include "connection_owner.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace guavawick::scenarios {

struct relay_state;

/// Finds the process of the scenario that owns the local end of a TCP connection. @return its name.
using owner_finder = std::function<std::string(const connection_ends&)>;

/// Relays connections to one process, the owner. Thread safety: all functions may be called from any thread.
class relay {
public:
    /// @param executor runs the relay. @param listen_endpoint where it listens. @param target where the owner
    /// listens. @param find_owner may be empty; then connections can only be named by "*".
    relay(boost::asio::any_io_executor executor, std::string owner,
          boost::asio::ip::tcp::endpoint listen_endpoint, boost::asio::ip::tcp::endpoint target,
          owner_finder find_owner);
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;
    /// Silences all current and new connections from a process to the owner until heal(). "*" means every
    /// process.
    void cut(const std::string& source);
    /// Ends a cut; bytes that were held back are delivered.
    void heal(const std::string& source);
    /// Silences the current connections of a process permanently; new ones work.
    void mute(const std::string& source);
    /// Resets all current connections.
    void reset_connections();
    /// Delays all bytes that arrive from now on; zero ends the delay.
    void set_delay(std::chrono::milliseconds delay);
    /// Silences one direction of all connections, to or from the owner, until heal("*").
    void cut_direction(bool to_owner);

private:
    std::shared_ptr<relay_state> state_;
};

} // namespace guavawick::scenarios
