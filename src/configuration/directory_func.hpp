// Commands on the upstream directory and on quarantined requests. Deterministic; no I/O.
#pragma once

#include "configuration/directory_type.hpp"

namespace guavawick::configuration {

/// Records an announcement. A removal counts only for the incarnation that it names. @return whether anything
/// changed.
bool announce(directory_state& state, upstream_record record);
/// Notes that an incarnation of an upstream was lost while bodies ran there; each incarnation counts once a
/// body.
/// @return the bodies that are refused from now on.
std::vector<body_hash> record_loss(directory_state& state, const upstream_name& who,
                                   incarnation_id incarnation, const std::vector<body_hash>& running);
/// Clears a body that finished, unless it is quarantined already.
void clear_suspicion(directory_state& state, body_hash body);
/// Lifts a quarantine by an operator's order.
void lift_quarantine(directory_state& state, body_hash body);
/// Tells whether a suspicion will have lapsed at a group time.
bool has_expired_suspicion(const directory_state& state, std::chrono::milliseconds now);
/// Drops suspicions that have lapsed.
void drop_expired_suspicions(directory_state& state);

} // namespace guavawick::configuration
