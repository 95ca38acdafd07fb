// A TCP relay before a process's port, which can silence, delay and reset connections.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace guavawick::scenarios {

struct relay_core;

/// Tells which process of the scenario owns a local TCP port.
using owner_finder = std::function<std::string(unsigned short local_port, unsigned short remote_port)>;

/// Relays connections to one process. Thread safety: every function from any thread.
class relay {
public:
    /// @param from where it listens. @param to where the owner listens. @param find_owner may be empty: then
    /// only "*" names connections.
    relay(boost::asio::any_io_executor pool, std::string owner, boost::asio::ip::tcp::endpoint from,
          boost::asio::ip::tcp::endpoint to, owner_finder find_owner);
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;
    /// Silences all connections of a process to this one, present and later, until heal(). "*" means every
    /// process.
    void cut(const std::string& source);
    /// Ends a cut; bytes that were held go on.
    void heal(const std::string& source);
    /// Silences the present connections of a process for good; new ones work.
    void mute(const std::string& source);
    /// Resets all present connections.
    void reset();
    /// Holds every byte back for a time from now on; zero ends it.
    void delay(std::chrono::milliseconds time);
    /// Silences one way only of all connections, until heal("*"): towards the owner, or back from it.
    void cut_way(bool towards_owner);

private:
    std::shared_ptr<relay_core> core_;
};

} // namespace guavawick::scenarios
