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

/// @return the wish that a wire message holds.
open_request from_wire(const wire::open_call_request& from);
/// @return the upstreams that an entry offers.
std::vector<upstream_choice> choices_from_wire(const wire::open_call_request& from);
/// @return the report that a wire message holds.
close_request from_wire(const wire::close_call_request& from);
/// @return the answer that a wire message holds.
stored_answer from_wire(const wire::stored_answer& from);
/// Fills a wire message from a result.
void to_wire(const open_result& from, wire::open_call_reply* into);
/// Fills a wire message from an answer.
void to_wire(const stored_answer& from, wire::stored_answer* into);
/// Fills a wire message from limits.
void to_wire(const budget_limits& from, wire::budget_limits* into);

} // namespace guavawick::ledger
