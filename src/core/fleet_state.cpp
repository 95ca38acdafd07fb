// State machine of a fleet's control group.
#include "core/fleet_state.hpp"

#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "rollout/rollout_codec.hpp"
#include "rollout/rollout_func.hpp"
#include "wire.pb.h"

#include <algorithm>

namespace guavawick::core {
namespace {

using namespace std::chrono_literals;

constexpr duration store_timeout =
    2s; ///< several reports; a store that has not reported for longer can't take over a group
constexpr std::size_t stores_per_ledger_group = 3; ///< see choose_ledger_group_count
constexpr std::size_t max_ledger_groups = 8; ///< each group costs a thread and its heartbeats on every store

consensus::member decode_member(const wire::member& message)
{
    return {consensus::member_id{message.id()},
            message.name(),
            message.endpoint(),
            true,
            0,
            message.data_centre()};
}

void encode_member(const consensus::member& member, wire::member* message)
{
    message->set_id(member.id.value);
    message->set_name(member.name);
    message->set_endpoint(member.endpoint);
    message->set_voter(true);
    message->set_data_centre(member.data_centre);
}

bool apply_change(fleet_state& state, const wire::fleet_command& command)
{
    switch (command.body_case()) {
    case wire::fleet_command::kPublish:
        if (command.publish().version() <= state.document_version) {
            return false;
        }
        state.document_version = command.publish().version();
        state.document = command.publish().document();
        return true;
    case wire::fleet_command::kEvacuation:
        return command.evacuation().out()
                   ? state.evacuated_data_centres.insert(command.evacuation().data_centre()).second
                   : state.evacuated_data_centres.erase(command.evacuation().data_centre()) > 0;
    case wire::fleet_command::kFound:
        if (!state.initial_members.empty()) {
            return false;
        }
        state.initial_members = from_wire(command.found().ledgers());
        return true;
    case wire::fleet_command::kRetire:
        return state.retiring_stores.emplace(command.retire().name(), command.retire().endpoint()).second;
    case wire::fleet_command::kStartRollout: {
        const wire::rollout_start& order = command.start_rollout();
        return rollout::start(state.rollouts, order.service(), order.target(),
                              std::chrono::milliseconds(order.duration_ms()),
                              state.revision + 1) == rollout::start_result::started;
    }
    case wire::fleet_command::kChangeRollout: {
        const wire::rollout_change& change = command.change_rollout();
        rollout::record_age(state.rollouts, change.service(), change.number(),
                            std::chrono::milliseconds(change.age_ms()));
        return change.stage_changes() &&
               rollout::change_stage(state.rollouts, change.service(), change.number(),
                                     rollout::to_stage(change.stage()), state.revision + 1);
    }
    case wire::fleet_command::BODY_NOT_SET:
        return false;
    }
    return false;
}

} // namespace

bool is_superseded(const fleet_state& state, const wire::fleet_command& command)
{
    return command.has_expected_order_count() && command.expected_order_count() != state.order_count;
}

bool execute(fleet_state& state, const wire::fleet_command& command)
{
    if (is_superseded(state, command)) {
        return false;
    }
    if (command.has_evacuation() || command.has_retire() || command.has_start_rollout()) {
        ++state.order_count; // also if it changes nothing: an older order must not follow it
    }
    if (!apply_change(state, command)) {
        return false;
    }
    ++state.revision;
    return true;
}

std::string encode_state(const fleet_state& state)
{
    wire::fleet_snapshot encoded;
    encoded.set_revision(state.revision);
    encoded.set_version(state.document_version);
    encoded.set_document(state.document);
    for (const std::string& data_centre : state.evacuated_data_centres) {
        encoded.add_evacuated(data_centre);
    }
    to_wire(state.initial_members, encoded.mutable_ledgers());
    for (const auto& [name, endpoint] : state.retiring_stores) {
        wire::retire_store* store = encoded.add_retiring();
        store->set_name(name);
        store->set_endpoint(endpoint);
    }
    encoded.set_order_count(state.order_count);
    for (const auto& [service, rollout] : state.rollouts) {
        rollout::to_wire(rollout, encoded.add_rollouts());
    }
    return encoded.SerializeAsString();
}

fleet_state decode_fleet_state(const std::string& bytes)
{
    wire::fleet_snapshot encoded;
    if (!encoded.ParseFromString(bytes)) {
        throw decode_error("cannot decode the snapshot of the control group");
    }
    fleet_state state;
    state.revision = encoded.revision();
    state.document_version = encoded.version();
    state.document = encoded.document();
    state.evacuated_data_centres.insert(encoded.evacuated().begin(), encoded.evacuated().end());
    state.initial_members = from_wire(encoded.ledgers());
    for (const wire::retire_store& store : encoded.retiring()) {
        state.retiring_stores[store.name()] = store.endpoint();
    }
    state.order_count = encoded.order_count();
    state.rollouts = rollout::from_wire(encoded.rollouts());
    return state;
}

bool is_blank(const store_status& store)
{
    return std::all_of(store.groups.begin(), store.groups.end(),
                       [](const auto& group) { return group.second.blank; });
}

std::size_t choose_ledger_group_count(std::size_t stores)
{
    return std::clamp<std::size_t>(stores / stores_per_ledger_group, 1, max_ledger_groups);
}

std::optional<std::uint32_t> ledger_group_of(const organisation_name& organisation, std::size_t group_count)
{
    if (group_count == 0) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(first_ledger_group + hash_bytes(organisation.value) % group_count);
}

void to_wire(const initial_member_lists& lists, google::protobuf::RepeatedPtrField<wire::founding>* messages)
{
    for (const auto& members : lists) {
        wire::founding* message = messages->Add();
        for (const consensus::member& member : members) {
            encode_member(member, message->add_members());
        }
    }
}

initial_member_lists from_wire(const google::protobuf::RepeatedPtrField<wire::founding>& messages)
{
    initial_member_lists lists;
    for (const wire::founding& message : messages) {
        lists.emplace_back();
        for (const wire::member& member : message.members()) {
            lists.back().push_back(decode_member(member));
        }
    }
    return lists;
}

initial_member_lists choose_initial_members(const std::map<std::string, store_status>& stores,
                                            std::size_t group_count, std::size_t members_per_group)
{
    std::vector<const store_status*> candidates;
    for (const auto& [endpoint, store] : stores) {
        if (is_blank(store)) {
            candidates.push_back(&store);
        }
    }
    if (candidates.size() < members_per_group) {
        return {};
    }
    std::map<consensus::member_id, std::size_t> load_by_store;
    initial_member_lists lists;
    while (lists.size() < group_count) {
        // Least loaded stores first: the first member of a group becomes its first leader.
        std::stable_sort(candidates.begin(), candidates.end(),
                         [&load_by_store](const store_status* left, const store_status* right) {
                             return load_by_store[left->disk_id] < load_by_store[right->disk_id];
                         });
        std::vector<consensus::member> members;
        std::map<std::string, std::size_t> members_by_data_centre;
        // Each round allows every data centre one member more.
        for (std::size_t max_per_data_centre = 1; members.size() < members_per_group; ++max_per_data_centre) {
            for (const store_status* candidate : candidates) {
                const bool is_chosen =
                    std::any_of(members.begin(), members.end(),
                                [candidate](const auto& member) { return member.id == candidate->disk_id; });
                if (!is_chosen && members_by_data_centre[candidate->data_centre] < max_per_data_centre &&
                    members.size() < members_per_group) {
                    ++members_by_data_centre[candidate->data_centre];
                    ++load_by_store[candidate->disk_id];
                    members.push_back({candidate->disk_id, candidate->name, candidate->endpoint, true, 0,
                                       candidate->data_centre});
                }
            }
        }
        ++load_by_store[members.front().id]; // a leader has more work than a follower
        lists.push_back(std::move(members));
    }
    return lists;
}

namespace {

/// @return whether a store is no longer a member of a group that has at least its full number of voters and
/// has contact with all members, according to the latest report of its leader.
bool has_left_group(const std::map<std::string, store_status>& stores, std::uint32_t group,
                    const std::string& name, std::size_t voters, time_point now)
{
    const ledger_group_status* leader = nullptr;
    time_point newest_report_at{};
    for (const auto& [endpoint, store] : stores) {
        const auto status = store.groups.find(group);
        const bool leads = status != store.groups.end() && status->second.leads;
        if (leads && now - store.last_report_at < store_timeout &&
            (leader == nullptr || store.last_report_at > newest_report_at)) {
            leader = &status->second;
            newest_report_at = store.last_report_at;
        }
    }
    if (leader == nullptr || !leader->unreachable_members.empty()) {
        return false;
    }
    const auto voter_count = std::count_if(leader->members.begin(), leader->members.end(),
                                           [](const consensus::member& member) { return member.voter; });
    const bool is_member =
        std::any_of(leader->members.begin(), leader->members.end(),
                    [&name](const consensus::member& member) { return member.name == name; });
    return !is_member && static_cast<std::size_t>(voter_count) >= voters;
}

bool is_initial_member(const fleet_state& state, const std::string& name)
{
    return std::any_of(state.initial_members.begin(), state.initial_members.end(),
                       [&name](const std::vector<consensus::member>& members) {
                           return std::any_of(
                               members.begin(), members.end(),
                               [&name](const consensus::member& member) { return member.name == name; });
                       });
}

} // namespace

retirement_phase evaluate_retirement(const fleet_state& state,
                                     const std::map<std::string, store_status>& stores,
                                     const std::string& name, std::size_t voters, time_point observed_since,
                                     time_point now)
{
    std::size_t remaining_stores = 0;
    bool known = state.retiring_stores.contains(name) || is_initial_member(state, name);
    for (const auto& [endpoint, store] : stores) {
        const bool is_alive = now - store.last_report_at < store_timeout;
        known = known || store.name == name;
        remaining_stores +=
            is_alive && store.name != name && !state.retiring_stores.contains(store.name) ? 1 : 0;
    }
    if (known && !state.retiring_stores.contains(name) && remaining_stores >= voters) {
        return retirement_phase::possible;
    }
    if (!state.retiring_stores.contains(name)) {
        const bool may_lack_reports = now - observed_since < store_timeout;
        return may_lack_reports ? retirement_phase::undetermined
               : known          ? retirement_phase::impossible
                                : retirement_phase::unknown;
    }
    for (std::uint32_t group = 1; group <= state.initial_members.size(); ++group) {
        if (!has_left_group(stores, group, name, voters, now)) {
            return retirement_phase::running;
        }
    }
    return retirement_phase::completed;
}

} // namespace guavawick::core
