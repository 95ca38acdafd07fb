// Chooses the next change of a group whose candidates come and go: which learner is counted, which member
// goes. Pure; one call gives at most one change.
#pragma once

#include "consensus/consensus_type.hpp"

#include <set>

namespace guavawick::consensus {

/// How many members a group shall count and how patient it is with silent ones.
struct membership_policy {
    std::size_t voters = 3;              ///< odd: 2 x (losses borne at once) + 1
    std::size_t voters_in_one_place = 1; ///< most voters in one data centre
    std::size_t standby = 1;             ///< learners that are kept beside the voters
    duration voter_silence = 1500ms;     ///< a voter that is silent for longer may be replaced
    duration learner_silence = 5s;       ///< a learner that is silent for longer is dropped
    std::set<std::string> retiring;      ///< names of members that shall hold nothing any more
};

/// What a leader knows of one member when it plans.
struct member_view {
    member who;
    bool own = false;       ///< the leader itself
    bool caught_up = false; ///< its synced log has reached the commit index
    duration silent{};      ///< since the leader last heard of it
};

/// What to do next.
enum class planned_kind : std::uint8_t { nothing, promote, remove, hand_over };

/// The next change of a group's members.
struct planned_change {
    planned_kind kind = planned_kind::nothing;
    member_id id; ///< the member that is promoted or removed
};

/// Plans the next change.
/// @param members everything the leader knows, itself included.
/// @return a lost or retiring voter is removed only once a learner that may take its place has caught up, and
/// before that learner is counted: with both counted, one more loss could leave less than a quorum.
planned_change plan_change(const std::vector<member_view>& members, const membership_policy& policy);

/// Tells whether a candidate may join as a learner. Beside the voters one learner stands by; every further
/// copy would cost the same traffic and help only where a voter is lost that the stand-by can't replace.
bool admits_learner(const std::vector<member_view>& members, const member& joining,
                    const membership_policy& policy);
/// @return the policy for a number of losses that are borne at once.
membership_policy make_policy(std::size_t losses, std::size_t data_centres);

} // namespace guavawick::consensus
