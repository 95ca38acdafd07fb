// Decision of the control leader on a rollout: evidence, verdict, steps of exposure, and changes of stage.
// Free functions over plain structs; time is an argument.
#pragma once

#include "rollout/rollout_type.hpp"

#include <optional>

namespace guavawick::rollout {

/// Adds a report. Reports may arrive in any order and repeatedly; the newest of an incarnation counts.
/// @return false if a newer one of the incarnation is known.
bool merge_report(evidence_table& table, std::uint64_t incarnation, const gateway_report& report);
/// @return the evidence on one rollout. A former incarnation's attempts in progress are left out.
evidence_totals sum_evidence(const evidence_table& table, const std::string& service, std::uint64_t number,
                             time_point now);
/// @return the bucket of an attempt's duration.
std::size_t bucket_of(duration value);

/// Sequential test of one route. Scores are log likelihood ratios of "bad" to "good", which never fall below
/// 0, so that a fault that begins late is found as fast as an early one.
struct route_test {
    std::uint64_t ended = 0;    ///< attempts at the target that the test has counted
    std::uint64_t failures = 0; ///< of those, failed
    std::uint64_t slow = 0;     ///< of those and of the ones in progress, slow
    double failure_score = 0;
    double slow_score = 0;
    std::array<std::uint64_t, duration_buckets> counted{}; ///< of the ended attempts, by duration
};

/// What a leader keeps on a rollout besides the replicated record. A new leader begins without it.
struct judgement {
    std::uint64_t number = 0;                ///< of the rollout
    std::map<std::string, route_test> tests; ///< by route
    double all_routes_score = 0;             ///< of failures on all routes together
    std::uint32_t step = 0;
    duration step_since{};          ///< age of the rollout at the start of the step
    std::uint64_t target_ended = 0; ///< attempts that ended at the target
    std::uint64_t target_failures = 0;
    double worst_score = 0; ///< highest score, relative to the one at which the version counts as bad
};

/// What a decision is based on.
struct decision_input {
    const record& rollout;
    const evidence_totals& totals;
    duration age{};                ///< of the rollout
    duration stage_age{};          ///< since this replica applied the current stage
    bool target_serving = false;   ///< upstreams of the target accept calls
    bool gateways_confirm = false; ///< all gateways use the current stage, and none runs calls at upstreams
                                   ///< that must get none
};

/// Exposure to lend, and the stage to enter.
struct decision {
    std::uint32_t step = 0;
    double share = 0;
    double forecast = 0;
    std::optional<stage> next; ///< nothing: the stage stays
    const char* reason = "";
};

/// Updates the judgement by the evidence, and decides.
/// @param exposed_calls that a bad version may get beyond its share of all calls.
decision decide(judgement& judged, const decision_input& input, double exposed_calls);

} // namespace guavawick::rollout
