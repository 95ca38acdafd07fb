// Conversions between the ledger's structs and wire messages.
#pragma once

#include "ledger/ledger_type.hpp"

namespace guavawick::wire {
class open_call_request;
class open_call_reply;
class close_call_request;
class stored_answer;
class budget_limits;
} // namespace guavawick::wire

namespace guavawick::ledger {

/// Converts a request to open a call.
open_request from_wire(const wire::open_call_request& from);
/// @return the upstreams that an entry offers in its request to open a call.
std::vector<upstream_choice> choices_from_wire(const wire::open_call_request& from);
/// Converts a report of how an attempt ended.
close_request from_wire(const wire::close_call_request& from);
/// Converts a stored answer.
stored_answer from_wire(const wire::stored_answer& from);
/// Fills the reply to a request to open a call.
void to_wire(const open_result& from, wire::open_call_reply* into);
/// Fills a wire message from a stored answer.
void to_wire(const stored_answer& from, wire::stored_answer* into);
/// Fills a wire message from a program's limits.
void to_wire(const budget_limits& from, wire::budget_limits* into);

} // namespace guavawick::ledger
