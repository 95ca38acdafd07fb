// The commands of the binary and their help.
#pragma once

#include "base/settings_type.hpp"

#include <array>
#include <optional>
#include <string>

namespace guavawick {

/// One row of the command catalogue.
struct command_row {
    const char* name;
    const char* usage;
    const char* summary;
    const char* help;
    std::optional<role_kind> role; ///< set for commands that run a process
    bool requires_file;            ///< --file is needed
};

constexpr const char* role_help =
    "  --settings FILE    TOML settings\n  --check_settings   check them, print every fault and exit";
constexpr const char* client_help =
    "  --operator_address URL   a replica's operator address, http://127.0.0.1:8090 if not given\n"
    "  --operator_key KEY       or GUAVAWICK_OPERATOR_KEY\n"
    "  --json                   print JSON instead of tables";
constexpr const char* apply_help =
    "  --file FILE              the whole set\n"
    "  --expect_revision N      publish only over this revision; the present one if not given\n"
    "  --request_id ID          repeat it to resend after a lost answer\n"
    "  --dry_run                tell what would change, without effect\n"
    "  --operator_address URL, --operator_key KEY, --json as for the other commands";

constexpr std::array command_table{
    command_row{"entry", "--settings FILE", "serves callers behind the balancer", role_help, role_kind::entry,
                false},
    command_row{"sidecar", "--settings FILE", "guards one upstream", role_help, role_kind::sidecar, false},
    command_row{"replica", "--settings FILE | remove NAME",
                "holds the durable state; `replica remove NAME` is the operator's command", role_help,
                role_kind::replica, false},
    command_row{"standalone", "--settings FILE", "runs every role in one process", role_help,
                role_kind::standalone, false},
    command_row{"check", "--file FILE", "checks a configuration set without a replica",
                "  --file FILE   the whole set", std::nullopt, true},
    command_row{"apply", "--file FILE", "publishes a configuration set", apply_help, std::nullopt, true},
    command_row{"diff", "--file FILE", "shows what a set would change", client_help, std::nullopt, true},
    command_row{"get", "", "prints the configuration in force", client_help, std::nullopt, false},
    command_row{"audit", "[--after N]", "prints the audit trail", client_help, std::nullopt, false},
    command_row{"status", "", "shows groups, upstreams and processes", client_help, std::nullopt, false},
    command_row{"drain", "(data_centre|upstream) NAME [off]",
                "takes a data centre or an upstream out, or back in", client_help, std::nullopt, false},
    command_row{"lift", "BODY_HASH", "lifts the quarantine of a request body", client_help, std::nullopt,
                false},
    command_row{"hash-key", "< FILE", "reads a key from standard input and prints its SHA-256", "",
                std::nullopt, false},
};

/// @return the row of a command, or nullptr.
inline const command_row* find_command(const std::string& name)
{
    for (const command_row& row : command_table) {
        if (name == row.name) {
            return &row;
        }
    }
    return nullptr;
}

} // namespace guavawick
