// Settings of a process, read from one TOML file.
#pragma once

#include "base/clock_type.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace guavawick {

using namespace std::chrono_literals;

/// A replica that this process may connect to.
struct replica_address {
    std::string name;     ///< the replica's name
    std::string endpoint; ///< "tcp://IP:PORT" of its link
};

/// Keys and timeout of the links between processes; without keys the links are not encrypted.
struct link_settings {
    std::string public_key; ///< CURVE public key of this process, 40 characters
    std::string secret_key; ///< CURVE secret key of this process, 40 characters
    std::string server_key; ///< CURVE public key of the listening side, the same in all processes
    std::vector<std::string> allowed_keys; ///< CURVE public keys of the peers that may connect
    duration silence_limit = 2s;           ///< a connection that receives nothing for longer is reopened
};

/// Settings of the `entry` role.
struct entry_settings {
    std::string listen = "127.0.0.1:8080"; ///< IP:PORT that callers connect to
    std::string link;                      ///< "tcp://IP:PORT" for sidecars and other processes
    std::uint64_t workers = 4;             ///< threads of the worker pool
    duration configuration_lease = 4s; ///< calls with a key are refused once the last confirmation is older
    duration queue_limit = 30s; ///< longest total wait for the rate limit, the program's order and the queue
    duration call_limit = 600s; ///< longest run of one call
    std::uint64_t max_body_bytes = 4U << 20U;
    std::uint64_t max_connections = 4096;
    duration idle_limit = 120s;            ///< an idle keep-alive connection is closed after this
    std::uint64_t subset_size = 32;        ///< upstreams of one route that this entry uses
    std::string routing = "expected_time"; ///< routing policy: expected_time, round_robin or no_affinity
};

/// Settings of the `sidecar` role.
struct sidecar_settings {
    std::string name;                 ///< the upstream's name
    std::string link;                 ///< "tcp://IP:PORT" under which entries reach the sidecar
    std::string listen_link;          ///< address to bind, if it differs from `link`
    std::vector<std::string> entries; ///< "tcp://IP:PORT" of the entries, those of the own data centre first
    std::string kind = "model";       ///< "model" or "service"
    std::string serves;               ///< name of the model or service
    std::string upstream;             ///< "http://IP:PORT" of the upstream
    std::uint64_t max_window = 64;    ///< maximum number of concurrent calls
    duration latency_goal = 2s;       ///< target time to first token; the window grows below it
    std::string queue = "fair";       ///< queue policy: fair or fifo
    std::uint64_t workers = 2;        ///< threads of the worker pool
};

/// Settings of the `replica` role.
struct replica_settings {
    std::string name;                   ///< the replica's name
    std::string link;                   ///< "tcp://IP:PORT" under which others reach the replica
    std::string listen_link;            ///< address to bind, if it differs from `link`
    std::string operator_listen;        ///< IP:PORT that operators connect to; empty for none
    std::string data_folder;            ///< folder of the durable state
    std::uint64_t ledger_shards = 2;    ///< number of ledger groups; must be the same on every replica
    duration election_timeout = 1000ms; ///< time without contact to a leader after which an election starts
    duration heartbeat = 150ms;         ///< interval between the heartbeats of a leader
    std::uint64_t snapshot_entries = 20000; ///< number of log entries after which a snapshot is written
    std::uint64_t snapshot_log_bytes =
        64U << 20U; ///< bytes of log after which a snapshot is written; a quarter stays for lagging members
    std::vector<std::string> operator_keys; ///< "NAME:SHA256HEX" of each operator's key
    bool exits_on_storage_failure = true;   ///< false: only the group ends, as its process serves others too
};

/// The contents of a settings file.
struct settings {
    std::string data_centre;                ///< the data centre of this process
    std::string log_file;                   ///< empty for standard output
    std::string log_level = "info";         ///< debug, info, warning or error
    std::string metrics_listen;             ///< IP:PORT of /metrics and /healthz; empty for none
    duration stop_limit = 0s;               ///< a planned stop that lasts longer is aborted; 0 for never
    std::vector<replica_address> replicas;  ///< the replicas of the consensus groups
    std::uint64_t ledger_shards = 2;        ///< number of ledger groups of the replicas
    link_settings links;                    ///< keys of the links
    entry_settings entry;                   ///< the entry role
    std::vector<sidecar_settings> sidecars; ///< the sidecar role; standalone may have several
    replica_settings replica;               ///< the replica role
    std::string configuration_file; ///< standalone only: configuration set published at the first start
};

/// Role of a process; determines the sections that its settings must have.
enum class role_kind : std::uint8_t { entry, sidecar, replica, standalone };

/// Reads and checks a settings file.
/// @param path the TOML file. @param role the role whose sections are required.
/// @throw settings_error that lists every fault with file, key, line and what was expected.
settings read_settings(const std::string& path, role_kind role);

/// Reads and checks settings given as text; see read_settings(). @param path the name shown in errors.
settings parse_settings(const std::string& text, const std::string& path, role_kind role);

} // namespace guavawick
