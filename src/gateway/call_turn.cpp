// Requests of a call to the ledger, which open and close its turn.
#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "core/content_gate.hpp"
#include "core/fleet_state.hpp"
#include "gateway/call_run.hpp"
#include "turns/turn_func.hpp"
#include "wire.pb.h"

namespace guavawick::gateway {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

constexpr duration ledger_timeout = 2500ms;     ///< a new leader of a ledger group is elected within 2 s
constexpr duration min_close_timeout = 500ms;   ///< for a stream that ends just before the call's deadline
constexpr duration ledger_poll_interval = 20ms; ///< at which a waiting call checks for the ledger groups
constexpr duration ledger_retry_after = 300ms;  ///< a ledger group needs about this long for a new leader

/// @return a hash of the call's program and its organisation.
std::uint64_t hash_program(const active_call& call)
{
    const std::string organisation = call.organisation != nullptr ? call.organisation->name.value : "";
    return hash_bytes(organisation + "\n" + call.metadata.program.value);
}

/// Appends the contents of a long history that are missing in the reply to the opening.
/// @param first index of the first missing content. @param total number of contents.
/// @throw link_error if the ledger did not send them before the call's deadline.
asio::awaitable<void> fetch_history(std::shared_ptr<active_call> call, std::uint32_t first,
                                    std::uint32_t total)
{
    while (first < total) {
        wire::envelope request;
        wire::history_query* query = request.mutable_history_query();
        query->set_organisation(call->organisation != nullptr ? call->organisation->name.value : "");
        query->set_last(call->metadata.previous_turn.value);
        query->set_first(first);
        const duration time_left = call->deadline - runtime_clock::now();
        const wire::envelope_ptr reply = co_await call_ledger(call, std::move(request), time_left);
        const wire::history_part& part = reply->history_part();
        if (part.busy()) {
            co_await runtime::wait_for(ledger_poll_interval);
            continue;
        }
        if (part.contents() == 0) {
            throw link_error("the ledger no longer has the history");
        }
        call->history += part.bytes();
        first += part.contents();
    }
}

} // namespace

asio::awaitable<wire::envelope_ptr> call_ledger(std::shared_ptr<active_call> call, wire::envelope request,
                                                duration timeout, ledger_call_mode mode, bool* was_resent)
{
    const gateway_state& state = *call->context.state;
    const organisation_name organisation =
        call->organisation != nullptr ? call->organisation->name : organisation_name{};
    const time_point deadline = runtime_clock::now() + timeout;
    const bool groups_known = co_await await_ledger_groups(call, deadline);
    const std::optional<std::uint32_t> group = core::ledger_group_of(organisation, state.ledger_group_count);
    if (!groups_known || !group) {
        throw link_error("the ledger groups are not known from control yet");
    }
    dependency& ledger_group = call->context.state->ledger_dependencies
                                   .try_emplace(*group, dependency{"ledger group " + std::to_string(*group)})
                                   .first->second;
    try {
        wire::group_client& client = *call->context.ledger_client;
        const duration time_left = deadline - runtime_clock::now();
        const duration hold_time = mode == ledger_call_mode::hold ? time_left : duration{};
        wire::envelope_ptr reply;
        if (mode == ledger_call_mode::once) {
            reply = co_await client.call_once(*group, std::move(request), time_left);
        }
        else {
            reply = co_await client.call(*group, std::move(request), time_left, hold_time, was_resent);
        }
        record_reply(ledger_group, runtime_clock::now());
        co_return reply;
    }
    catch (const link_error& error) {
        record_outage(ledger_group, error.what(), runtime_clock::now());
        throw;
    }
}

std::string history_key(const active_call& call, const request_name& turn)
{
    return make_history_key(call.organisation != nullptr ? call.organisation->name.value : "", turn.value);
}

bool is_budget_known_spent(const active_call& call)
{
    return call.metadata.budget_tokens > 0 && call.route->kind == plan::call_kind::streaming &&
           known_spent_tokens(call.context.state->budgets, hash_program(call)) >= call.metadata.budget_tokens;
}

asio::awaitable<bool> await_ledger_groups(std::shared_ptr<active_call> call, time_point deadline)
{
    const gateway_state& state = *call->context.state;
    while (state.ledger_group_count == 0 && runtime_clock::now() < deadline) {
        co_await runtime::wait_for(ledger_poll_interval);
    }
    co_return state.ledger_group_count > 0;
}

