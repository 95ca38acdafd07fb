// State machine of the control group of a fleet.
#include "core/fleet_state.hpp"

#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "wire.pb.h"

#include <algorithm>

namespace guavawick::core {
namespace {

using namespace std::chrono_literals;

constexpr duration store_silence = 2s; ///< several reports of a store; a silent one can't take anything over
constexpr std::size_t stores_a_ledger = 3; ///< see count_ledgers
constexpr std::size_t most_ledgers = 8;    ///< each costs every store a thread and its heartbeats

consensus::member decode_member(const wire::member& one)
{
    return {consensus::member_id{one.id()}, one.name(), one.endpoint(), true, 0, one.data_centre()};
}

void encode_member(const consensus::member& one, wire::member* into)
{
    into->set_id(one.id.value);
    into->set_name(one.name);
    into->set_endpoint(one.endpoint);
    into->set_voter(true);
    into->set_data_centre(one.data_centre);
}

bool change(fleet_state& state, const wire::fleet_command& command)
{
    switch (command.body_case()) {
    case wire::fleet_command::kPublish:
        if (command.publish().version() <= state.version) {
            return false;
        }
        state.version = command.publish().version();
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
    case wire::fleet_command::BODY_NOT_SET:
        return false;
    }
    return false;
}

} // namespace

bool execute(fleet_state& state, const wire::fleet_command& command)
{
    if (!change(state, command)) {
        return false;
    }
    ++state.revision;
    return true;
}

std::string encode_state(const fleet_state& state)
{
    wire::fleet_snapshot encoded;
    encoded.set_revision(state.revision);
    encoded.set_version(state.version);
    encoded.set_document(state.document);
    for (const std::string& one : state.evacuated_data_centres) {
        encoded.add_evacuated(one);
    }
    to_wire(state.initial_members, encoded.mutable_ledgers());
    for (const auto& [name, endpoint] : state.retiring_stores) {
        wire::retire_store* made = encoded.add_retiring();
        made->set_name(name);
        made->set_endpoint(endpoint);
    }
    return encoded.SerializeAsString();
}

fleet_state decode_fleet_state(const std::string& bytes)
{
    wire::fleet_snapshot encoded;
    if (!encoded.ParseFromString(bytes)) {
        throw decode_error("a snapshot of the control group does not decode");
    }
    fleet_state state;
    state.revision = encoded.revision();
    state.version = encoded.version();
    state.document = encoded.document();
    state.evacuated_data_centres.insert(encoded.evacuated().begin(), encoded.evacuated().end());
    state.initial_members = from_wire(encoded.ledgers());
    for (const wire::retire_store& one : encoded.retiring()) {
        state.retiring_stores[one.name()] = one.endpoint();
    }
    return state;
}

bool is_blank(const store_status& store)
{
    return std::all_of(store.groups.begin(), store.groups.end(),
                       [](const auto& one) { return one.second.blank; });
}

std::size_t choose_ledger_group_count(std::size_t stores)
{
    return std::clamp<std::size_t>(stores / stores_a_ledger, 1, most_ledgers);
}

std::optional<std::uint32_t> ledger_group_of(const organisation_name& organisation, std::size_t ledgers)
{
    if (ledgers == 0) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(first_ledger_group + hash_bytes(organisation.value) % ledgers);
}

void to_wire(const initial_member_lists& lists, google::protobuf::RepeatedPtrField<wire::founding>* into)
{
    for (const auto& members : lists) {
        wire::founding* made = into->Add();
        for (const consensus::member& one : members) {
            encode_member(one, made->add_members());
        }
    }
}

initial_member_lists from_wire(const google::protobuf::RepeatedPtrField<wire::founding>& lists)
{
    initial_member_lists made;
    for (const wire::founding& list : lists) {
        made.emplace_back();
        for (const wire::member& one : list.members()) {
            made.back().push_back(decode_member(one));
        }
    }
    return made;
}

initial_member_lists choose_initial_members(const std::map<std::string, store_status>& stores,
                                            std::size_t ledgers, std::size_t wanted)
{
    std::vector<const store_status*> able;
    for (const auto& [endpoint, one] : stores) {
        if (is_blank(one)) {
            able.push_back(&one);
        }
    }
    if (able.size() < wanted) {
        return {};
    }
    std::map<consensus::member_id, std::size_t> seats;
    initial_member_lists made;
    while (made.size() < ledgers) {
        // Stores with little work first: the first member of a group begins as its leader.
        std::stable_sort(able.begin(), able.end(),
                         [&seats](const store_status* left, const store_status* right) {
                             return seats[left->disk] < seats[right->disk];
                         });
        std::vector<consensus::member> chosen;
        std::map<std::string, std::size_t> places;
        // In rounds: at most one more member a data centre in each.
        for (std::size_t most = 1; chosen.size() < wanted; ++most) {
            for (const store_status* one : able) {
                const bool taken = std::any_of(chosen.begin(), chosen.end(),
                                               [one](const auto& held) { return held.id == one->disk; });
                if (!taken && places[one->data_centre] < most && chosen.size() < wanted) {
                    ++places[one->data_centre];
                    ++seats[one->disk];
                    chosen.push_back({one->disk, one->name, one->endpoint, true, 0, one->data_centre});
                }
            }
        }
        ++seats[chosen.front().id]; // it leads, which is more work than to follow
        made.push_back(std::move(chosen));
    }
    return made;
}

namespace {

/// @return whether a group has its full number of voters, all heard of, and the store is none of its members.
bool has_left(const std::map<std::string, store_status>& stores, std::uint32_t group, const std::string& name,
              std::size_t voters, time_point now)
{
    const ledger_group_status* leader = nullptr;
    time_point heard_at{};
    for (const auto& [endpoint, one] : stores) {
        const auto held = one.groups.find(group);
        const bool leads = held != one.groups.end() && held->second.leads;
        if (leads && now - one.heard_at < store_silence && (leader == nullptr || one.heard_at > heard_at)) {
            leader = &held->second;
            heard_at = one.heard_at;
        }
    }
    if (leader == nullptr || !leader->unreachable_members.empty()) {
        return false;
    }
    const auto counted = std::count_if(leader->members.begin(), leader->members.end(),
                                       [](const consensus::member& one) { return one.voter; });
    const bool still_there = std::any_of(leader->members.begin(), leader->members.end(),
                                         [&name](const consensus::member& one) { return one.name == name; });
    return !still_there && static_cast<std::size_t>(counted) >= voters;
}

} // namespace

retirement_phase evaluate_retirement(const fleet_state& state,
                                     const std::map<std::string, store_status>& stores,
                                     const std::string& name, std::size_t voters, time_point now)
{
    std::size_t able = 0;
    bool known = state.retiring_stores.contains(name);
    for (const auto& [endpoint, one] : stores) {
        const bool alive = now - one.heard_at < store_silence;
        known = known || one.name == name;
        able += alive && one.name != name && !state.retiring_stores.contains(one.name) ? 1 : 0;
    }
    if (!known) {
        return retirement_phase::unknown;
    }
    if (!state.retiring_stores.contains(name)) {
        return able >= voters ? retirement_phase::possible : retirement_phase::impossible;
    }
    for (std::uint32_t group = 1; group <= state.initial_members.size(); ++group) {
        if (!has_left(stores, group, name, voters, now)) {
            return retirement_phase::running;
        }
    }
    return retirement_phase::completed;
}

} // namespace guavawick::core
