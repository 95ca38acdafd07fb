// How calls end: one log line and one count for each call that was opened.
#include "base/event_type.hpp"
#include "gateway/call_run.hpp"

namespace guavawick::gateway {

namespace {

event event_of(call_end how)
{
    switch (how) {
    case call_end::answered:
        return event::call_answered;
    case call_end::refused:
        return event::call_refused;
    case call_end::failed:
        return event::call_failed;
    default:
        return event::caller_left;
    }
}

cut_cause cause_of(departure left)
{
    switch (left) {
    case departure::caller_closed:
        return cut_cause::caller_closed;
    case departure::write_failed:
        return cut_cause::write_failed;
    case departure::aborted:
        return cut_cause::reset;
    case departure::none:
        break;
    }
    return cut_cause::unfinished;
}

} // namespace

const char* describe(cut_cause cause)
{
    switch (cause) {
    case cut_cause::caller_closed:
        return "the caller closed the connection";
    case cut_cause::write_failed:
        return "the connection takes no bytes";
    case cut_cause::reset:
        return "the gateway reset the connection";
    case cut_cause::stopped:
        return "the gateway stopped";
    case cut_cause::stream_broke_off:
        return "the stream broke off";
    case cut_cause::turn_not_confirmed:
        return "the ledger did not confirm the turn";
    case cut_cause::unfinished:
        break;
    }
    return "no response was completed";
}

const char* label_of(cut_cause cause)
{
    switch (cause) {
    case cut_cause::caller_closed:
        return "caller_closed";
    case cut_cause::write_failed:
        return "write_failed";
    case cut_cause::reset:
        return "reset";
    case cut_cause::stopped:
        return "stopped";
    case cut_cause::stream_broke_off:
        return "stream_broke_off";
    case cut_cause::turn_not_confirmed:
        return "turn_not_confirmed";
    case cut_cause::unfinished:
        break;
    }
    return "unfinished";
}

void record_end(active_call& call, call_end how, const std::vector<event_field>& details)
{
    if (call.end != call_end::none) {
        return;
    }
    call.end = how;
    gateway_counters& counters = call.context.state->counters;
    if (call.opened) {
        counters.ended.at(static_cast<std::size_t>(how)).fetch_add(1);
    }
    std::vector<event_field> fields = call_fields(call);
    fields.insert(fields.end(), details.begin(), details.end());
    log_event(event_of(how), fields);
}

void record_cut(active_call& call, cut_cause cause, const std::vector<event_field>& details)
{
    if (call.end != call_end::none) {
        return;
    }
    if (call.attempts > 0) { // otherwise no upstream has received it
        call.context.state->counters.cut.at(static_cast<std::size_t>(cause)).fetch_add(1);
    }
    const bool failed = cause == cut_cause::stream_broke_off || cause == cut_cause::turn_not_confirmed;
    std::vector<event_field> fields{{failed ? "reason" : "cause", describe(cause)},
                                    {"draining", call.context.state->draining ? "yes" : "no"}};
    fields.insert(fields.end(), details.begin(), details.end());
    record_end(call, failed ? call_end::failed : call_end::caller_left, fields);
}

void record_response(active_call& call, call_end how, const std::vector<event_field>& details)
{
    if (call.response.caller_left()) {
        record_cut(call, cause_of(call.response.left()), details);
        return;
    }
    record_end(call, how, details);
}

void record_stopped_calls(gateway_state& state)
{
    for (active_call* call : state.running_calls) {
        record_cut(*call, cut_cause::stopped, {});
    }
}

running_call::running_call(std::shared_ptr<active_call> call) : call_(std::move(call))
{
    call_->opened = true;
    call_->context.state->running_calls.insert(call_.get());
    call_->context.state->counters.opened.fetch_add(1);
}

running_call::~running_call()
{
    record_cut(*call_, cause_of(call_->response.left()), {});
    call_->context.state->running_calls.erase(call_.get());
}

} // namespace guavawick::gateway
