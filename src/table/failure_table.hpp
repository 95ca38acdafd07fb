// Catalogue of the failures, with HTTP status and whether the call was executed; docs/ERRORS.md has the same
// rows.
#pragma once

#include "base/failure_type.hpp"

#include <array>

namespace guavawick {

constexpr std::array failure_table{
    failure_row{failure::none, "none", 200, ran_state::yes, "No failure."},
    failure_row{failure::bad_request, "bad_request", 400, ran_state::no, "The request is not well formed."},
    failure_row{failure::key_missing, "key_missing", 401, ran_state::no, "No key was presented."},
    failure_row{failure::key_unknown, "key_unknown", 401, ran_state::no,
                "The key is unknown or was withdrawn."},
    failure_row{failure::route_unknown, "route_unknown", 404, ran_state::no,
                "No route serves this model or service."},
    failure_row{failure::route_forbidden, "route_forbidden", 403, ran_state::no,
                "The organisation may not use this route."},
    failure_row{failure::program_unknown, "program_unknown", 404, ran_state::no,
                "The organisation has no such program."},
    failure_row{failure::program_ended, "program_ended", 410, ran_state::no, "The program has ended."},
    failure_row{failure::request_mismatch, "request_mismatch", 422, ran_state::no,
                "The idempotency key was used with another body."},
    failure_row{failure::budget_exhausted, "budget_exhausted", 429, ran_state::no,
                "The program's budget is spent."},
    failure_row{failure::rate_exceeded, "rate_exceeded", 429, ran_state::no,
                "The organisation exceeds its rate limit."},
    failure_row{failure::overloaded, "overloaded", 503, ran_state::no,
                "No upstream can start the call in time."},
    failure_row{failure::no_upstream, "no_upstream", 503, ran_state::no,
                "No upstream serves this route now."},
    failure_row{failure::configuration_stale, "configuration_stale", 503, ran_state::no,
                "This instance could not confirm its configuration in time."},
    failure_row{failure::ledger_unavailable, "ledger_unavailable", 503, ran_state::no,
                "The program's ledger can't be reached."},
    failure_row{failure::request_quarantined, "request_quarantined", 422, ran_state::no,
                "The request is quarantined and refused: upstreams were lost while running it."},
    failure_row{failure::outcome_unknown, "outcome_unknown", 502, ran_state::unknown,
                "The call may have run; it will not run again."},
    failure_row{failure::upstream_lost, "upstream_lost", 502, ran_state::unknown,
                "The upstream was lost while it ran the call."},
    failure_row{failure::upstream_failed, "upstream_failed", 502, ran_state::yes,
                "The upstream answered with an error."},
    failure_row{failure::incarnation_mismatch, "incarnation_mismatch", 503, ran_state::no,
                "The message was addressed to an earlier incarnation of the process."},
    failure_row{failure::leaving, "leaving", 503, ran_state::no, "The instance is shutting down."},
    failure_row{failure::too_large, "too_large", 413, ran_state::no, "The request is larger than allowed."},
    failure_row{failure::timeout, "timeout", 504, ran_state::unknown, "The deadline passed."},
    failure_row{failure::tombstoned, "tombstoned", 503, ran_state::no,
                "The attempt was cancelled before it started."},
    failure_row{failure::cancelled, "cancelled", 499, ran_state::unknown, "The caller disconnected."},
    failure_row{failure::revision_conflict, "revision_conflict", 409, ran_state::no,
                "Another operator published first."},
    failure_row{failure::configuration_invalid, "configuration_invalid", 422, ran_state::no,
                "The configuration has faults."},
    failure_row{failure::operator_unknown, "operator_unknown", 401, ran_state::no,
                "The operator's key is unknown."},
    failure_row{failure::fencing_old, "fencing_old", 409, ran_state::no,
                "The order carries an outdated fencing number."},
    failure_row{failure::not_leader, "not_leader", 503, ran_state::no,
                "The replica does not lead the group."},
    failure_row{failure::busy, "busy", 503, ran_state::no, "The process is busy; try again."},
    failure_row{failure::not_found, "not_found", 404, ran_state::no, "Nothing is served at this path."},
};

} // namespace guavawick
