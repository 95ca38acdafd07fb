// Settings of the processes of a fleet that finds itself through seeds.
#pragma once

#include "base/clock_type.hpp"
#include "base/settings_type.hpp"
#include "limit/bucket_func.hpp"

#include <string>
#include <vector>

namespace guavawick::core {

/// What one process of the fleet is told at its start.
struct fleet_settings {
    std::string node;                   ///< name of the instance
    std::string data_centre;            ///< where the instance is
    std::string link;                   ///< "tcp://IP:PORT" of this process's link
    std::string link_listen;            ///< where the link listens, if other than at its address
    std::vector<std::string> seeds;     ///< links of control replicas to ask first; may be out of date
    std::string caller_listen;          ///< IP:PORT for callers
    std::string readiness_listen;       ///< IP:PORT of the balancer's health check
    std::string operator_listen;        ///< IP:PORT for upstream instances and the operator
    std::string metrics_listen;         ///< IP:PORT of /metrics; empty for none
    std::string data_folder;            ///< where the durable state lives
    bool bootstrap = false;             ///< the whole system starts for the first time
    std::size_t data_centre_count = 1;  ///< number of data centres
    std::size_t tolerated_failures = 1; ///< instances with a disk that may be lost at once
    duration instance_heartbeat_interval = 1200ms; ///< between two heartbeats of an upstream instance
    limit::tolerance rate_tolerance;               ///< by which organisations may exceed their rate and burst
    duration stop_grace = 8s;                      ///< from the stop signal until the process is killed
};

constexpr duration fleet_election_timeout =
    600ms; ///< several heartbeats; callers wait this long for a new leader
constexpr duration fleet_heartbeat_interval =
    120ms; ///< a fifth of it, so that single losses start no election
constexpr duration fleet_link_silence_limit = 900ms; ///< three pings; connections may go silent for good

/// @return settings of one consensus replica of this process.
inline replica_settings make_replica_settings(const fleet_settings& given, std::uint64_t snapshot_entries)
{
    replica_settings made;
    made.name = given.node;
    made.link = given.link;
    made.data_folder = given.data_folder;
    made.snapshot_entries = snapshot_entries;
    made.election_timeout = fleet_election_timeout;
    made.heartbeat = fleet_heartbeat_interval;
    return made;
}

/// @return where a process's link listens.
inline const std::string& link_listen_address(const fleet_settings& given)
{
    return given.link_listen.empty() ? given.link : given.link_listen;
}

/// @return settings of the links of a process of the fleet.
inline link_settings make_link_settings()
{
    link_settings made;
    made.silence_limit = fleet_link_silence_limit;
    return made;
}

} // namespace guavawick::core
