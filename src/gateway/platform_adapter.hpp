// What a platform's adapter tells the gateway: how callers' requests are read and how upstreams are
// addressed. Everything behind it is free of a platform's names.
#pragma once

#include "base/id_type.hpp"
#include "plan/plan_type.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace guavawick::gateway {

/// Header fields in order, names as they were sent.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// @return the value of a header, empty if it is absent. @param name compared without regard to case.
std::string find_header(const header_list& headers, std::string_view name);

/// A caller's request as it was read.
struct raw_request {
    std::string method;
    std::string target; ///< path and query
    header_list headers;
    std::string body;
};

/// One part of a prompt, for placing by cache.
struct prompt_part {
    std::string id;
    std::uint64_t tokens = 0;
};

/// What a caller's headers say.
struct call_metadata {
    request_name request; ///< unique for each try of a caller
    std::string host;
    std::string path;                ///< without the query
    std::string api_key;             ///< empty if none was sent
    std::optional<duration> timeout; ///< how long the caller waits
    program_name program;
    std::string line;                ///< one line of turns of a program
    std::uint64_t budget_tokens = 0; ///< of the whole program; 0 if none was sent
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_tokens = 0;    ///< that this turn may generate
    std::vector<prompt_part> prompt; ///< in order
    request_name previous_turn;
    std::optional<std::uint64_t> resume_after; ///< id of the last event that the caller has
};

/// What is told to an upstream beside the caller's own headers.
struct upstream_metadata {
    std::string instance;                      ///< only this instance may run the call
    std::string organisation;                  ///< whose key it was; empty on open routes
    duration time_left{};                      ///< until the caller gives up
    std::optional<std::uint64_t> resume_after; ///< events up to this one have been passed on
    std::uint32_t priority = 5;
    std::size_t body_bytes = 0;
};

/// What an upstream's headers say.
struct response_metadata {
    bool signed_by_upstream = false; ///< carries the upstream's signature
    std::string request;             ///< id of the request that it answers; empty if it names none
    bool not_executed = false;       ///< the upstream did not run the call
    bool has_load = false;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::optional<duration> idle_limit; ///< the connection is closed when idle for this long
};

/// The functions of an adapter. All are pure and may be called from any thread.
struct platform_adapter {
    call_metadata (*read_call)(const raw_request& received) = nullptr;
    /// Removes what belongs to one connection or to the system itself, and adds what the upstream is told.
    header_list (*make_upstream_headers)(const header_list& received,
                                         const upstream_metadata& facts) = nullptr;
    response_metadata (*read_response)(int status, const header_list& headers) = nullptr;
    /// @throw decode_error if the bytes are no plan.
    plan::service_plan (*decode_plan)(const std::string& document) = nullptr;
    /// Path of the balancer's health check.
    const char* readiness_path = "/healthz";
};

} // namespace guavawick::gateway
