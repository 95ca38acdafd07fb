// Settings of the processes of a seeded fleet, whose processes find each other through a few known endpoints.
#pragma once

#include "base/clock_type.hpp"
#include "base/settings_type.hpp"
#include "http/byte_budget.hpp"
#include "http/connection_table.hpp"
#include "limit/bucket_func.hpp"

#include <string>
#include <vector>

namespace guavawick::core {

/// Behaviour that only some deployments enable.
struct fleet_features {
    bool rollouts = false;   ///< operators may order rollouts of upstream versions
    bool load_aware = false; ///< placement by cached prompts and by the delay of a batch
    /// Placement by learned speed, pace and memory, and by the mean where an instance was not heard lately.
    /// No deployment enables it yet, as it was not measured on a full system.
    bool learned_load = false;
    /// Programs start at the pace that the congestion of their service allows. No deployment enables it: on
    /// the heaviest measured day it served fewer programs in time (docs/design/admission.md).
    bool paced_starts = false;
    bool engine_priority = false; ///< engines get the urgency of each call; measured together with the pace
};

/// Limits on what a rollout may expose callers to.
struct rollout_limits {
    double exposed_share = 0.1;     ///< of the calls of a service that an unproven version may get
    double exposed_calls = 50;      ///< further calls
    duration rollback_timeout = 5s; ///< after the last tolerated bad response until the version gets none
};

/// Settings of one process of the fleet.
struct fleet_settings {
    std::string node;                   ///< name of this instance
    std::string data_centre;            ///< data centre of this instance
    std::string link;                   ///< "tcp://IP:PORT" at which other processes reach this one's link
    std::string link_listen;            ///< address that the link binds; empty for the one in `link`
    std::string replica_link;           ///< as `link`, of a control replica that a gateway hosts
    std::string replica_link_listen;    ///< as `link_listen`, of that replica
    std::vector<std::string> seeds;     ///< links of control replicas to contact first; may be out of date
    std::string caller_listen;          ///< IP:PORT for callers
    std::string readiness_listen;       ///< IP:PORT for the load balancer's health check
    std::string operator_listen;        ///< IP:PORT for upstream instances and operators; empty to serve none
    std::string metrics_listen;         ///< IP:PORT of /metrics; empty to serve no metrics
    std::string data_folder;            ///< folder of the durable state
    bool bootstrap = false;             ///< the whole system starts for the first time
    std::size_t data_centre_count = 1;  ///< number of data centres
    std::size_t tolerated_failures = 1; ///< instances with a disk that may fail at the same time
    duration instance_heartbeat_interval = 1200ms; ///< between two heartbeats of an upstream instance
    limit::tolerance rate_tolerance;               ///< by how much organisations may exceed rate and burst
    std::uint64_t memory_limit = 0;    ///< bytes of memory that this process may use; 0 if unknown
    std::uint64_t max_descriptors = 0; ///< descriptors that this process may open; 0 if unknown
    std::uint64_t request_memory = 0;  ///< bytes that requests and responses may hold; 0: from `memory_limit`
    std::uint64_t max_connections = 0; ///< of clients; 0: from `memory_limit` and `max_descriptors`
    bool hosts_replica = false;        ///< a gateway hosts this replica and outlives its storage failure
    std::uint64_t disk_limit = 0;      ///< bytes that the data folder may hold; 0 if unknown
    duration stop_grace = 8s;          ///< from the stop signal until the process is killed
    fleet_features features;
    rollout_limits rollout;
};

constexpr duration fleet_election_timeout = 600ms; ///< 5 heartbeats; callers wait this long for a new leader
constexpr duration fleet_heartbeat_interval =
    120ms; ///< a fifth of the election timeout, so that single lost messages start no election
constexpr std::uint64_t fleet_snapshot_log_bytes =
    6U << 20U; ///< log that a group holds in memory and reads at its start, beside a quarter that is retained
constexpr duration fleet_link_silence_limit =
    900ms; ///< 3 pings; a broken connection may stay silent without an error

/// @return settings of a consensus replica of this process.
inline replica_settings make_replica_settings(const fleet_settings& fleet, std::uint64_t snapshot_entries)
{
    replica_settings settings;
    settings.name = fleet.node;
    settings.link = fleet.link;
    settings.data_folder = fleet.data_folder;
    settings.snapshot_entries = snapshot_entries;
    settings.snapshot_log_bytes = fleet_snapshot_log_bytes;
    settings.election_timeout = fleet_election_timeout;
    settings.heartbeat = fleet_heartbeat_interval;
    settings.exits_on_storage_failure = !fleet.hosts_replica;
    return settings;
}

/// @return the address that a process's link binds.
inline const std::string& link_listen_address(const fleet_settings& settings)
{
    return settings.link_listen.empty() ? settings.link : settings.link_listen;
}

/// @return limits of the bytes that clients' requests and responses may hold in a process.
inline http::byte_limits make_byte_limits(const fleet_settings& settings)
{
    http::byte_limits limits = http::derive_byte_limits(settings.memory_limit);
    if (settings.request_memory > 0) {
        limits.total = settings.request_memory;
        limits.per_address = limits.total / 2;
    }
    return limits;
}

/// @return limits of the connections of callers, or of operators and upstreams.
inline http::connection_limits make_connection_limits(const fleet_settings& settings)
{
    http::connection_limits limits =
        http::derive_connection_limits(settings.memory_limit, settings.max_descriptors);
    if (settings.max_connections > 0) {
        limits.total = settings.max_connections;
        limits.per_address = limits.total - limits.total / 4;
    }
    return limits;
}

/// @return settings of the links of a process of the fleet.
inline link_settings make_link_settings()
{
    link_settings settings;
    settings.silence_limit = fleet_link_silence_limit;
    return settings;
}

} // namespace guavawick::core
