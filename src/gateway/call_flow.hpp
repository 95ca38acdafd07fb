// The way of one call through an entry: admission, ledger, placing, attempts, answer.
#pragma once

#include "gateway/gateway_process.hpp"

namespace guavawick::gateway {

/// What the calls of an entry use. @pre everything outlives the calls.
struct call_context {
    std::shared_ptr<gateway_state> state;
    wire::group_client* ledger = nullptr;
    wire::link* links = nullptr;
};

/// @return the handler of callers' requests.
call_handler make_call_handler(call_context context);

} // namespace guavawick::gateway
