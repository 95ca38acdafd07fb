// Directory of upstream instances, built from their announcements. Soft state: announcements may be merged in
// any order, the newest wins.
#pragma once

#include "base/clock_type.hpp"
#include "base/id_type.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace guavawick::directory {

using namespace std::chrono_literals;

using instance_id = strong_name<struct instance_tag>;

constexpr std::size_t max_field_bytes = 255; ///< of an id and of each text in an announcement
constexpr std::size_t max_instances = 8192;  ///< in one directory; the one heard longest ago is evicted

/// Whether an instance accepts new calls.
enum class instance_state : std::uint8_t { serving, draining, gone };

/// Latest announcement of an instance.
struct instance_record {
    instance_id id;
    std::string service;
    std::string address; ///< "IP:PORT"
    data_centre_name data_centre;
    std::string version;     ///< of its software; empty if it announces none
    std::uint32_t slots = 1; ///< concurrent calls
    instance_state state = instance_state::serving;
    std::uint64_t started_ms = 0; ///< start of the incarnation, in Unix milliseconds by the instance's clock
    std::uint64_t sequence = 0;   ///< increases with each announcement of an incarnation
    time_point last_seen_at{};    ///< when its latest announcement arrived at this process
    time_point cold_until{};      ///< end of the cold start, during which it takes few calls
};

/// All instances known to this process. Instances that are gone stay for as long as an old announcement may
/// still arrive.
struct directory {
    std::map<instance_id, instance_record> instances;
    std::uint64_t version = 0; ///< increases with each change that affects the placement of calls
};

/// Result of a merge.
enum class merge_result : std::uint8_t {
    invalid, ///< the announcement names no instance, see describe_fault(); nothing changed
    stale,   ///< the announcement is not newer; nothing changed
    renewed, ///< newer announcement with the same content
    changed, ///< new instance, or changed state, address, service or cold start
};

/// How long an instance that is gone stays in the directory; longer than any announcement is delayed.
constexpr duration gone_retention = 120s;

/// Crash of an instance while it ran a request.
struct crash_report {
    std::uint64_t request_hash = 0;  ///< of the request that it ran
    instance_id instance;            ///< the instance that crashed
    std::uint64_t started_ms = 0;    ///< start of its incarnation, in Unix milliseconds by its own clock
    time_point attempt_started_at{}; ///< when the request was sent to it
    time_point crashed_at{};         ///< when its connection broke off
};

/// Requests that were running when instances crashed. Reports may be merged in any order.
struct crash_table {
    /// Reports of one request, by instance and start of the incarnation.
    using crash_suspect = std::map<std::pair<instance_id, std::uint64_t>, crash_report>;
    std::map<std::uint64_t, crash_suspect> suspects; ///< by request hash
};

constexpr std::size_t crash_limit =
    3; ///< crashes after which a request is refused; three rule out a coincidence
constexpr std::size_t max_reports_per_suspect = 16; ///< further ones are dropped
constexpr duration crash_order_tolerance = 20ms;    ///< error of times that other processes report
constexpr duration crash_retention = 120s; ///< time after the last crash at which a suspect is removed

} // namespace guavawick::directory
