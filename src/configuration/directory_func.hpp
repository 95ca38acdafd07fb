// Commands on the upstream directory and on quarantined requests. Deterministic; no I/O.
#pragma once

#include "configuration/directory_type.hpp"

namespace guavawick::configuration {

/// Records an announcement. A removal is ignored unless the recorded incarnation is the one that it names.
/// @return whether anything changed.
bool announce(directory_state& state, upstream_record record);
/// Records that an incarnation of an upstream was lost while requests with these bodies ran there. Each
/// incarnation counts once per body.
/// @return the bodies that are quarantined from now on.
std::vector<body_hash> record_loss(directory_state& state, const upstream_name& upstream,
                                   incarnation_id incarnation, const std::vector<body_hash>& running);
/// Drops the suspicion of a body whose request finished, unless the body is quarantined already.
void clear_suspicion(directory_state& state, body_hash body);
/// Lifts a quarantine by an operator's order.
void lift_quarantine(directory_state& state, body_hash body);
/// Returns whether a suspicion will have expired at a group time.
bool has_expired_suspicion(const directory_state& state, std::chrono::milliseconds now);
/// Drops the suspicions that have expired, quarantines included.
void drop_expired_suspicions(directory_state& state);

} // namespace guavawick::configuration
