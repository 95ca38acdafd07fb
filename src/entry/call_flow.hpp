// The way of one call through an entry: admission, rate, order, choice of upstream, run, close.
#pragma once

#include "caller/chat.hpp"
#include "configuration/configuration_func.hpp"
#include "entry/rate_gate.hpp"
#include "entry/shared_tables.hpp"
#include "http/http_type.hpp"
#include "wire/group_client.hpp"

#include <atomic>

namespace guavawick::entry {

/// What the flows of one entry share. Members outlive every flow.
struct flow_context {
    const entry_settings& settings;
    shared_tables& tables;
    rate_gate& rates;
    wire::link& links;
    wire::group_client& client;
    std::uint32_t shards = 1;
    std::atomic<std::uint64_t> turns{0};       ///< counts choices, for spreading
    std::atomic<std::int64_t> retry_credit{0}; ///< in hundredths of a retry; each call earns ten
};

/// Budget of retries: a tenth of the calls, and a few from the start.
constexpr std::int64_t retry_cost = 100;
constexpr std::int64_t retry_earned = 10;
constexpr std::int64_t most_retry_credit = 2000;

/// One admitted call.
struct call_plan {
    std::string request_id;
    configuration::organisation organisation;
    configuration::route route;
    configuration::budget budget;
    program_name program;
    program_name parent;
    bool ephemeral = false;
    bool keep_answer = false;    ///< the caller gave an Idempotency-Key
    request_name ledger_request; ///< the same for a resend
    body_hash body;
    bool stream = false;       ///< the caller wants server-sent events
    caller::chat_request chat; ///< models
    std::string method;        ///< services
    std::string path;
    std::string content_type;
    std::string service_body;
    time_point received_at{};
};

/// Serves one admitted call to its end. @throw refusal_error if it was refused before anything was sent to
/// the caller.
boost::asio::awaitable<void> serve_call(flow_context& context, call_plan plan, http::responder& out);

} // namespace guavawick::entry
