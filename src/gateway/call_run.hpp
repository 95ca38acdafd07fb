// State of a call in progress, and the functions that advance it.
#pragma once

#include "base/event_type.hpp"
#include "gateway/call_flow.hpp"
#include "gateway/event_stream.hpp"
#include "queueing/urgency_func.hpp"
#include "turns/turn_type.hpp"

#include <boost/asio/basic_waitable_timer.hpp>

namespace guavawick::gateway {

constexpr int misdirected_status = 421; ///< another instance has the address and did not execute the call

/// Response of the gateway's own when a call is refused or fails. Status 0 stands for no refusal.
struct refusal {
    int status = 503;
    const char* reason = ""; ///< for the log and the response body
    duration retry_after{};  ///< 0: the response has no Retry-After header
};

/// Why the gateway closed the connection to an upstream during a call.
enum class cancel_reason : std::uint8_t { none, caller_left, deadline };

/// An upstream's response, read completely.
struct upstream_response {
    response_head head;
    std::string body;
};

/// State of one call.
struct active_call {
    active_call(call_context shared_context, raw_request& caller_request, responder& caller_response)
        : context(std::move(shared_context)), request(caller_request), response(caller_response)
    {
    }

    call_context context;
    raw_request& request;
    responder& response;
    call_metadata metadata;
    std::shared_ptr<const plan::indexed_plan> plan; ///< the version under which the call was admitted
    const plan::route* route = nullptr;
    const plan::organisation* organisation = nullptr; ///< nullptr for a call without an API key
    plan::service_name service;
    time_point started_at{};
    time_point deadline{};
    std::uint64_t request_hash = 0;   ///< of organisation, target and body
    bool starts_program = false;      ///< the first turn of a program, as far as this gateway knows
    bool is_turn = false;             ///< the ledger keeps account of the call
    bool may_be_open = false;         ///< the ledger may have opened the turn, also without confirming it
    std::string history;              ///< bytes of the previous turns, sent in front of the body
    bool ledger_takes_offers = false; ///< a large content is offered before it is sent
    std::string warm_instance;        ///< instance that ran the previous turn; empty if unknown

    bool opened = false; ///< admitted: exactly one end is logged
    call_end end = call_end::none;

    std::uint32_t attempts = 0; ///< attempts that an upstream may have executed
    std::set<std::string> tried_instances;
    connection_ptr current_connection; ///< of the attempt in progress
    cancel_reason cancellation = cancel_reason::none;

