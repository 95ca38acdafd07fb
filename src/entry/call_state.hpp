// State of a call that an entry is serving, and the steps of serving it.
#pragma once

#include "entry/answer_writer.hpp"
#include "entry/call_flow.hpp"
#include "ledger/ledger_func.hpp"

namespace guavawick::wire {
class close_call_request;
class open_call_reply;
class open_call_request;
} // namespace guavawick::wire

namespace guavawick::entry {

constexpr duration initial_backoff = 20ms;
constexpr duration max_backoff = 1s;
constexpr duration close_timeout = 20s; ///< for the ledger to record the end of a call
constexpr std::uint64_t default_expected_tokens =
    256; ///< expected length of an answer if the caller sets no limit

/// Outcome of an attempt as far as the entry knows it. A lost attempt may have run.
enum class attempt_outcome : std::uint8_t { finished, not_started, lost };

/// Outcome of an attempt and, unless it finished, its error.
struct attempt_result {
    attempt_outcome outcome = attempt_outcome::lost;
    failure error = failure::none;
    std::uint32_t retry_after_ms = 0;
};

/// A call in progress. Owned by the coroutine that serves its request.
struct active_call {
    call_context& context;
    call_request request;
    response_writer writer;
    program_name root;           ///< program whose ledger shard holds the call's program, empty until known
    attempt_id replaced_attempt; ///< attempt that will not run any more and that the next one replaces
    bool suspect = false;        ///< the request may be the cause of a loss of an upstream
    bool is_open = false;        ///< the ledger has recorded the call as open
    ledger::call_assignment assignment; ///< attempt that the ledger granted, and its upstream
    time_point deadline{};              ///< the call must start before this
    duration backoff = initial_backoff;
    std::vector<std::string>
        refused_upstreams; ///< names of upstreams that refused the call and are not tried again at once
    std::uint32_t lost_attempts = 0; ///< lost attempts that may have run

    active_call(call_context& shared_context, call_request call_details, http::responder& out)
        : context(shared_context), request(std::move(call_details)),
          writer(out, request.stream, request.chat.include_usage, request.request_id)
    {
    }

    [[nodiscard]] bool is_service() const
    {
        return request.route.kind == configuration::service_kind::service;
    }
    /// @return the key of the call's program in the shared tables.
    [[nodiscard]] std::string program_key() const
    {
        return request.organisation.name.value + "/" + request.program.value;
    }
    /// @return the number of the group that owns the ledger shard of the call's program.
    [[nodiscard]] std::uint32_t ledger_group() const
    {
        const program_name& owner = root.empty() ? request.program : root;
        return ledger::shard_of(request.organisation.name, owner, context.shard_count) + 1;
    }
};

/// Upstreams that are eligible for a call. The ledger chooses among them, as it knows where the history is
/// cached.
struct upstream_selection {
    std::vector<routing::candidate> candidates;
    std::size_t preferred = 0; ///< index of the entry's own choice
    routing::routing_request routing_request;
};

// Selection of upstreams (call_upstream.cpp).

/// @return the tokens of its program's budget that the call reserves.
std::uint64_t reserved_tokens(const active_call& call);
/// Finds the upstreams that are eligible for the call, and waits while there is none.
/// @throw refusal_error at the call's deadline, if the configuration is out of date or if the request is
/// quarantined.
boost::asio::awaitable<upstream_selection> find_upstreams(active_call& call);
/// Adds the upstreams with their expected times, which the ledger compares with the time that a cached
/// history saves.
void add_choices(const upstream_selection& selection, wire::open_call_request* request);

// Messages to the program's ledger shard (call_ledger.cpp).

/// Finds the root program whose ledger shard holds the call's program. For a new sub-agent this is the root
/// of its parent, which is recorded in the ledger. @throw refusal_error if the parent is unknown.
boost::asio::awaitable<void> resolve_root(active_call& call);
/// Sends one request to open the call. @return whether the attempt `call.assignment` must be run or joined;
/// otherwise the reply holds a stored answer, or the request must be sent again.
/// @throw refusal_error if the ledger refuses the call.
boost::asio::awaitable<bool> open_call(active_call& call, wire::envelope_ptr& reply);
/// Creates a request to close the call; the caller adds tokens and answer.
wire::close_call_request make_close_request(const active_call& call, ledger::call_outcome outcome);
/// Records the call's end in the ledger, then notifies the sidecar that it may forget the attempt.
/// @return false if the ledger had already recorded another end.
/// @throw refusal_error if the ledger can't be reached or refuses the request.
boost::asio::awaitable<bool> close_call(active_call& call, wire::close_call_request body);
/// @return the messages of the stored history in the ledger's reply, as JSON texts.
std::vector<std::string> extract_history(const wire::open_call_reply& reply);

// Messages to the upstream's sidecar (call_run.cpp).

/// @return a request to run the assigned attempt, or to join it if it already runs.
/// @param attained_tokens tokens that the program has been served so far, for the sidecar's queue.
/// @param join_only the sidecar must not start the attempt.
wire::envelope make_run_request(const active_call& call, const std::vector<std::string>& history,
                                std::uint64_t attained_tokens, bool join_only);
/// Runs the attempt at its sidecar and passes the response's chunks to the caller.
boost::asio::awaitable<attempt_result> run_attempt(active_call& call, wire::envelope request);
/// @return whether the upstream's incarnation of the attempt is known to be gone.
bool is_upstream_gone(const active_call& call);
/// Requests the sidecar to ensure that the attempt never starts. @return whether the sidecar confirmed it.
boost::asio::awaitable<bool> tombstone_attempt(active_call& call);
/// Notifies the sidecar that the attempt's result is no longer needed.
void cancel_attempt(active_call& call);
/// Waits before the next attempt: exponential backoff with jitter.
boost::asio::awaitable<void> back_off(active_call& call);

} // namespace guavawick::entry
