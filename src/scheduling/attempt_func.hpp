// Decisions of a sidecar's attempt table. Pure.
#pragma once

#include "scheduling/attempt_type.hpp"

#include <vector>

namespace guavawick::scheduling {

/// Decides about an offered attempt. A refused one is tombstoned: a delayed duplicate never starts it.
offer_result offer_attempt(attempt_table& table, const attempt_offer& wish);
/// Notes that a queued attempt was handed to the upstream. @pre it is queued.
void mark_running(attempt_table& table, attempt_id attempt);
/// Notes that an attempt ended. @pre it runs.
void mark_finished(attempt_table& table, attempt_id attempt);
/// Forgets a finished attempt whose end the ledger has confirmed; it stays tombstoned.
void release(attempt_table& table, attempt_id attempt);
/// Makes sure that an attempt that has not started never will.
/// @return its status: tombstoned if it never ran and never will.
attempt_status tombstone(attempt_table& table, attempt_id attempt);
/// @return the status of an attempt.
attempt_status status_of(const attempt_table& table, attempt_id attempt);
/// Begins a new incarnation of the upstream. @return the attempts that were queued for the old one, now
/// tombstoned.
std::vector<attempt_id> renew_incarnation(attempt_table& table, incarnation_id fresh);

} // namespace guavawick::scheduling
