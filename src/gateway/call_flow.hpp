// Handling of one call by the gateway: admission, ledger, placement, attempts and response.
#pragma once

#include "gateway/gateway_process.hpp"

namespace guavawick::gateway {

/// What all calls of a gateway share. @pre the objects outlive every call.
struct call_context {
    std::shared_ptr<gateway_state> state;
    wire::group_client* ledger_client = nullptr;
    wire::link* link = nullptr;
};

/// Sends a report to all known control replicas.
void send_to_control(const call_context& context, const wire::envelope& report);
/// @return the handler of callers' requests.
call_handler make_call_handler(call_context context);

} // namespace guavawick::gateway
