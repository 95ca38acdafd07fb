// Upstream instances as they announce themselves. Soft state: merging is free of order, the newest word wins.
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

/// What an instance does with new work.
enum class instance_state : std::uint8_t { serving, draining, gone };

/// What one instance last said of itself.
struct instance_record {
    instance_id id;
    std::string service;
    std::string address; ///< "IP:PORT"
    data_centre_name data_centre;
    std::uint32_t slots = 1; ///< calls at once
    instance_state state = instance_state::serving;
    std::uint64_t started_ms = 0; ///< start of its incarnation, its own Unix clock
    std::uint64_t sequence = 0;   ///< rises with each announcement of an incarnation
    time_point last_seen_at{};    ///< when its newest word reached this process
    time_point cold_until{};      ///< bears little until then
};

/// All instances that this process knows. Left ones are remembered for as long as an old word may arrive
/// late.
struct directory {
    std::map<instance_id, instance_record> instances;
    std::uint64_t version = 0; ///< rises with each change that matters to placing
};

/// What a merge did.
enum class merge_result : std::uint8_t {
    stale,   ///< an older or equal word; nothing changed
    renewed, ///< the same content, newer
    changed, ///< state, address, service or warmth changed, or the instance is new
};

/// How long a left instance is remembered: longer than any announcement is late.
constexpr duration gone_retention = 120s;

/// Requests that were running when an instance died.
struct crash_table {
    struct crash_suspect {
        std::set<std::string> instances; ///< distinct instances that died
        time_point last_crash_at{};      ///< newest death
    };
    std::map<std::uint64_t, crash_suspect> suspects; ///< by hash of the request
};

constexpr std::size_t crash_limit = 3; ///< deaths after which a request is refused: the third is proof enough
constexpr duration crash_retention = 120s; ///< a suspect is forgotten after this

} // namespace guavawick::directory
