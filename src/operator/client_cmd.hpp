// The operator's commands: clients of the operators' API.
#pragma once

#include <string>
#include <vector>

namespace guavawick::operators {

/// Options shared by the operator's commands.
struct client_options {
    std::string address;               ///< "http://IP:PORT" of a replica's operator address
    std::string key;                   ///< the operator's key
    std::string file;                  ///< set file
    std::string request_id;            ///< empty: a random one
    std::int64_t expect_revision = -1; ///< -1: the present one
    std::uint64_t after = 0;           ///< audit: revisions after this
    bool dry_run = false;
    bool json = false; ///< print JSON instead of tables
};

/// Exit codes of every command.
constexpr int exit_success = 0;
constexpr int exit_refused = 1;     ///< the system refused, or the file has faults
constexpr int exit_usage = 2;       ///< the command line or the settings are wrong
constexpr int exit_unreachable = 4; ///< no replica answered

/// Runs one of check, apply, diff, get, audit, status, drain, replica. @return the exit code.
int run_client_command(const std::string& command, const std::vector<std::string>& words,
                       const client_options& options);

} // namespace guavawick::operators
