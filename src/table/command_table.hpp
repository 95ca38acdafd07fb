// Catalogue of the commands of the binary, with their help texts.
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
    std::optional<role_kind> role; ///< the role that the command runs; unset for client commands
    bool requires_file;            ///< --file must be given
};

constexpr const char* role_help =
    "  --settings FILE    settings in TOML\n  --check_settings   check them, print every fault and exit";
constexpr const char* client_help =
    "  --operator_address URL   operator address of a replica; default: http://127.0.0.1:8090\n"
    "  --operator_key KEY       or GUAVAWICK_OPERATOR_KEY\n"
    "  --json                   print JSON instead of tables";
constexpr const char* apply_help =
    "  --file FILE              the whole configuration set\n"
    "  --expect_revision N      publish only over this revision; default: the current one\n"
    "  --request_id ID          reuse it to resend after a lost answer\n"
    "  --dry_run                show what would change without publishing it\n"
    "  --operator_address URL, --operator_key KEY, --json as for the other commands";

constexpr std::array command_table{
    command_row{"entry", "--settings FILE", "serves callers behind the load balancer", role_help,
                role_kind::entry, false},
    command_row{"sidecar", "--settings FILE", "queues and forwards the calls of one upstream", role_help,
                role_kind::sidecar, false},
    command_row{"replica", "--settings FILE | remove NAME",
                "replicates the durable state; `replica remove NAME` is an operator's command", role_help,
                role_kind::replica, false},
    command_row{"standalone", "--settings FILE", "runs every role in one process", role_help,
                role_kind::standalone, false},
    command_row{"check", "--file FILE", "checks a configuration set without a replica",
                "  --file FILE   the whole configuration set", std::nullopt, true},
    command_row{"apply", "--file FILE", "publishes a configuration set", apply_help, std::nullopt, true},
    command_row{"diff", "--file FILE", "shows what a set would change", client_help, std::nullopt, true},
    command_row{"get", "", "prints the configuration in force", client_help, std::nullopt, false},
    command_row{"audit", "[--after N]", "prints the audit trail", client_help, std::nullopt, false},
    command_row{"status", "", "shows groups, upstreams and processes", client_help, std::nullopt, false},
    command_row{"drain", "(data_centre|upstream) NAME [off]",
                "takes a data centre or an upstream out of service, or puts it back", client_help,
                std::nullopt, false},
    command_row{"lift", "BODY_HASH", "lifts the quarantine of a request body", client_help, std::nullopt,
                false},
    command_row{"hash-key", "< FILE", "reads a key from standard input and prints its SHA-256", "",
                std::nullopt, false},
};

/// @return the row of a command, or nullptr if there is none.
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
