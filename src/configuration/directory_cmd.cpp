// Commands on the upstream directory and on quarantined requests.
#include "configuration/directory_func.hpp"

#include <algorithm>

namespace guavawick::configuration {
namespace {

void drop_removed_upstreams(directory_state& state)
{
    const auto removed_count = std::count_if(state.upstreams.begin(), state.upstreams.end(),
                                             [](const auto& item) { return item.second.removed; });
    if (static_cast<std::size_t>(removed_count) <= max_removed_upstreams) {
        return;
    }
    std::erase_if(state.upstreams, [](const auto& item) { return item.second.removed; });
    state.compacted_version = state.version;
}

} // namespace

bool announce(directory_state& state, upstream_record record)
{
    const auto found = state.upstreams.find(record.name);
    const bool known = found != state.upstreams.end();
    if (record.removed && (!known || found->second.incarnation != record.incarnation)) {
        return false; // the upstream has restarted under a new incarnation
    }
    if (known && found->second.equals_ignoring_version(record)) {
        return false;
    }
    record.version = ++state.version;
    const upstream_name name = record.name;
    state.upstreams[name] = std::move(record);
    drop_removed_upstreams(state);
    return true;
}

std::vector<body_hash> record_loss(directory_state& state, const upstream_name& upstream,
                                   incarnation_id incarnation, const std::vector<body_hash>& running)
{
    std::vector<body_hash> quarantined;
    for (const body_hash body : running) {
        suspicion& body_suspicion = state.suspicions[body];
        if (!body_suspicion.lost_incarnations.insert(incarnation).second) {
            continue;
        }
        body_suspicion.last_loss_at = state.now;
        ++state.version;
        if (body_suspicion.lost_incarnations.size() == quarantine_threshold) {
            quarantined.push_back(body);
        }
    }
    const auto found = state.upstreams.find(upstream);
    if (found != state.upstreams.end() && found->second.incarnation == incarnation) {
        found->second.version = ++state.version;
    }
    return quarantined;
}

void clear_suspicion(directory_state& state, body_hash body)
{
    const auto found = state.suspicions.find(body);
    if (found != state.suspicions.end() && found->second.lost_incarnations.size() < quarantine_threshold) {
        state.suspicions.erase(found);
        ++state.version;
    }
}

void lift_quarantine(directory_state& state, body_hash body)
{
    if (state.suspicions.erase(body) != 0) {
        ++state.version;
    }
}

bool has_expired_suspicion(const directory_state& state, std::chrono::milliseconds now)
{
    return std::any_of(state.suspicions.begin(), state.suspicions.end(), [now](const auto& item) {
        return item.second.last_loss_at + quarantine_duration <= now;
    });
}

void drop_expired_suspicions(directory_state& state)
{
    const std::size_t dropped = std::erase_if(state.suspicions, [&](const auto& item) {
        return item.second.last_loss_at + quarantine_duration <= state.now;
    });
    state.version += dropped != 0 ? 1 : 0;
}

} // namespace guavawick::configuration
