// The service plan: routes, services and organisations. Plain data; a plan is validated as a whole before it
// is published.
#pragma once

#include "base/clock_type.hpp"
#include "base/id_type.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavawick::plan {

using namespace std::chrono_literals;

using service_name = strong_name<struct service_tag>;
using route_name = strong_name<struct route_tag>;
using plan_version = strong_number<struct plan_version_tag>;

/// Whether a call may be repeated.
enum class call_kind : std::uint8_t { idempotent, non_idempotent, streaming };

/// A service of a route, with its share of the route's calls.
struct weighted_service {
    service_name service;
    double weight = 1; ///< share relative to the other weights of the route
};

/// Maps a host and path prefix to services.
struct route {
    route_name name;
    std::string host;
    std::string path_prefix; ///< begins and ends with a slash
    call_kind kind = call_kind::non_idempotent;
    duration timeout = 30s;         ///< maximum time that a caller waits for a call
    duration latency_objective{};   ///< objective for the first event or the whole response
    duration gap_objective{};       ///< objective for the maximum pause between events
    std::uint32_t priority = 0;     ///< 0 is the highest
    std::uint32_t max_attempts = 1; ///< maximum number of upstreams that one call is sent to
    std::vector<weighted_service> services;
    bool keeps_turns = false;     ///< the ledger stores the turns
    duration retention{};         ///< how long a stored turn can be continued
    bool allow_anonymous = false; ///< calls need no API key
    bool affinity = false;        ///< upstreams keep state of the calls they served
    bool resumable = false;       ///< a broken stream may be resumed at another upstream

    /// @return whether a call may run more than once.
    [[nodiscard]] bool repeatable() const
    {
        return kind == call_kind::idempotent || (kind == call_kind::streaming && resumable);
    }
};

/// Engine parameters of a model service.
struct engine {
    std::uint32_t slots = 1;            ///< concurrent calls
    std::uint64_t memory_tokens = 0;    ///< capacity of the engine's memory, in tokens
    std::uint32_t tokens_per_event = 1; ///< tokens in one streamed event
};

/// A group of interchangeable upstreams.
struct service {
    service_name name;
    std::string health_path;
    std::uint32_t max_connections = 100; ///< limit for one upstream, over all callers
    duration cold_start{};               ///< duration of an upstream's cold start
    double cold_rate = 0;                ///< calls a second to a cold upstream; 0 for no limit
    std::optional<engine> model;
};

/// An organisation, its keys and its limits.
struct organisation {
    organisation_name name;
    std::vector<std::string> key_hashes;   ///< SHA-256 of each key, hexadecimal
    std::optional<std::uint32_t> priority; ///< overrides the route's priority
    double rate = 0;                       ///< calls a second over all gateways; 0 for no limit
    double burst = 0;                      ///< size of the token bucket, in calls
};

/// Limits on callers' requests and connections.
struct caller_limits {
    std::uint64_t max_header_bytes = 16U << 10U;
    std::uint64_t max_body_bytes = 4U << 20U;
    duration header_timeout = 3s;
    duration idle_timeout = 15s;
};

/// A service plan.
struct service_plan {
    plan_version version;
    std::vector<route> routes;
    std::map<service_name, service> services;
    std::vector<organisation> organisations; ///< if empty, calls need no API key
    caller_limits limits;
};

/// A fault that prevents a plan from being published.
struct plan_fault {
    std::string object; ///< kind and name of the faulty object
    std::string reason; ///< description of the fault
};

/// A plan with its lookup tables.
struct indexed_plan {
    service_plan plan;
    std::unordered_map<std::string, std::vector<std::size_t>>
        routes_by_host; ///< indices of routes, longest path prefix first
    std::unordered_map<std::string, std::size_t>
        organisation_by_key; ///< index of the organisation by key hash
};

} // namespace guavawick::plan
