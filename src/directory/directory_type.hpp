// Directory of upstream instances, built from their announcements. Soft state: announcements may be merged in
// any order, the newest wins.
#pragma once

#include "base/clock_type.hpp"
#include "base/id_type.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace guavawick::directory {

using namespace std::chrono_literals;

using instance_id = strong_name<struct instance_tag>;

/// Whether an instance accepts new calls.
enum class instance_state : std::uint8_t { serving, draining, gone };

/// Latest announcement of an instance.
struct instance_record {
    instance_id id;
    std::string service;
    std::string address; ///< "IP:PORT"
    data_centre_name data_centre;
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
    stale,   ///< the announcement is not newer; nothing changed
    renewed, ///< newer announcement with the same content
    changed, ///< new instance, or changed state, address, service or cold start
};

/// How long an instance that is gone stays in the directory; longer than any announcement is delayed.
constexpr duration gone_retention = 120s;

/// Requests that were running when an instance crashed.
struct crash_table {
    struct crash_suspect {
        std::set<std::string> instances; ///< distinct instances that crashed
        time_point last_crash_at{};      ///< time of the latest crash
    };
    std::map<std::uint64_t, crash_suspect> suspects; ///< by request hash
};

constexpr std::size_t crash_limit =
    3; ///< crashes after which a request is refused; three rule out a coincidence
constexpr duration crash_retention = 120s; ///< time after the last crash at which a suspect is removed

} // namespace guavawick::directory
