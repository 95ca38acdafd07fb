// State machine of a fleet's control group: the published document, evacuated data centres, the initial
// members of the ledger groups, retiring stores and rollouts. Pure functions, without I/O or a clock.
#pragma once

#include "base/id_type.hpp"
#include "consensus/consensus_type.hpp"
#include "rollout/rollout_type.hpp"

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

/// Initial members of each ledger group. The number of groups never changes, because it decides which group
/// holds an organisation's turns.
using initial_member_lists = std::vector<std::vector<consensus::member>>;

/// Replicated state of the control group.
struct fleet_state {
    std::uint64_t revision = 0;                   ///< incremented with each change
    std::uint64_t document_version = 0;           ///< 0 if no document has been published
    std::string document;                         ///< the operator's plan, compressed
    std::set<std::string> evacuated_data_centres; ///< data centres that get no new work
    initial_member_lists initial_members;         ///< of the ledger groups; the first list is of group 1
    std::map<std::string, std::string> retiring_stores; ///< endpoints of retiring stores by name
    std::uint64_t order_count = 0;  ///< committed evacuations, ends of evacuations, retirements and
                                    ///< requests of rollouts
    rollout::record_table rollouts; ///< latest rollout of each service
};

/// @return whether a command is an order that was based on an older state than the present one: another order
/// was committed since, which may have reversed it.
bool is_superseded(const fleet_state& state, const wire::fleet_command& command);

/// Applies a committed command. A document whose version is not above the present one and a superseded order
/// change nothing.
/// @return whether the state changed.
bool execute(fleet_state& state, const wire::fleet_command& command);
/// @return the encoded state, for snapshots.
std::string encode_state(const fleet_state& state);
/// @throw decode_error if the bytes are not an encoded state.
fleet_state decode_fleet_state(const std::string& bytes);

/// Status of a store's replica of one ledger group, as the store reports it.
struct ledger_group_status {
    bool blank = true;  ///< the store's disk holds no data of the group
    bool leads = false; ///< the store leads the group, so that `members` is current
    std::vector<consensus::member> members;
    std::vector<std::string> unreachable_members; ///< names of members that the leader has lost contact with
};

/// Status of a store, as it reports itself to the control replicas.
struct store_status {
    std::string name;
    std::string endpoint;
    std::string data_centre;
    consensus::member_id disk_id;
    std::map<std::uint32_t, ledger_group_status> groups; ///< by group number; none if the disk is empty
    time_point last_report_at{};
};

/// @return whether a store holds no data of any ledger group.
bool is_blank(const store_status& store);
/// @return the number of ledger groups for a number of stores. One leader handles some hundred turns a
/// second, and with three stores a group each group's leader has a processor to itself.
std::size_t choose_ledger_group_count(std::size_t stores);
/// Chooses the initial members of each ledger group, spread over data centres and stores.
/// @param members_per_group number of members of each group.
/// @return one list a group; empty while fewer blank stores are known than a group needs.
initial_member_lists choose_initial_members(const std::map<std::string, store_status>& stores,
                                            std::size_t group_count, std::size_t members_per_group);
constexpr std::uint32_t first_ledger_group = 1; ///< group 0 is the control group

/// @return number of the ledger group that holds an organisation's turns, or nothing while `group_count` is
/// unknown (0): any other group would report that a stored turn does not exist.
std::optional<std::uint32_t> ledger_group_of(const organisation_name& organisation, std::size_t group_count);
/// Encodes the initial members of all ledger groups.
void to_wire(const initial_member_lists& lists, google::protobuf::RepeatedPtrField<wire::founding>* messages);
/// @return the decoded initial members of all ledger groups.
initial_member_lists from_wire(const google::protobuf::RepeatedPtrField<wire::founding>& messages);
/// Phase of a store's retirement: `possible` and `impossible` before it was ordered, `running` until other
/// stores hold all groups, then `completed`; `unknown` for a store that neither retires nor reports and was
/// no initial member; `undetermined` while stores that run may not have reported yet.
enum class retirement_phase : std::uint8_t {
    unknown,
    impossible,
    possible,
    running,
    completed,
    undetermined
};
/// @return the phase of a store's retirement. @param voters full number of voters of a ledger group.
/// @param observed_since when the replica began to receive the stores' reports.
retirement_phase evaluate_retirement(const fleet_state& state,
                                     const std::map<std::string, store_status>& stores,
                                     const std::string& name, std::size_t voters, time_point observed_since,
                                     time_point now);

} // namespace guavawick::core
