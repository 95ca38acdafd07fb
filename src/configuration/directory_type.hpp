// Types of the control group's state apart from the configuration: the upstream directory and quarantined
// requests.
#pragma once

#include "configuration/configuration_type.hpp"

namespace guavawick::configuration {

/// An upstream as announced by its sidecar.
struct upstream_record {
    upstream_name name;
    incarnation_id incarnation; ///< of its sidecar
    std::string endpoint;       ///< address of its sidecar's link
    data_centre_name data_centre;
    service_kind kind = service_kind::model;
    std::string serves;        ///< name of the model or service
    bool leaving = false;      ///< finishes its running calls, gets no new ones
    bool removed = false;      ///< the record is kept for a while so that subscribers receive the removal
    std::uint64_t version = 0; ///< directory version of the latest change

    /// Returns whether two records are equal apart from their versions.
    [[nodiscard]] bool equals_ignoring_version(const upstream_record& other) const
    {
        return name == other.name && incarnation == other.incarnation && endpoint == other.endpoint &&
               data_centre == other.data_centre && kind == other.kind && serves == other.serves &&
               leaving == other.leaving && removed == other.removed;
    }
};

/// Losses of upstreams while they ran requests with a certain body. Such a request may be what makes them
/// crash.
struct suspicion {
    std::set<incarnation_id> lost_incarnations; ///< lost while a request with the body ran there
    std::chrono::milliseconds last_loss_at{};   ///< group time of the latest loss
};

constexpr std::size_t quarantine_threshold = 2; ///< lost incarnations after which a body is refused
constexpr std::chrono::milliseconds quarantine_duration{60 * 60 * 1000}; ///< from the latest loss
constexpr std::size_t max_removed_upstreams = 8192; ///< removed records kept for subscribers that are behind

/// The control group's state apart from the configuration.
struct directory_state {
    std::chrono::milliseconds now{}; ///< group time
    std::uint64_t version = 0;       ///< incremented by every change of an upstream or a suspicion
    /// Changes up to this version can't be sent one by one; subscribers behind it get the whole directory.
    std::uint64_t compacted_version = 0;
    std::map<upstream_name, upstream_record> upstreams;
    std::map<body_hash, suspicion> suspicions;
};

} // namespace guavawick::configuration
