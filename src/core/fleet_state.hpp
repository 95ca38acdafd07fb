// State machine of the control group of a fleet: the published document, data centres taken out, the ledger's
// first members and stores that are emptied. Pure.
#pragma once

#include "consensus/consensus_type.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace guavawick::wire {
class fleet_command;
}

namespace guavawick::core {

/// Everything that the control group agrees on.
struct fleet_state {
    std::uint64_t revision = 0;                  ///< rises with each change
    std::uint64_t version = 0;                   ///< of the document; 0 for none
    std::string document;                        ///< the operator's plan, byte for byte
    std::set<std::string> evacuated;             ///< data centres that get no new work
    std::vector<consensus::member> founders;     ///< first members of the ledger group
    std::map<std::string, std::string> retiring; ///< stores that are emptied: name to endpoint
};

/// Executes a committed command. A document whose version is not above the present one changes nothing.
/// @return whether something changed.
bool execute(fleet_state& state, const wire::fleet_command& command);
/// @return the state as bytes, for snapshots.
std::string encode_state(const fleet_state& state);
/// @throw decode_error if the bytes are no state.
fleet_state decode_fleet_state(const std::string& bytes);

/// A store as it reports itself to the control replicas.
struct store_view {
    std::string name;
    std::string endpoint;
    std::string data_centre;
    consensus::member_id disk;
    bool blank = false;    ///< its disk holds no group
    bool in_group = false; ///< it is a member of the ledger group
    bool leads = false;    ///< it leads the ledger group, so that `members` are current
    std::vector<consensus::member> members;
    std::vector<std::string> silent_members; ///< members that the leader does not hear of
    time_point heard_at{};
};

/// Chooses the ledger's first members: as many as wanted, spread over data centres.
/// @return empty while too few stores are known.
std::vector<consensus::member> choose_founders(const std::map<std::string, store_view>& stores,
                                               std::size_t wanted);
/// Where a store stands that shall be emptied.
enum class retire_phase : std::uint8_t { unknown, impossible, possible, running, completed };
/// @return the phase of a store. @param voters the ledger's full number of voters.
retire_phase judge_retirement(const fleet_state& state, const std::map<std::string, store_view>& stores,
                              const std::string& name, std::size_t voters, time_point now);

} // namespace guavawick::core