asio::awaitable<refusal> open_turn(std::shared_ptr<active_call> call)
{
    wire::envelope request;
    wire::open_turn* body = request.mutable_open_turn();
    body->set_organisation(call->organisation != nullptr ? call->organisation->name.value : "");
    body->set_request(call->metadata.request.value);
    body->set_program(call->metadata.program.value);
    body->set_budget_tokens(call->metadata.budget_tokens);
    body->set_most_tokens(call->metadata.max_tokens);
    body->set_line(call->metadata.line);
    std::string cached_history;
    if (call->route->keeps_turns) {
        if (call->request.body.size() > core::max_inline_content) {
            body->set_content_bytes(call->request.body.size());
        }
        body->set_previous(call->metadata.previous_turn.value);
        if (const std::string* cached = find_history(call->context.state->histories,
                                                     history_key(*call, call->metadata.previous_turn))) {
            cached_history = *cached;
            body->set_has_history(true);
        }
        body->set_accepts_history_parts(true);
    }
    if (takes_up_stream(*call)) {
        body->set_resumes(call->metadata.resumed_request.value);
    }
    else if (call->route->resumable) {
        call->recorded_version = find_only_version(*call, true);
        if (call->recorded_version) {
            body->mutable_origin()->set_service(call->service.value);
            body->mutable_origin()->set_version(*call->recorded_version);
        }
    }
    const duration time_left = call->deadline - runtime_clock::now();
    body->set_run_timeout_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(to_ms(time_left), 1)));
    std::string failure_reason;
    wire::envelope_ptr reply;
    bool was_resent = false;
    try {
        reply =
            co_await call_ledger(call, std::move(request), std::min<duration>(time_left / 2, ledger_timeout),
                                 ledger_call_mode::prompt, &was_resent);
    }
    catch (const link_error& error) {
        failure_reason = error.what();
    }
    call->may_be_open = call->may_be_open || !reply || was_resent;
    if (!reply || !reply->has_turn_opened()) {
        std::vector<event_field> fields = call_fields(*call);
        const bool overloaded = reply && reply->has_refused();
        fields.push_back({"reason", overloaded ? "the ledger is overloaded" : failure_reason});
        log_event(event::attempt_failed, fields);
        co_return refusal{503, "the ledger does not answer", ledger_retry_after};
    }
    const wire::open_turn_reply& opened = reply->turn_opened();
    const auto outcome = static_cast<turns::open_outcome>(opened.outcome());
    if (outcome == turns::open_outcome::budget_spent) {
        record_spent_tokens(call->context.state->budgets, hash_program(*call), opened.spent(),
                            runtime_clock::now());
        co_return refusal{402, "the program's budget is spent", {}};
    }
    if (outcome == turns::open_outcome::unknown_turn) {
        co_return refusal{404, "no such turn", {}};
    }
    if (outcome == turns::open_outcome::closed) {
        co_return refusal{503, "the turn has been closed", ledger_retry_after};
    }
    call->may_be_open = true;
    call->history = opened.history().empty() ? cached_history : opened.history();
    if (opened.history_contents() > opened.history_sent()) {
        try {
            co_await fetch_history(call, opened.history_sent(), opened.history_contents());
        }
        catch (const link_error& error) {
            failure_reason = error.what();
        }
        if (!failure_reason.empty()) {
            std::vector<event_field> fields = call_fields(*call);
            fields.push_back({"reason", failure_reason});
            log_event(event::attempt_failed, fields);
            co_return refusal{503, "the ledger does not answer", ledger_retry_after};
        }
    }
    if (opened.spent() > 0 || opened.reserved() > 0) {
        call->starts_program = false; // other gateways have served turns of the program
    }
    call->warm_instance = opened.upstream();
    if (opened.has_origin()) {
        call->origin = turns::from_wire(opened.origin());
    }
    call->ledger_takes_offers = opened.takes_offers();
    co_return refusal{0, "", {}};
}

