// Confirmation of committed entries by the regular members of a group.
#include "consensus/confirmation.hpp"

#include "consensus/consensus_func.hpp"

#include <algorithm>

namespace guavawick::consensus {
namespace {

bool is_active(const regular_member& member, const group_state& state, time_point now)
{
    return now - member.contact_at < state.settings.election_timeout;
}

/// @return whether an instance that joined later has taken the place of one that is gone.
bool is_succeeded(const regular_members& members, const regular_member& checked, const group_state& state,
                  time_point now)
{
    return !is_active(checked, state, now) &&
           std::any_of(members.begin(), members.end(), [&](const auto& entry) {
               const regular_member& other = entry.second;
               return other.data_centre == checked.data_centre && other.known_since > checked.known_since &&
                      is_active(other, state, now);
           });
}

bool is_present(const regular_members& members, const regular_member& checked, const group_state& state,
                time_point now)
{
    return now - checked.contact_at < absence_timeout && !is_succeeded(members, checked, state, now);
}

} // namespace

void update_regular_members(regular_members& members, const group_state& state, time_point now)
{
    for (const member& listed : current_members(state).members) {
        if (listed.auxiliary) {
            continue;
        }
        auto [entry, is_new] = members.try_emplace(listed.name);
        regular_member& known = entry->second;
        if (is_new) {
            known.known_since = now;
            known.contact_at = now;
        }
        // A member that lost its disk joins under another id, and is listed after its former one.
        known.id = listed.id;
        known.data_centre = listed.data_centre;
        known.known_commit = 0;
        const auto peer = state.peers.find(listed.id);
        if (listed.id == state.self) {
            known.contact_at = now;
            known.known_commit = state.applied;
        }
        else if (peer != state.peers.end()) {
            known.contact_at = std::max(known.contact_at, peer->second.acked_sent_at);
            known.known_commit = peer->second.known_commit;
        }
    }
    std::erase_if(members, [&state, now](const auto& entry) {
        return now - entry.second.contact_at >= absence_timeout &&
               find_member(current_members(state), entry.second.id) == nullptr;
    });
}

log_index confirmed_index(const regular_members& members, const group_state& state, time_point now)
{
    std::vector<log_index> known;
    for (const auto& [name, regular] : members) {
        if (is_present(members, regular, state, now)) {
            known.push_back(regular.known_commit);
        }
    }
    if (known.empty()) {
        return state.commit;
    }
    std::sort(known.begin(), known.end(), std::greater<>{});
    return std::min(known[known.size() / 2], state.commit);
}

std::vector<std::string> list_unconfirming(const regular_members& members, const group_state& state,
                                           log_index index, time_point now)
{
    std::vector<std::string> names;
    for (const auto& [name, regular] : members) {
        if (is_present(members, regular, state, now) && regular.known_commit < index) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace guavawick::consensus
