// State machine of the control group of a fleet.
#include "core/fleet_state.hpp"

#include "base/failure_type.hpp"
#include "wire.pb.h"

#include <algorithm>

namespace guavawick::core {
namespace {

using namespace std::chrono_literals;

constexpr duration store_silence = 2s; ///< several reports of a store; a silent one can't take anything over

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
        return command.evacuation().out() ? state.evacuated.insert(command.evacuation().data_centre()).second
                                          : state.evacuated.erase(command.evacuation().data_centre()) > 0;
    case wire::fleet_command::kFound:
        if (!state.founders.empty()) {
            return false;
        }
        for (const wire::member& one : command.found().founders()) {
            state.founders.push_back(decode_member(one));
        }
        return true;
    case wire::fleet_command::kRetire:
        return state.retiring.emplace(command.retire().name(), command.retire().endpoint()).second;
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
    for (const std::string& one : state.evacuated) {
        encoded.add_evacuated(one);
    }
    for (const consensus::member& one : state.founders) {
        encode_member(one, encoded.add_founders());
    }
    for (const auto& [name, endpoint] : state.retiring) {
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
    state.evacuated.insert(encoded.evacuated().begin(), encoded.evacuated().end());
    for (const wire::member& one : encoded.founders()) {
        state.founders.push_back(decode_member(one));
    }
    for (const wire::retire_store& one : encoded.retiring()) {
        state.retiring[one.name()] = one.endpoint();
    }
    return state;
}

std::vector<consensus::member> choose_founders(const std::map<std::string, store_view>& stores,
                                               std::size_t wanted)
{
    std::vector<consensus::member> chosen;
    std::map<std::string, std::size_t> places;
    // In rounds: at most one more member a data centre in each.
    for (std::size_t most = 1; most <= wanted && chosen.size() < wanted; ++most) {
        for (const auto& [endpoint, one] : stores) {
            const bool taken = std::any_of(chosen.begin(), chosen.end(),
                                           [&one](const auto& held) { return held.id == one.disk; });
            if (one.blank && !taken && places[one.data_centre] < most && chosen.size() < wanted) {
                ++places[one.data_centre];
                chosen.push_back({one.disk, one.name, one.endpoint, true, 0, one.data_centre});
            }
        }
    }
    return chosen.size() < wanted ? std::vector<consensus::member>{} : chosen;
}

retire_phase judge_retirement(const fleet_state& state, const std::map<std::string, store_view>& stores,
                              const std::string& name, std::size_t voters, time_point now)
{
    const store_view* leader = nullptr;
    std::size_t able = 0;
    bool known = state.retiring.contains(name);
    for (const auto& [endpoint, one] : stores) {
        const bool alive = now - one.heard_at < store_silence;
        if (one.leads && alive && (leader == nullptr || one.heard_at > leader->heard_at)) {
            leader = &one;
        }
        known = known || one.name == name;
        able += alive && one.name != name && !state.retiring.contains(one.name) ? 1 : 0;
    }
    if (!known) {
        return retire_phase::unknown;
    }
    if (!state.retiring.contains(name)) {
        return able >= voters ? retire_phase::possible : retire_phase::impossible;
    }
    if (leader == nullptr || !leader->silent_members.empty()) {
        return retire_phase::running;
    }
    const auto counted = std::count_if(leader->members.begin(), leader->members.end(),
                                       [](const consensus::member& one) { return one.voter; });
    const bool still_there = std::any_of(leader->members.begin(), leader->members.end(),
                                         [&name](const consensus::member& one) { return one.name == name; });
    const bool done = !still_there && static_cast<std::size_t>(counted) >= voters;
    return done ? retire_phase::completed : retire_phase::running;
}

} // namespace guavawick::core