    bool head_sent = false;                     ///< a streamed response to the caller has been started
    std::uint64_t event_count = 0;              ///< events forwarded to the caller
    std::optional<std::uint64_t> last_event_id; ///< of the last event forwarded
    std::string output;                         ///< data of the forwarded events, if the route keeps turns
    std::string serving_instance;               ///< instance of the last attempt
    /// Software version whose events the stream holds. The events of two versions can't be joined.
    std::optional<std::string> stream_version;
    std::optional<std::string> recorded_version; ///< that the ledger has for the stream that this call began
    bool origin_uncertain = false;               ///< the ledger may have another version than that
    std::optional<turns::stream_origin> origin;  ///< of the stream that the call takes up, from the ledger
    std::optional<upstream_response>
        fallback_response; ///< an upstream's error response, forwarded if no other attempt succeeds
};

/// How an attempt ended.
enum class attempt_result : std::uint8_t {
    finished,          ///< the response to the caller is complete or was aborted; no further attempt
    not_executed,      ///< the upstream said so, or nothing was sent to it
    maybe_executed,    ///< failed before anything was forwarded to the caller
    stream_interrupted ///< failed after events were forwarded to the caller
};

/// @return what decides about the urgency of an admitted call at this time.
queueing::urgency_inputs make_urgency(const active_call& call, time_point now);
/// Chooses the instance for the next attempt.
/// @return a copy of its record; the id is empty if no instance is available.
directory::instance_record choose_instance(active_call& call);
/// Runs one attempt of a call. @param instance where the attempt is sent.
boost::asio::awaitable<attempt_result> run_attempt(std::shared_ptr<active_call> call,
                                                   const directory::instance_record& instance);
/// Marks the instance that sent an answer as leaving, if the answer says so, and reports that to control.
/// Only answers with the id of a request that was sent to the instance count: other bytes may come from
/// anywhere.
void note_leaving(const call_context& context, const directory::instance_record& target,
                  const response_head& head);
/// Sends the caller a response that was read completely.
boost::asio::awaitable<void> forward_response(std::shared_ptr<active_call> call, upstream_response response);
/// How a request to the ledger is answered.
enum class ledger_call_mode : std::uint8_t { prompt, hold, once };

/// Sends a request to the ledger group of the call's organisation. Shortly after the gateway's start it first
/// waits until the groups are known from control.
/// @param mode `hold` if the leader answers when it can, `once` for a large request.
/// @param was_resent as for group_client::call(); not set with the mode `once`.
/// @throw link_error if the groups stayed unknown or no leader replied within the timeout.
boost::asio::awaitable<wire::envelope_ptr> call_ledger(std::shared_ptr<active_call> call,
                                                       wire::envelope request, duration timeout,
                                                       ledger_call_mode mode = ledger_call_mode::prompt,
                                                       bool* was_resent = nullptr);
/// Waits until the number of ledger groups is known from control.
/// @return false if the deadline passed first.
boost::asio::awaitable<bool> await_ledger_groups(std::shared_ptr<active_call> call, time_point deadline);
/// @return whether the ledger has already reported to this gateway that the program's budget is spent. Such a
/// turn needs neither a rate token nor the ledger; a program that loops would otherwise hold tokens that
/// other programs of its organisation wait for.
bool is_budget_known_spent(const active_call& call);
/// Opens the call's turn in the ledger, which checks the program's budget and finds the previous turn. Sets
/// `may_be_open` unless the ledger certainly refused to open it.
/// @return a refusal with status 0 if the call may proceed.
boost::asio::awaitable<refusal> open_turn(std::shared_ptr<active_call> call);
/// @return whether the call continues a stream that another request began.
bool takes_up_stream(const active_call& call);
/// @param serving_only false to include instances that leave or are gone.
/// @return the software version of all instances of the call's service, or nothing if they differ.
std::optional<std::string> find_only_version(const active_call& call, bool serving_only);
/// Opens the turn of a call that takes up a stream. Asks again if the ledger doesn't know the stream yet,
/// since the record of a stream that has just begun may be on its way.
/// @return a refusal with status 0 if the call may proceed.
boost::asio::awaitable<refusal> open_taken_up_turn(std::shared_ptr<active_call> call);
/// Restricts a call that takes up a stream to the service and the version that began it.
/// @return a refusal with status 0 if the call may proceed.
refusal bind_to_origin(active_call& call);
/// Prepares for the first event of an attempt at a stream that may be taken up: binds the stream to the
/// instance's version and has the ledger record it, if it doesn't have it yet.
/// @param target as it was known when the attempt began.
/// @return nullptr if the event may be forwarded, otherwise the reason why not.
boost::asio::awaitable<const char*> bind_first_event(std::shared_ptr<active_call> call,
                                                     directory::instance_record target);
/// Closes the call's turn in the ledger. @param completed keeps the turn, so that another can continue it.
/// @return whether the ledger committed it.
boost::asio::awaitable<bool> close_turn(std::shared_ptr<active_call> call, bool completed);
/// @return the key of one of the organisation's turns in the cache of histories.
std::string history_key(const active_call& call, const request_name& turn);
/// @return what an operator reads of a cause.
const char* describe(cut_cause cause);
/// @return the metric label of a cause.
const char* label_of(cut_cause cause);
/// Logs and counts how a call ended. Only the first end counts. @param details appended to the call's fields.
void record_end(active_call& call, call_end how, const std::vector<event_field>& details);
/// Logs and counts that the caller gets no complete response. Only the first end counts.
void record_cut(active_call& call, cut_cause cause, const std::vector<event_field>& details);
/// Records a response that was written: as `how` if the caller took all of it, otherwise as cut.
void record_response(active_call& call, call_end how, const std::vector<event_field>& details);
/// Ends the calls that run when a planned stop leaves no more time, so that they get a complete response. A
/// response that has begun goes on.
void end_running_calls(gateway_state& state);
/// Records the calls that run when the process ends.
void record_stopped_calls(gateway_state& state);

/// Registers a call as opened; its end is recorded at the latest when this is destroyed.
/// Thread safety: the gateway's thread.
class running_call {
public:
    /// @pre the call's response outlives this object.
    explicit running_call(std::shared_ptr<active_call> call);
    ~running_call();
    running_call(const running_call&) = delete;
    running_call& operator=(const running_call&) = delete;

private:
    std::shared_ptr<active_call> call_;
};

/// @return the event fields that identify a call and its progress in log lines.
std::vector<event_field> call_fields(const active_call& call);

} // namespace guavawick::gateway
