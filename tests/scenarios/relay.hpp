// A TCP relay before a process's link, which can silence connections between two processes.
#pragma once

#include <boost/asio/any_io_executor.hpp>

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
    relay(boost::asio::any_io_executor pool, std::string owner, unsigned short from, unsigned short to,
          owner_finder find_owner);
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

private:
    std::shared_ptr<relay_core> core_;
};

} // namespace guavawick::scenarios
