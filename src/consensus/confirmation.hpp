// Confirmation of committed entries by the regular members of a group. A quorum may consist of one regular
// member and auxiliary ones, while clients reach the other regular members only. What a majority of the
// regular members knows to be committed reaches every client that reaches a majority of them. Plain data and
// pure functions.
#pragma once

#include "consensus/consensus_type.hpp"

#include <map>
#include <string>
#include <vector>

namespace guavawick::consensus {

/// A regular member without contact for longer counts as down, and its confirmation isn't awaited. Until
/// then it may be cut off from the leader and serve clients.
constexpr duration absence_timeout = 15s;

/// What the leader knows of a regular member.
struct regular_member {
    member_id id;
    std::string data_centre;
    time_point known_since{};
    time_point contact_at{};    ///< when the newest message that it acknowledged was sent
    log_index known_commit = 0; ///< last entry that it is known to regard as committed
};

/// The regular members by name, also those that were removed from the group lately. Kept by the leader from
/// its election on.
using regular_members = std::map<std::string, regular_member>;

/// Takes over what the leader has learned. @pre the member leads the group.
void update_regular_members(regular_members& members, const group_state& state, time_point now);

/// @return the last entry that a majority of the regular members knows to be committed; the commit index if
/// there are no regular members.
log_index confirmed_index(const regular_members& members, const group_state& state, time_point now);

/// @return the names of the present regular members that don't know yet that an entry is committed.
std::vector<std::string> list_unconfirming(const regular_members& members, const group_state& state,
                                           log_index index, time_point now);

} // namespace guavawick::consensus
