// Types of a sidecar's attempt table, which holds the status of each attempt at one upstream.
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

/// An attempt that an entry offers to the sidecar.
struct attempt_offer {
    attempt_id attempt;
    incarnation_id upstream_incarnation; ///< incarnation that the ledger's claim names
    body_hash body;
    bool suspect = false;   ///< its body was running when an upstream was lost
    bool join_only = false; ///< must not start the attempt
};

/// Attempts of one upstream. The status of an attempt changes only from queued to running to finished, or
/// from queued to tombstoned.
struct attempt_table {
    incarnation_id incarnation; ///< announced incarnation of the upstream
    bool leaving = false;       ///< accepts no new attempts
    bool accepts_work = false;  ///< the configuration is fresh and enables the upstream
    std::size_t max_queued = 10000;
    std::unordered_map<attempt_id, attempt_status> attempts; ///< all except tombstoned attempts
    std::unordered_map<attempt_id, body_hash> suspects;      ///< suspects that are queued or running
    std::unordered_set<attempt_id> tombstones;
    std::deque<attempt_id> tombstone_order; ///< oldest first
    std::size_t queued = 0;
};

/// Decision on an offered attempt.
enum class offer_decision : std::uint8_t { queue, join, refuse };

struct offer_result {
    offer_decision decision = offer_decision::refuse;
    failure error = failure::none; ///< of a refusal; the tombstone ensures that the attempt never runs
};

} // namespace guavawick::scheduling
