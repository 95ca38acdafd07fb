// State machine of the control group of a fleet: the published document, data centres taken out, the ledger's
// first members and stores that are emptied. Pure.
#pragma once

#include "base/id_type.hpp"
#include "consensus/consensus_type.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace google::protobuf {
template <typename Element>
class RepeatedPtrField;
}
namespace guavawick::wire {
class fleet_command;
class founding;
} // namespace guavawick::wire

namespace guavawick::core {

/// First members of the ledger groups. The number of groups never changes: it decides where each
/// organisation's turns are.
using initial_member_lists = std::vector<std::vector<consensus::member>>;

/// Everything that the control group agrees on.
struct fleet_state {
    std::uint64_t revision = 0;                   ///< rises with each change
    std::uint64_t version = 0;                    ///< of the document; 0 for none
    std::string document;                         ///< the operator's plan, compressed
    std::set<std::string> evacuated_data_centres; ///< data centres that get no new work
    initial_member_lists initial_members; ///< first members of the ledger groups; the first is group 1
    std::map<std::string, std::string> retiring_stores; ///< stores that are emptied: name to endpoint
};

/// Executes a committed command. A document whose version is not above the present one changes nothing.
/// @return whether something changed.
bool execute(fleet_state& state, const wire::fleet_command& command);
/// @return the state as bytes, for snapshots.
std::string encode_state(const fleet_state& state);
/// @throw decode_error if the bytes are no state.
fleet_state decode_fleet_state(const std::string& bytes);

/// A store's place in one ledger group, as it reports itself.
struct ledger_group_status {
    bool blank = true;  ///< its disk holds nothing of the group
    bool leads = false; ///< it leads the group, so that `members` are current
    std::vector<consensus::member> members;
    std::vector<std::string> unreachable_members; ///< members that the leader does not hear of
};

/// A store as it reports itself to the control replicas.
struct store_status {
    std::string name;
    std::string endpoint;
    std::string data_centre;
    consensus::member_id disk;
    std::map<std::uint32_t, ledger_group_status> groups; ///< by number; a store with an empty disk has none
    time_point heard_at{};
};

/// @return whether a store holds nothing of any ledger group.
bool is_blank(const store_status& store);
/// @return how many ledger groups a number of stores shall carry. One leader carries some hundred turns a
/// second, and three stores give each group a leader with a processor to itself.
std::size_t choose_ledger_group_count(std::size_t stores);
/// Chooses the first members of each ledger group, spread over data centres and stores.
/// @param wanted members of each. @return empty while too few stores are known.
initial_member_lists choose_initial_members(const std::map<std::string, store_status>& stores,
                                            std::size_t ledgers, std::size_t wanted);
constexpr std::uint32_t first_ledger_group = 1; ///< control is group 0

/// @return number of the ledger group that holds an organisation's turns; none while it is not known how many
/// groups there are. Another group would say that a kept turn does not exist.
std::optional<std::uint32_t> ledger_group_of(const organisation_name& organisation, std::size_t ledgers);
/// Writes members into a message.
void to_wire(const initial_member_lists& lists, google::protobuf::RepeatedPtrField<wire::founding>* into);
/// @return the members in a message.
initial_member_lists from_wire(const google::protobuf::RepeatedPtrField<wire::founding>& lists);
/// Where a store stands that shall be emptied.
enum class retirement_phase : std::uint8_t { unknown, impossible, possible, running, completed };
/// @return the phase of a store. @param voters the ledger's full number of voters.
retirement_phase evaluate_retirement(const fleet_state& state,
                                     const std::map<std::string, store_status>& stores,
                                     const std::string& name, std::size_t voters, time_point now);

} // namespace guavawick::core
