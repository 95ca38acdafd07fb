// Interface between the gateway and a platform: how callers' requests are parsed and how requests to
// upstreams are built. The gateway itself contains no header names of a platform.
#pragma once

#include "base/id_type.hpp"
#include "plan/plan_type.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace guavawick::gateway {

/// Header fields in the order received, with the names spelled as received.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// @return the value of the first header with that name, empty if there is none.
/// @param name compared case-insensitively.
std::string find_header(const header_list& headers, std::string_view name);

/// A caller's request as received.
struct raw_request {
    std::string method;
    std::string target; ///< path and query
    header_list headers;
    std::string body;
};

/// A part of a prompt; placement uses it to find instances whose prompt cache holds that part.
struct prompt_part {
    std::string id;
    std::uint64_t tokens = 0;
};

/// The request headers of a call, parsed.
struct call_metadata {
    request_name request; ///< differs for each attempt that the caller makes
    std::string host;
    std::string path;                ///< without the query
    std::string api_key;             ///< empty if none was sent
    std::optional<duration> timeout; ///< how long the caller waits for the response
    program_name program;
    std::string line;                ///< sequence of turns within a program
    std::uint64_t budget_tokens = 0; ///< of the whole program; 0 if none was sent
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_tokens = 0;    ///< upper limit of tokens that this turn may generate
    std::vector<prompt_part> prompt; ///< in prompt order
    request_name previous_turn;
    std::optional<duration> finish_in;         ///< until the caller wants the whole program to be finished
    std::optional<std::uint64_t> resume_after; ///< id of the last event that the caller has received
    request_name resumed_request; ///< that got the first event of the stream that the call takes up; may be
                                  ///< empty
};

/// Values for the headers that the gateway adds to a request to an upstream.
struct upstream_metadata {
    std::string instance;                      ///< the only instance that may execute the call
    std::string organisation;                  ///< owner of the API key; empty on routes that need no key
    duration time_left{};                      ///< until the call's deadline
    std::optional<std::uint64_t> resume_after; ///< id of the last event that was forwarded to the caller
    std::optional<std::uint32_t> priority; ///< at the engine, 0 (first) to 9; none leaves it to the engine
    std::size_t body_bytes = 0;
};

/// The headers of an upstream's response, parsed.
struct response_metadata {
    bool signed_by_upstream = false; ///< has the upstream's signature header
    std::string request;             ///< id of the request that it answers; empty if the header is absent
    bool not_executed = false;       ///< the upstream did not execute the call
    bool leaving = false;            ///< the upstream takes no new calls; it is about to stop
    bool has_load = false;           ///< `running` and `waiting` are set
    std::uint32_t running = 0;       ///< calls that the upstream executes
    std::uint32_t waiting = 0;       ///< calls queued at the upstream
    /// How long work takes at the upstream at this moment; 100 is usual. Absent in older headers.
    std::optional<std::uint32_t> pace_percent;
    std::optional<duration> idle_timeout; ///< idle time after which the upstream closes the connection
};

/// Functions that a platform provides. Thread safety: all are pure and may be called from any thread.
struct platform_adapter {
    call_metadata (*read_call)(const raw_request& request) = nullptr;
    /// Drops hop-by-hop headers and those that only the system may set, and adds the headers for the
    /// upstream.
    header_list (*make_upstream_headers)(const header_list& request_headers,
                                         const upstream_metadata& metadata) = nullptr;
    response_metadata (*read_response)(int status, const header_list& headers) = nullptr;
    /// @throw decode_error if the document is not a valid plan.
    plan::service_plan (*decode_plan)(const std::string& document) = nullptr;
    /// Path of the load balancer's health check.
    const char* readiness_path = "/healthz";
};

} // namespace guavawick::gateway
