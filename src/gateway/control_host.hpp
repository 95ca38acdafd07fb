// A replica of the control group inside a gateway, for fleets that have fewer control replicas than must
// survive.
#pragma once

#include "core/control_process.hpp"

#include <memory>
#include <set>
#include <string>

namespace guavawick::gateway {

/// @param endpoints links of the control group's members, as control reports them.
/// @param own_link link that a replica on this instance has. @param tolerated_failures of the fleet.
/// @return whether the group needs a replica here: it has too few members, or one of them is a former replica
/// of this instance. An instance holds one replica at most, as its loss would otherwise count twice.
bool needs_control_replica(const std::set<std::string>& endpoints, const std::string& own_link,
                           std::size_t tolerated_failures);

/// Runs a replica of the control group once the group needs it, and after each restart. It is a full replica,
/// except that upstreams and operators don't call it.
/// Thread safety: consider() on the pool's thread, the rest by the thread that owns the gateway.
class control_host {
public:
    /// @param settings of the gateway. Without a data folder or a replica link nothing is hosted.
    control_host(const core::fleet_settings& settings, runtime::worker_pool& pool);
    ~control_host();
    /// Starts the replica if the data folder holds one.
    void start();
    /// Starts the replica if the group has needed it for some time or has a former one of this instance, or
    /// if the data folder holds one whose last start failed.
    /// @param endpoints as reported by control; empty while nothing is known of the group.
    void consider(const std::set<std::string>& endpoints, time_point now);
    void set_seeds(const std::vector<std::string>& seeds);
    /// Transfers leadership, then stops for good.
    void stop();
    /// Closes the links. @pre stop() returned and the pool's threads have stopped.
    void close();

private:
    void run_replica(time_point now);

    core::fleet_settings settings_;
    runtime::worker_pool& pool_;
    time_point needed_since_{};
    std::mutex mutex_; ///< guards the members below; held while the replica starts and stops. The locks of
                       ///< the replica are taken while it is held.
    std::unique_ptr<core::control_process> replica_;
    time_point next_start_{}; ///< no start is tried before this time
    bool is_ended_;           ///< no replica starts any more, or the instance has no disk
};

} // namespace guavawick::gateway
