// The service plan: which routes lead to which services, for which organisations. Plain data, checked whole
// before it is published.
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

/// Whether a call may run again.
enum class call_kind : std::uint8_t { idempotent, non_idempotent, streaming };

/// One service among those that share a route.
struct weighted_service {
    service_name service;
    double weight = 1; ///< share among the weights of the route
};

/// Where calls of one host and path prefix go.
struct route {
    route_name name;
    std::string host;
    std::string path_prefix; ///< begins and ends with a slash
    call_kind kind = call_kind::non_idempotent;
    duration timeout = 30s;         ///< the longest time that a caller is kept waiting
    duration latency_objective{};   ///< first event or whole answer within this
    duration gap_objective{};       ///< longest pause between events
    std::uint32_t priority = 0;     ///< 0 is the most urgent
    std::uint32_t max_attempts = 1; ///< upstreams that one call may be sent to
    std::vector<weighted_service> services;
    bool keeps_turns = false;     ///< the ledger keeps what was said
    duration retention{};         ///< how long a kept turn can be continued
    bool allow_anonymous = false; ///< no key needed
    bool affinity = false;        ///< upstreams remember what they handled
    bool resumable = false;       ///< a broken stream may go on elsewhere

    /// @return whether a call may run more than once.
    [[nodiscard]] bool repeatable() const
    {
        return kind == call_kind::idempotent || (kind == call_kind::streaming && resumable);
    }
};

/// Engine parameters of a service that runs models.
struct engine {
    std::uint32_t slots = 1;            ///< calls at once
    std::uint64_t memory_tokens = 0;    ///< tokens that fit into the engine's memory
    std::uint32_t tokens_per_event = 1; ///< tokens in one event of a stream
};

/// A group of interchangeable upstreams.
struct service {
    service_name name;
    std::string health_path;
    std::uint32_t max_connections = 100; ///< of one upstream, from all callers
    duration cold_start{};               ///< how long an upstream stays cold after its start
    double cold_rate = 0;                ///< calls a second that a cold upstream bears; 0 for no limit
    std::optional<engine> model;
};

/// An organisation, its keys and its limits.
struct organisation {
    organisation_name name;
    std::vector<std::string> key_hashes;   ///< SHA-256 of each key, hexadecimal
    std::optional<std::uint32_t> priority; ///< goes before the route's
    double rate = 0;                       ///< calls a second over all entries; 0 for no limit
    double burst = 0;                      ///< calls at once beside the rate
};

/// What a caller may send.
struct caller_limits {
    std::uint64_t max_header_bytes = 16U << 10U;
    std::uint64_t max_body_bytes = 4U << 20U;
    duration header_timeout = 3s;
    duration idle_timeout = 15s;
};

/// A whole plan.
struct service_plan {
    plan_version version;
    std::vector<route> routes;
    std::map<service_name, service> services;
    std::vector<organisation> organisations; ///< none: calls need no key
    caller_limits limits;
};

/// One fault of a plan that must not be published.
struct plan_fault {
    std::string object; ///< kind and name of what is wrong
    std::string reason; ///< what is wrong with it
};

/// A plan with the tables that calls are looked up in.
struct indexed_plan {
    service_plan plan;
    std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host; ///< longest prefix first
    std::unordered_map<std::string, std::size_t> organisation_by_key;         ///< by key hash
};

} // namespace guavawick::plan
