// Settings of a process, read from one TOML file.
#pragma once

#include "base/clock_type.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace guavawick {

using namespace std::chrono_literals;

/// A replica that this process may talk to.
struct replica_address {
    std::string name;     ///< the replica's name
    std::string endpoint; ///< "tcp://IP:PORT" of its link
};

/// Keys of the links between processes; all empty means links without encryption.
struct link_settings {
    std::string public_key;                ///< CURVE public key of this process, 40 characters
    std::string secret_key;                ///< CURVE secret key of this process, 40 characters
    std::string server_key;                ///< CURVE public key that servers of the system use
    std::vector<std::string> allowed_keys; ///< public keys that may connect here
    duration silence_limit = 2s;           ///< a connection silent for longer is opened anew
};

/// Settings of the `entry` role.
struct entry_settings {
    std::string listen = "127.0.0.1:8080"; ///< callers' address, IP:PORT
    std::string link;                      ///< "tcp://IP:PORT" for sidecars and other processes
    std::uint64_t workers = 4;             ///< threads of the worker pool
    duration configuration_lease = 4s;     ///< keyed work stops when the confirmation is older
    duration queue_limit = 30s;            ///< the longest wait for rate, order and queue together
    duration call_limit = 600s;            ///< the longest run of one call
    std::uint64_t max_body_bytes = 4U << 20U;
    std::uint64_t max_connections = 4096;
    duration idle_limit = 120s;            ///< an idle keep-alive connection is closed after this
    std::uint64_t subset_size = 32;        ///< upstreams of one route that this entry talks to
    std::string routing = "expected_time"; ///< routing policy
};

/// Settings of the `sidecar` role.
struct sidecar_settings {
    std::string name;                 ///< the upstream's name
    std::string link;                 ///< "tcp://IP:PORT" for entries, as others reach it
    std::string listen_link;          ///< where to listen, if not at `link`
    std::vector<std::string> entries; ///< "tcp://IP:PORT" of entries, own data centre first
    std::string kind = "model";       ///< "model" or "service"
    std::string serves;               ///< the model's or the service's name
    std::string upstream;             ///< "http://IP:PORT" of the upstream
    std::uint64_t max_window = 64;    ///< the most calls that run at once
    duration latency_goal = 2s;       ///< time to first token within which the window grows
    std::string queue = "fair";       ///< queue policy
    std::uint64_t workers = 2;        ///< threads of the worker pool
};

/// Settings of the `replica` role.
struct replica_settings {
    std::string name;                ///< the replica's name
    std::string link;                ///< "tcp://IP:PORT" for entries and other replicas, as others reach it
    std::string listen_link;         ///< where to listen, if not at `link`
    std::string operator_listen;     ///< operators' address, IP:PORT; empty for none
    std::string data_folder;         ///< where the durable state lives
    std::uint64_t ledger_shards = 2; ///< number of ledger groups; the same on every replica
    duration election_timeout = 1000ms;     ///< silence after which a new leader is sought
    duration heartbeat = 150ms;             ///< a leader's interval between messages
    std::uint64_t snapshot_entries = 20000; ///< log entries after which a snapshot is written
    std::vector<std::string> operator_keys; ///< "NAME:SHA256HEX" of each operator's key
};

/// Everything that a settings file may say.
struct settings {
    std::string data_centre;                ///< the data centre of this process
    std::string log_file;                   ///< empty for standard output
    std::string log_level = "info";         ///< debug, info, warning or error
    std::string metrics_listen;             ///< IP:PORT of /metrics and /healthz; empty for none
    duration stop_limit = 0s;               ///< a planned stop that lasts longer is cut; 0 for never
    std::vector<replica_address> replicas;  ///< the replicas that hold the state
    std::uint64_t ledger_shards = 2;        ///< number of ledger groups of the replicas
    link_settings links;                    ///< keys of the links
    entry_settings entry;                   ///< the entry role
    std::vector<sidecar_settings> sidecars; ///< the sidecar role; standalone may have several
    replica_settings replica;               ///< the replica role
    std::string configuration_file;         ///< standalone only: the set published at the first start
};

/// Which sections a role needs.
enum class role_kind : std::uint8_t { entry, sidecar, replica, standalone };

/// Reads and checks a settings file whole.
/// @param path the TOML file. @param role the role whose section must be there.
/// @throw settings_error naming file, key, line and what was expected, every fault at once.
settings read_settings(const std::string& path, role_kind role);

/// Reads and checks settings given as text. @param path the name that errors show.
settings parse_settings(const std::string& text, const std::string& path, role_kind role);

} // namespace guavawick
