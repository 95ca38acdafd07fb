// Planning of managed memberships: chooses the next learner to promote or member to remove. The functions are
// pure, and one call plans at most one change.
#pragma once

#include "consensus/consensus_type.hpp"

#include <set>

namespace guavawick::consensus {

/// Target size of a managed membership and how long it tolerates members without contact.
struct membership_policy {
    std::size_t voters = 3;                     ///< odd: 2 x (simultaneous failures tolerated) + 1
    std::size_t max_voters_per_data_centre = 1; ///< limit of voters in one data centre
    std::size_t standby_learners = 1;           ///< learners kept in addition to the voters
    duration voter_timeout = 1500ms;            ///< a voter without contact for longer may be replaced
    duration learner_timeout = 5s;              ///< a learner without contact for longer is removed
    std::set<std::string> retiring;             ///< names of members being decommissioned
};

/// The leader's view of one member, as input of the planning.
struct member_status {
    member info;
    bool is_self = false;   ///< true for the leader itself
    bool caught_up = false; ///< its synced log has reached the commit index of up to one election timeout ago
    duration since_contact{}; ///< time since the leader's last contact with it
    bool disk_lost = false;   ///< it is out of contact, and its replica has joined again with another disk
};

/// Type of a planned change.
enum class planned_kind : std::uint8_t { nothing, promote, remove, hand_over };

/// The next change of a group's membership.
struct planned_change {
    planned_kind kind = planned_kind::nothing;
    member_id id; ///< the member to promote or remove
};

/// Plans the next membership change. A lost or retiring voter is replaced only by a learner that has caught
/// up. In a group of full size that learner is promoted first: a voter without contact may have kept its
/// disk, and one voter more than `voters` still has a quorum after the loss of as many disks as the group
/// tolerates, while one voter less has not. A lost voter of a smaller group is removed first, so that it does
/// not count towards the larger quorum.
///
/// The learner of the data centre with the fewest voters is preferred. With five voters in three data centres
/// there are then two in each until the replaced one is removed, so each step withstands the loss of two
/// voters and that of a data centre. If only the data centre of the replaced voter has a learner, it holds
/// three of six voters until the removal, and its loss in between leaves no quorum. No other order of single
/// changes withstands it (membership_plan_test searches all of them).
/// @param members status of all members, including the leader.
/// @return the change, of kind `nothing` if none is needed or possible.
planned_change plan_membership_change(const std::vector<member_status>& members,
                                      const membership_policy& policy);

/// @return whether a candidate may join as a learner. The group keeps only `standby_learners` besides its
/// voters: each further replica costs the same replication traffic and helps only if a lost voter can't be
/// replaced by a standby learner. A replica that returns with another disk is admitted in place of its old
/// one, and one that may be promoted beside all voters of its data centre in place of a standby learner that
/// may not.
bool admits_learner(const std::vector<member_status>& members, const member& joining,
                    const membership_policy& policy);
/// Whom a replica has asked whether a group needs it. Members pass a request on to their leader, so it is
/// enough to ask some contacts in turn: asking all of them would make a fleet's messages grow with the square
/// of its size.
struct join_schedule {
    std::size_t next_contact = 0; ///< position of the next contact to ask
    std::size_t rounds = 0;       ///< rounds of requests without success
};

constexpr std::size_t contacts_per_join_round = 4;
constexpr duration join_interval = 300ms;      ///< between the first rounds
constexpr std::size_t fast_join_rounds = 10;   ///< rounds before the interval grows
constexpr duration max_join_interval = 2400ms; ///< of a replica that the group does not need

/// Starts a round. @param contacts link endpoints of replicas that may be members. @param self is left out.
/// @return the contacts to ask.
std::vector<std::string> choose_join_contacts(join_schedule& schedule,
                                              const std::vector<std::string>& contacts,
                                              const std::string& self);
/// @return the time until the next round.
duration join_delay(const join_schedule& schedule);

/// @param tolerated_failures simultaneous failures of members that the group must survive.
/// @param data_centres number of data centres that the members are spread over.
/// @return the policy that tolerates these failures.
membership_policy make_membership_policy(std::size_t tolerated_failures, std::size_t data_centres);

} // namespace guavawick::consensus
