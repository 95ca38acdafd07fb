// The processes of a scenario: their settings, ports, signals and logs.
#pragma once

#include "relay.hpp"
#include "script.hpp"

#include <boost/json/object.hpp>

#include <map>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace guavawick::scenarios {

/// One process of a scenario.
struct process {
    std::string name;
    std::vector<std::string> command; ///< program and arguments
    pid_t pid = -1;
    int exit_code = -1;
    bool ended = false;
    bool frozen = false;
};

/// What an `upstream` statement says.
struct upstream_plan {
    std::string name;
    std::string kind = "model";
    std::string serves;
    std::string centre = "dc1";
    std::map<std::string, std::string> engine; ///< flags of the stand-in
};

/// What a `system` statement says.
struct system_plan {
    int replicas = 3;
    int entries = 2;
    int shards = 2;
    std::string centres = "dc1,dc2"; ///< entries are spread over these
    bool relays = false;             ///< links go through relays that can be cut
    std::map<std::string, std::string> entry_settings;
    std::map<std::string, std::string> sidecar_settings;
    std::map<std::string, std::string> replica_settings;
};

/// Starts, stops and watches the processes. Thread safety: one thread, but owner_of() may be called from any.
class process_set {
public:
    /// @param programs folder of the built binaries. @param folder scratch folder, made afresh. @param fixed
    /// the ports of `make up`.
    process_set(std::string programs, std::string folder, bool fixed, boost::asio::any_io_executor pool);
    ~process_set();
    process_set(const process_set&) = delete;
    process_set& operator=(const process_set&) = delete;

    /// Lays out ports and settings files.
    void lay_out(const system_plan& plan, const std::vector<upstream_plan>& upstreams);
    void start(const std::string& name);
    void signal(const std::string& name, int number);
    void wipe(const std::string& name);
    /// Cuts off the last bytes of a replica's logs, as a torn write leaves them.
    void tear(const std::string& name);
    void cut(const std::string& from, const std::string& to, bool both);
    void heal(const std::string& from, const std::string& to);
    void mute(const std::string& from, const std::string& to);
    /// Notes processes that ended.
    void reap();
    /// @return every process name in order of start.
    [[nodiscard]] std::vector<std::string> names() const { return order_; }
    [[nodiscard]] const process& get(const std::string& name) const { return processes_.at(name); }
    [[nodiscard]] bool has(const std::string& name) const { return processes_.count(name) != 0; }
    [[nodiscard]] std::string entry_address(const std::string& name) const
    {
        return entry_addresses_.at(name);
    }
    [[nodiscard]] std::vector<std::string> operator_addresses() const;
    [[nodiscard]] std::string operator_address(const std::string& name) const
    {
        return operator_addresses_.at(name);
    }
    [[nodiscard]] std::string folder() const { return folder_; }
    /// @return every line of every run log.
    [[nodiscard]] std::vector<boost::json::object> run_log() const;
    /// @return the text of every log file of the system.
    [[nodiscard]] std::string all_logs() const;

private:
    unsigned short next_port();
    std::string link_endpoint(const std::string& owner, unsigned short& listens_at);
    void add(const std::string& name, std::vector<std::string> command);
    std::string owner_of(unsigned short local_port, unsigned short remote_port) const;

    std::string programs_;
    std::string folder_;
    bool fixed_;
    boost::asio::any_io_executor pool_;
    unsigned short port_ = 0;
    bool relayed_ = false;
    std::map<std::string, process> processes_;
    std::vector<std::string> order_;
    std::map<std::string, std::unique_ptr<relay>> relays_;
    std::map<std::string, std::string> entry_addresses_;
    std::map<std::string, std::string> operator_addresses_;
    std::vector<std::string> run_logs_;
};

} // namespace guavawick::scenarios
