// Admission and state changes of attempts in a sidecar's attempt table. Pure functions.
#pragma once

#include "scheduling/attempt_type.hpp"

#include <vector>

namespace guavawick::scheduling {

/// Decides whether an offered attempt is queued, joined or refused. A refused attempt is tombstoned, so that
/// a delayed duplicate of the offer never starts it.
offer_result offer_attempt(attempt_table& table, const attempt_offer& offer);
/// Marks an attempt as running at the upstream. @pre the attempt is queued.
void mark_running(attempt_table& table, attempt_id attempt);
/// Marks an attempt as finished. @pre the attempt is running.
void mark_finished(attempt_table& table, attempt_id attempt);
/// Removes a finished attempt whose end the ledger has confirmed; it stays tombstoned.
void release(attempt_table& table, attempt_id attempt);
/// Prevents an attempt that has not started from ever starting.
/// @return the attempt's status; tombstoned if it never ran and never will.
attempt_status tombstone(attempt_table& table, attempt_id attempt);
/// @return the status of an attempt.
attempt_status status_of(const attempt_table& table, attempt_id attempt);
/// Begins a new incarnation of the upstream.
/// @return the attempts that were queued for the previous incarnation, now tombstoned.
std::vector<attempt_id> renew_incarnation(attempt_table& table, incarnation_id incarnation);

} // namespace guavawick::scheduling
