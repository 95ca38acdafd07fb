// Types of a sidecar's attempt table: what may start, what has started and what never will.
#pragma once

#include "base/failure_type.hpp"
#include "base/id_type.hpp"

#include <deque>
#include <unordered_map>
#include <unordered_set>

namespace guavawick::scheduling {

enum class attempt_status : std::uint8_t {
    queued = 0,
    running = 1,
    finished = 2,
    tombstoned = 3,
    unknown = 4
};

/// What decides about an offered attempt.
struct attempt_offer {
    attempt_id attempt;
    incarnation_id upstream_incarnation; ///< upstream incarnation that the claim names
    body_hash body;
    bool suspect = false;   ///< its body ran at the loss of an upstream
    bool join_only = false; ///< must not start it
};

/// Attempts of one upstream. An attempt only ever moves forward: queued, running, finished; or queued,
/// tombstoned.
struct attempt_table {
    incarnation_id incarnation; ///< of the upstream, as announced
    bool leaving = false;       ///< takes nothing new
    bool accepts_work = false;  ///< the configuration is fresh and lets it work
    std::size_t max_queued = 10000;
    std::unordered_map<attempt_id, attempt_status> attempts; ///< without tombstones
    std::unordered_map<attempt_id, body_hash> suspects;      ///< queued or running here
    std::unordered_set<attempt_id> tombstones;
    std::deque<attempt_id> tombstone_order; ///< oldest first
    std::size_t queued = 0;
};

/// What to do with an offered attempt.
enum class offer_decision : std::uint8_t { queue, join, refuse };

struct offer_result {
    offer_decision decision = offer_decision::refuse;
    failure reason = failure::none; ///< of a refusal; the attempt is tombstoned, so "not run" is true
};

} // namespace guavawick::scheduling
