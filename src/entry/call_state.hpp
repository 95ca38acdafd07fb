// One call on its way through an entry, and the steps that its flow is made of.
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

constexpr duration first_backoff = 20ms;
constexpr duration most_backoff = 1s;
constexpr duration close_limit = 20s;                ///< for the ledger to record an end
constexpr std::uint64_t default_answer_tokens = 256; ///< expected length where the caller names none

/// How an attempt came out, as far as this entry can tell.
enum class run_outcome : std::uint8_t { finished, not_started, lost };

struct run_result {
    run_outcome outcome = run_outcome::lost;
    failure why = failure::none;
    std::uint32_t retry_after_ms = 0;
};

/// One call on its way. Lives in the coroutine of its request.
struct call_flow {
    flow_context& context;
    call_plan plan;
    answer_writer writer;
    program_name root;   ///< where the program lives, once known
    attempt_id replaces; ///< settled attempt that the next one takes over from
    bool suspect = false;
    bool opened = false;           ///< the ledger has an open call of ours
    ledger::call_assignment bound; ///< the attempt that the ledger granted
    time_point deadline{};         ///< for the start of the call
    duration backoff = first_backoff;
    std::vector<std::string> tried; ///< upstreams that just refused
    std::uint32_t lost_tries = 0;   ///< attempts that were lost while they may have run

    call_flow(flow_context& shared, call_plan wanted, http::responder& out)
        : context(shared), plan(std::move(wanted)),
          writer(out, plan.stream, plan.chat.include_usage, plan.request_id)
    {
    }

    [[nodiscard]] bool is_service() const { return plan.route.kind == configuration::service_kind::service; }
    [[nodiscard]] std::string program_key() const
    {
        return plan.organisation.name.value + "/" + plan.program.value;
    }
    [[nodiscard]] std::uint32_t shard() const
    {
        const program_name& home = root.empty() ? plan.program : root;
        return ledger::shard_of(plan.organisation.name, home, context.shards) + 1;
    }
};

/// Upstreams that may take a call, and the one that it goes to unless the ledger knows better.
struct upstream_offer {
    std::vector<routing::candidate> candidates;
    std::size_t first_choice = 0;
    routing::routing_request wish;
};

// Choice of an upstream (call_upstream.cpp).

/// @return the tokens that the call sets aside of its program's budget.
std::uint64_t reserved_tokens(const call_flow& flow);
/// Lists the upstreams that may take the call, waiting while none will do. @throw refusal_error at the
/// deadline.
boost::asio::awaitable<upstream_offer> find_upstreams(call_flow& flow);
/// Adds what the ledger needs to weigh the upstreams against where the history is cached.
void add_choices(const upstream_offer& offer, wire::open_call_request* into);

// Talk with the program's ledger shard (call_ledger.cpp).

/// Finds the root of a sub-agent's parent and records that the sub-agent lives there.
boost::asio::awaitable<void> locate(call_flow& flow);
/// Opens the call once. @return whether an attempt is to be run, in `flow.bound`.
boost::asio::awaitable<bool> open(call_flow& flow, wire::envelope_ptr& reply);
/// Starts a report of how the bound attempt ended.
wire::close_call_request make_close(const call_flow& flow, ledger::call_outcome outcome);
/// Commits how the call ended, then lets the sidecar forget it. @return whether this attempt's report counts.
boost::asio::awaitable<bool> close(call_flow& flow, wire::close_call_request body);
/// @return the stored messages of a grant as JSON texts.
std::vector<std::string> history_of(const wire::open_call_reply& reply);

// Talk with the upstream's sidecar (call_run.cpp).

/// @return the order to run or to join the bound attempt.
wire::envelope make_run(const call_flow& flow, const std::vector<std::string>& history,
                        std::uint64_t attained, bool join_only);
/// Hands the attempt to the sidecar and its chunks to the caller.
boost::asio::awaitable<run_result> run(call_flow& flow, wire::envelope question);
/// Tells whether the upstream incarnation of the attempt is known to be gone.
bool is_gone(const call_flow& flow);
/// Asks the sidecar to make sure that the attempt never starts. @return whether it confirmed.
boost::asio::awaitable<bool> tombstone(call_flow& flow);
/// Tells the sidecar that nobody waits for the attempt any more.
void cancel(call_flow& flow);
/// Waits before the next try, longer each time.
boost::asio::awaitable<void> back_off(call_flow& flow);

} // namespace guavawick::entry
