// Operations on a sidecar's queue. Pure functions; each is logarithmic in the number of organisations and
// calls.
#pragma once

#include "scheduling/queue_type.hpp"

#include <vector>

namespace guavawick::scheduling {

/// Adds a call. @pre its attempt is not queued.
void push(call_queue& queue, const queued_call& call);
/// Removes and returns the call that runs next, or nothing if the queue is empty.
std::optional<queued_call> pop(call_queue& queue);
/// Removes a call. @return whether it was queued.
bool remove(call_queue& queue, attempt_id attempt);
/// Removes the calls whose deadline has passed. @return the removed calls, earliest deadline first.
std::vector<queued_call> remove_expired(call_queue& queue, time_point now);
/// Replaces the expected work of a call by its actual work in the virtual time of its organisation.
void correct_charge(call_queue& queue, const organisation_name& organisation, double expected_tokens,
                    double actual_tokens);

/// Cost of one prefilled token, in units of one generated token.
constexpr double prefill_token_cost = 0.05;

/// @return the expected work of a call, in generated-token units.
double expected_cost(std::uint64_t prompt_tokens, std::uint64_t cached_tokens,
                     std::uint64_t generated_tokens);

} // namespace guavawick::scheduling
