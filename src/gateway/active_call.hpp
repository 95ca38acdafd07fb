// One call while it runs: its facts, its deadline and what was passed on so far.
#pragma once

#include "gateway/call_flow.hpp"
#include "gateway/event_stream.hpp"

#include <boost/asio/basic_waitable_timer.hpp>

namespace guavawick::gateway {

/// Why a call is refused without having run.
struct refusal {
    int status = 503;
    const char* reason = ""; ///< for logs and the body
    duration retry_after{};  ///< 0: nothing is promised
};

/// Why a connection to an upstream was closed by this entry.
enum class stop_reason : std::uint8_t { none, caller_left, deadline };

/// An upstream's answer that was read whole.
struct upstream_answer {
    answer_head head;
    std::string body;
};

/// State of one call.
struct call_run {
    call_run(call_context shared, raw_request& from, answer_port& to)
        : context(std::move(shared)), received(from), port(to)
    {
    }

    call_context context;
    raw_request& received;
    answer_port& port;
    call_metadata facts;
    std::shared_ptr<const plan::indexed_plan> plan; ///< the plan that admitted it
    const plan::route* route = nullptr;
    const plan::organisation* organisation = nullptr;
    plan::service_name service;
    time_point begun{};
    time_point deadline{};
    std::uint64_t request_hash = 0; ///< of organisation, path and body
    bool is_turn = false;           ///< the ledger was asked
    std::string history;            ///< goes before the body
    std::string warm_instance;      ///< where the previous turn ran

    std::uint32_t attempts = 0; ///< upstreams that may have run it
    std::set<std::string> tried;
    connection_ptr current; ///< the attempt in hand
    stop_reason stopped = stop_reason::none;

    bool head_sent = false;                  ///< the answer of the first upstream was begun
    std::uint64_t events = 0;                ///< events passed on
    std::optional<std::uint64_t> last_event; ///< id of the newest one
    std::string output;                      ///< their data, where the turn is kept
    std::string ran_at;                      ///< instance that answered
    std::optional<upstream_answer> spare; ///< a failure of an upstream, passed on if no attempt does better
};

/// How one attempt ended.
enum class attempt_end : std::uint8_t {
    answered,     ///< the caller has its answer, or will not get one
    not_executed, ///< the upstream said so, or nothing was sent
    maybe_run,    ///< broken off before anything was passed on
    stream_broken ///< broken off after events were passed on
};

/// Runs one attempt. @param to where it goes.
boost::asio::awaitable<attempt_end> run_attempt(std::shared_ptr<call_run> run,
                                                const directory::instance_record& to);
/// Sends the caller an answer that was read whole.
boost::asio::awaitable<void> pass_answer(std::shared_ptr<call_run> run, upstream_answer answer);
/// Waits until control told this entry of the ledger groups. @return false if that did not happen in time.
boost::asio::awaitable<bool> await_ledgers(std::shared_ptr<call_run> run, time_point deadline);
/// Asks the ledger whether a turn may run. @return a refusal with status 0 if it may.
boost::asio::awaitable<refusal> open_turn(std::shared_ptr<call_run> run);
/// Tells the ledger how a turn ended. @return whether it is committed.
boost::asio::awaitable<bool> close_turn(std::shared_ptr<call_run> run, bool whole);
/// @return a short name of a call's outcome for logs.
std::vector<event_field> call_fields(const call_run& run);

} // namespace guavawick::gateway
