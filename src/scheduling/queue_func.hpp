// Decisions of a sidecar's queue. Pure; every operation is logarithmic in organisations and calls.
#pragma once

#include "scheduling/queue_type.hpp"

#include <vector>

namespace guavawick::scheduling {

/// Adds a call. @pre its attempt is not queued.
void push(call_queue& queue, const queued_call& call);
/// Takes the call that runs next, or nothing if the queue is empty.
std::optional<queued_call> pop(call_queue& queue);
/// Removes a call. @return whether it was queued.
bool remove(call_queue& queue, attempt_id attempt);
/// Removes calls whose deadline has passed, longest overdue first.
std::vector<queued_call> remove_expired(call_queue& queue, time_point now);
/// Corrects an organisation's account once the real work of a call is known.
void correct_charge(call_queue& queue, const organisation_name& who, double expected_tokens,
                    double real_tokens);

/// What one prefilled token costs in units of one generated token.
constexpr double prefill_token_cost = 0.05;

/// @return the expected work of a call in generated-token units.
double expected_cost(std::uint64_t prompt_tokens, std::uint64_t cached_tokens,
                     std::uint64_t generated_tokens);

} // namespace guavawick::scheduling
