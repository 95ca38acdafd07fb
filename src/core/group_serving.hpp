// What control replicas and ledger replicas share: dispatch of messages to a consensus group, redirects to
// its leader, and the group's clock.
#pragma once

#include "replica/group.hpp"
#include "replica/redirect_func.hpp"
#include "wire.pb.h"

#include <functional>
#include <vector>

namespace guavawick::core {

/// Sends the reply to a request. Called at most once, from any thread.
using reply_function = std::function<void(wire::envelope)>;

using replica::make_redirect;
/// Passes a consensus message or a join request to the group if it is addressed to that group.
/// @return whether the message was of one of these kinds.
bool dispatch_to_group(replica::group& group, const wire::envelope& message);

/// Clock of a group that continues across leaders: it stops while there is no leader and never runs
/// backwards.
struct group_clock {
    std::chrono::milliseconds base{}; ///< group time at which this replica became leader
    time_point leader_since{};        ///< local time at which this replica became leader

    /// @return the group time at a local time. @pre this replica leads.
    [[nodiscard]] std::chrono::milliseconds at(time_point now) const
    {
        return base + std::chrono::milliseconds(to_ms(now - leader_since));
    }
};

} // namespace guavawick::core
