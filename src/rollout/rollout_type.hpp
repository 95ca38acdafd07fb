// Rollouts of upstream versions: replicated records, evidence from the gateways, and exposure lent to them.
#pragma once

#include "base/clock_type.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace guavawick::rollout {

using namespace std::chrono_literals;

/// Stage of a rollout. Numbers are part of the snapshots: append only.
enum class stage : std::uint8_t {
    probing = 0,      ///< the target gets a small share of the calls
    switching = 1,    ///< new calls go to the target; running calls of the old versions end
    completed = 2,    ///< only the target gets calls
    rolling_back = 3, ///< the target gets no new calls, but not every gateway has confirmed it
    rolled_back = 4   ///< the target gets no calls
};

/// Latest rollout of one service, as replicated by the control group.
struct record {
    std::string service;
    std::string target;       ///< version that the service's calls move to
    std::string baseline;     ///< version of the last completed rollout; empty: all versions but the target
    std::uint64_t number = 0; ///< revision at which it was requested; identifies the rollout
    std::uint64_t changed_at = 0; ///< revision at which it entered the current stage
    stage current = stage::probing;
    duration length{};              ///< from the request to its deadline
    duration age{};                 ///< since the request, as last committed; the present age is higher
    std::set<std::string> rejected; ///< versions that were rolled back and get no calls
};

/// Rollouts by service.
using record_table = std::map<std::string, record>;

/// Result of a request for a rollout.
enum class start_result : std::uint8_t { started, repeated, conflict };

constexpr std::size_t duration_buckets = 36; ///< from 1 ms to 3 minutes in factors of the square root of 2

/// Outcomes of the attempts of one route at the target, or at the other versions.
struct outcome_counters {
    std::uint64_t failures = 0; ///< attempts that may have run and gave no usable response
    std::array<std::uint64_t, duration_buckets> durations{}; ///< ended attempts, failed ones too, by bucket
    std::array<std::uint32_t, duration_buckets> running{};   ///< attempts in progress, by present duration
};

/// Identifies outcome_counters: route, and whether they are of the target.
using counters_key = std::pair<std::string, bool>;

/// What one gateway incarnation counted since it learned of a rollout.
struct service_evidence {
    std::uint64_t number = 0;      ///< of the rollout
    duration age{};                ///< of the rollout, as far as the gateway knows
    std::uint64_t calls = 0;       ///< calls that were placed
    std::uint64_t exposed = 0;     ///< of those, calls placed at the target
    std::uint32_t running_old = 0; ///< attempts in progress at other versions
    std::map<counters_key, outcome_counters> outcomes;
};

/// Latest report of one gateway incarnation.
struct gateway_report {
    std::string endpoint;
    std::uint64_t sequence = 0;
    std::uint64_t revision = 0; ///< of the view in force at the gateway
    time_point received_at{};
    std::map<std::string, service_evidence> services;
};

/// Latest reports by gateway incarnation. Those of former incarnations stay until the rollout ends.
using evidence_table = std::map<std::uint64_t, gateway_report>;

/// Evidence on one rollout, summed over gateway incarnations.
struct evidence_totals {
    duration age{}; ///< the highest reported
    std::uint64_t calls = 0;
    std::uint64_t exposed = 0;
    std::map<counters_key, outcome_counters> outcomes;
};

/// Exposure lent to a gateway.
struct lease {
    std::uint64_t number = 0; ///< of the rollout
    double share = 0;         ///< of the calls of each route that go to the target
    double forecast = 0;      ///< part of the calls expected until the deadline that counts towards the limit
    duration age{};           ///< of the rollout, when the lease was received
    time_point received_at{};
    time_point valid_until{};
};

constexpr duration lease_time = 2500ms; ///< from sending a report until its lease ends

} // namespace guavawick::rollout
