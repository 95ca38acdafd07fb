// What the services of both replicated groups of a fleet share: redirects and the group's clock.
#pragma once

#include "replica/group.hpp"
#include "wire.pb.h"

#include <functional>
#include <vector>

namespace guavawick::core {

/// Answers a request; called once, from any thread.
using reply_function = std::function<void(wire::envelope)>;

/// @return the answer that names the leader. @pre on the group's thread.
wire::envelope make_redirect(const replica::group& group);
/// Hands consensus messages and wishes to join to the group they are meant for.
/// @return whether the message was one of these.
bool receive_for_group(replica::group& group, const wire::envelope& message);

/// A clock that all members of a group carry on: it stands while nobody leads and never runs backwards.
struct group_clock {
    std::chrono::milliseconds base{}; ///< group time when this replica began to lead
    time_point since{};               ///< when that was

    /// @return the group's time at an instant. @pre this replica leads.
    [[nodiscard]] std::chrono::milliseconds at(time_point now) const
    {
        return base + std::chrono::milliseconds(to_ms(now - since));
    }
};

} // namespace guavawick::core
