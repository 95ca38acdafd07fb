// Serving of a call: rate limit, order within the program, upstream selection, execution, close.
#pragma once

#include "caller/chat.hpp"
#include "configuration/configuration_func.hpp"
#include "entry/rate_gate.hpp"
#include "entry/shared_tables.hpp"
#include "http/http_type.hpp"
#include "wire/group_client.hpp"

#include <atomic>

namespace guavawick::entry {

/// State that all calls of an entry share. The referenced objects outlive every call.
struct call_context {
    const entry_settings& settings;
    shared_tables& tables;
    rate_limiter& limiter;
    wire::link& links;
    wire::group_client& client;
    std::uint32_t shard_count = 1;
    std::atomic<std::uint64_t> next_call_number{0}; ///< for policy `round_robin`
    std::atomic<std::int64_t> retry_credit{0};      ///< in hundredths of a retry
};

/// Retry budget in hundredths of a retry: one retry for ten calls, and 20 retries at the start.
constexpr std::int64_t retry_cost = 100;
constexpr std::int64_t retry_credit_per_call = 10;
constexpr std::int64_t max_retry_credit = 2000;

/// A caller's request after authentication and routing.
struct call_request {
    std::string request_id;
    configuration::organisation organisation;
    configuration::route route;
    configuration::budget budget;
    program_name program;
    program_name parent;
    bool ephemeral = false;
    bool keep_answer = false;       ///< the answer is stored, as the caller sent an Idempotency-Key
    request_name ledger_request_id; ///< idempotency key or random id
    body_hash request_hash;         ///< of organisation, method, path and body
    bool stream = false;            ///< the caller wants server-sent events
    caller::chat_request chat;      ///< only for models
    std::string method;             ///< only for services, like the members down to service_body
    std::string path;
    std::string content_type;
    std::string service_body;
    time_point received_at{};
};

/// Serves a call to its end and sends the response or the refusal to the caller. Refusals are not thrown.
boost::asio::awaitable<void> serve_call(call_context& context, call_request request, http::responder& out);

} // namespace guavawick::entry
