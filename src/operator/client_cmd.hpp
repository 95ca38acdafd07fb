// The operators' commands, which are clients of the operators' API.
#pragma once

#include <string>
#include <vector>

namespace guavawick::operators {

/// Options of the operators' commands, from the command line's flags.
struct client_options {
    std::string address;               ///< operator address of a replica, "http://IP:PORT"
    std::string operator_key;          ///< sent as bearer token
    std::string file;                  ///< path of the configuration file
    std::string request_id;            ///< idempotency key of a publication; empty: a random one
    std::int64_t expect_revision = -1; ///< publish only over this revision; -1: the current one
    std::uint64_t after_revision = 0;  ///< audit: only revisions after this one
    bool dry_run = false;              ///< show the changes without publishing them
    bool print_json = false;           ///< print JSON instead of tables
};

/// Exit codes of every command.
constexpr int exit_success = 0;
constexpr int exit_refused = 1;     ///< the API refused the request, or the file has faults
constexpr int exit_usage = 2;       ///< the command line or the settings are invalid
constexpr int exit_unreachable = 4; ///< no replica answered

/// Runs one of check, apply, diff, get, audit, status, drain, lift, replica. @param arguments the command's
/// positional arguments. @return the exit code.
int run_client_command(const std::string& command, const std::vector<std::string>& arguments,
                       const client_options& options);

} // namespace guavawick::operators