namespace {

wire::envelope make_close_request(const active_call& call, bool completed, duration time_left)
{
    const auto service = call.plan->plan.services.find(call.service);
    const bool has_model = service != call.plan->plan.services.end() && service->second.model.has_value();
    const std::uint64_t tokens_per_event = has_model ? service->second.model->tokens_per_event : 1;
    wire::envelope request;
    wire::close_turn* body = request.mutable_close_turn();
    body->set_organisation(call.organisation != nullptr ? call.organisation->name.value : "");
    body->set_request(call.metadata.request.value);
    body->set_program(call.metadata.budget_tokens > 0 ? call.metadata.program.value : "");
    body->set_used_tokens(call.event_count * tokens_per_event);
    body->set_upstream(call.serving_instance);
    body->set_line(call.metadata.line);
    if (completed) {
        body->set_keep(true);
        body->set_previous(call.metadata.previous_turn.value);
        body->set_input(call.request.body);
        body->set_output(call.output);
        // The retention counts from the end of the response, which arrives by the call's deadline. A call
        // that continues the turn may wait for as long as the route allows before its turn is opened.
        const duration wait_allowance = std::max<duration>(time_left, {}) + call.route->timeout;
        body->set_retention_ms(static_cast<std::uint64_t>(to_ms(call.route->retention + wait_allowance)));
    }
    return request;
}

/// Waits until the ledger takes the content of a turn. @throw link_error as call_ledger().
asio::awaitable<core::offer_outcome> offer_content(std::shared_ptr<active_call> call, std::size_t bytes,
                                                   duration timeout)
{
    wire::envelope request;
    wire::content_offer* offer = request.mutable_content_offer();
    offer->set_organisation(call->organisation != nullptr ? call->organisation->name.value : "");
    offer->set_request(call->metadata.request.value);
    offer->set_bytes(bytes);
    offer->set_timeout_ms(static_cast<std::uint64_t>(to_ms(timeout)));
    const wire::envelope_ptr reply =
        co_await call_ledger(call, std::move(request), timeout, ledger_call_mode::hold);
    co_return reply->has_content_offered()
        ? static_cast<core::offer_outcome>(reply->content_offered().outcome())
        : core::offer_outcome::refused;
}

/// @return why the ledger did not commit a close request, nullptr if it did.
const char* find_close_refusal(const wire::envelope& reply)
{
    if (reply.has_done()) {
        return nullptr;
    }
    if (!reply.has_refused()) {
        return "the ledger's reply does not fit the request";
    }
    return reply.refused().failure() == static_cast<std::uint32_t>(failure::not_found)
               ? "a turn that it continues from has expired"
               : "the ledger has no room for the turn";
}

/// Sends a close request with a large content. It is offered again if the leader changed meanwhile.
/// @return why the ledger did not commit it, nullptr if it did. @throw link_error if no leader took it in
/// time.
asio::awaitable<const char*> send_large_close(std::shared_ptr<active_call> call, wire::envelope request,
                                              duration timeout)
{
    const std::size_t bytes = request.close_turn().input().size() + request.close_turn().output().size();
    const time_point deadline = runtime_clock::now() + timeout;
    while (runtime_clock::now() < deadline) {
        const core::offer_outcome outcome =
            co_await offer_content(call, bytes, deadline - runtime_clock::now());
        if (outcome != core::offer_outcome::granted) {
            co_return outcome == core::offer_outcome::stored ? nullptr
                                                             : "the ledger had no room for the turn in time";
        }
        bool is_leader_lost = false;
        try {
            const wire::envelope_ptr reply =
                co_await call_ledger(call, request, deadline - runtime_clock::now(), ledger_call_mode::once);
            const bool has_no_room =
                reply->has_refused() &&
                reply->refused().failure() == static_cast<std::uint32_t>(failure::overloaded);
            if (!has_no_room) {
                co_return find_close_refusal(*reply);
            }
        }
        catch (const link_error&) {
            is_leader_lost = true; // logged by call_ledger() as an outage
        }
        if (is_leader_lost) {
            co_await runtime::wait_for(ledger_poll_interval);
        }
    }
    throw link_error("the ledger took no content before the deadline");
}

} // namespace

asio::awaitable<bool> close_turn(std::shared_ptr<active_call> call, bool completed)
{
    const duration time_left = call->deadline - runtime_clock::now();
    wire::envelope request = make_close_request(*call, completed, time_left);
    const bool is_large =
        call->ledger_takes_offers &&
        request.close_turn().input().size() + request.close_turn().output().size() > core::max_inline_content;
    // The caller waits for the ledger to confirm a completed turn. Once the caller has left, nobody needs the
    // turn.
    const duration timeout = completed ? std::max<duration>(time_left, min_close_timeout) : ledger_timeout;
    std::string failure_reason;
    try {
        const char* refusal_reason = nullptr;
        if (is_large) {
            refusal_reason = co_await send_large_close(call, std::move(request), timeout);
        }
        else {
            const wire::envelope_ptr reply = co_await call_ledger(call, std::move(request), timeout);
            refusal_reason = find_close_refusal(*reply);
        }
        if (refusal_reason == nullptr) {
            co_return true;
        }
        failure_reason = refusal_reason;
    }
    catch (const link_error& error) {
        failure_reason = error.what();
    }
    std::vector<event_field> fields = call_fields(*call);
    fields.push_back({"reason", failure_reason});
    log_event(event::turn_closed, fields);
    co_return false;
}

} // namespace guavawick::gateway
