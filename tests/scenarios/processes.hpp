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
struct scenario_process {
    std::string name;
    std::vector<std::string> command; ///< program and arguments
    pid_t pid = -1;
    int exit_code = -1;
    bool ended = false;
    bool frozen = false;
};

/// Parameters of an `upstream` statement.
struct upstream_definition {
    std::string name;
    std::string kind = "model";
    std::string serves;
    std::string data_centre = "dc1";
    std::map<std::string, std::string> flags; ///< command-line flags of the stand-in
};

/// Parameters of a `system` statement.
struct system_definition {
    int replicas = 3;
    int entries = 2;
    int shards = 2;
    std::string data_centres = "dc1,dc2"; ///< replicas and entries are spread over these
    bool relays = false;                  ///< links go through relays that can be cut
    std::map<std::string, std::string> entry_settings;
    std::map<std::string, std::string> sidecar_settings;
    std::map<std::string, std::string> replica_settings;
};

/// Starts, stops and monitors the processes of a scenario. Thread safety: to be used from one thread, except
/// find_connection_owner(), which may be called from any thread.
class process_set {
public:
    /// @param program_folder folder of the built programs. @param folder scratch folder, deleted and created
    /// anew. @param uses_fixed_ports whether to use the ports of `make up`. @param executor runs the relays.
    process_set(std::string program_folder, std::string folder, bool uses_fixed_ports,
                boost::asio::any_io_executor executor);
    ~process_set();
    process_set(const process_set&) = delete;
    process_set& operator=(const process_set&) = delete;

    /// Allocates ports and writes the settings files.
    void prepare(const system_definition& system, const std::vector<upstream_definition>& upstreams);
    void start(const std::string& name);
    void send_signal(const std::string& name, int signal_number);
    void wipe_disk(const std::string& name);
    /// Appends an incomplete record to each log of a replica, as a torn write leaves it.
    void tear_logs(const std::string& name);
    void cut(const std::string& from, const std::string& to, bool both_ways);
    void heal(const std::string& from, const std::string& to);
    void mute(const std::string& from, const std::string& to);
    /// Records the exit codes of processes that have exited.
    void reap();
    /// @return all process names in the order of their start.
    [[nodiscard]] std::vector<std::string> names() const { return start_order_; }
    [[nodiscard]] const scenario_process& get(const std::string& name) const { return processes_.at(name); }
    [[nodiscard]] bool contains(const std::string& name) const { return processes_.count(name) != 0; }
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
    /// @return all lines of the stand-ins' run logs.
    [[nodiscard]] std::vector<boost::json::object> read_run_logs() const;
    /// @return the text of all log and output files of the processes.
    [[nodiscard]] std::string read_all_logs() const;

private:
    unsigned short next_port();
    std::string link_endpoint(const std::string& owner, unsigned short& listen_port);
    void add_process(const std::string& name, std::vector<std::string> command);
    std::string find_connection_owner(const connection_ends& ends) const;

    std::string program_folder_;
    std::string folder_;
    bool uses_fixed_ports_;
    boost::asio::any_io_executor executor_;
    unsigned short port_ = 0;
    bool uses_relays_ = false;
    std::map<std::string, scenario_process> processes_;
    std::vector<std::string> start_order_;
    std::map<std::string, std::unique_ptr<relay>> relays_;
    std::map<std::string, std::string> entry_addresses_;
    std::map<std::string, std::string> operator_addresses_;
    std::vector<std::string> run_logs_;
};

} // namespace guavawick::scenarios
