// Types of the control group's state beside the configuration: the upstream directory and quarantined
// requests.
#pragma once

#include "configuration/configuration_type.hpp"

namespace guavawick::configuration {

/// One announced upstream.
struct upstream_record {
    upstream_name name;
    incarnation_id incarnation; ///< of its sidecar
    std::string endpoint;       ///< of its sidecar's link
    data_centre_name data_centre;
    service_kind kind = service_kind::model;
    std::string serves;        ///< the model's or the service's name
    bool leaving = false;      ///< finishes its work, takes nothing new
    bool removed = false;      ///< gone; kept for a while so that others hear of it
    std::uint64_t version = 0; ///< directory version at which it last changed

    /// Tells whether an announcement says nothing new.
    [[nodiscard]] bool equals_ignoring_version(const upstream_record& other) const
    {
        return name == other.name && incarnation == other.incarnation && endpoint == other.endpoint &&
               data_centre == other.data_centre && kind == other.kind && serves == other.serves &&
               leaving == other.leaving && removed == other.removed;
    }
};

/// Losses of upstreams that a request's body was running at.
struct suspicion {
    std::set<incarnation_id> lost_incarnations; ///< incarnations that were lost while it ran there
    std::chrono::milliseconds last_loss_at{};   ///< group time of the newest loss
};

constexpr std::size_t quarantine_threshold = 2; ///< losses after which a body is refused
constexpr std::chrono::milliseconds quarantine_duration{60 * 60 * 1000}; ///< a quarantine ends after this
constexpr std::size_t max_removed_upstreams = 8192; ///< removed records kept for slow readers

/// The directory's part of the control group's state.
struct directory_state {
    std::chrono::milliseconds now{};     ///< group time
    std::uint64_t version = 0;           ///< rises with every change of an upstream or a suspicion
    std::uint64_t compacted_version = 0; ///< changes up to this version can't be told one by one
    std::map<upstream_name, upstream_record> upstreams;
    std::map<body_hash, suspicion> suspicions;
};

} // namespace guavawick::configuration
