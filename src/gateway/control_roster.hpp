// What a gateway knows of the control group's members, from the reports of control replicas.
#pragma once

#include "base/clock_type.hpp"

#include <map>
#include <set>
#include <string>

namespace guavawick::wire {
class control_hello;
}

namespace guavawick::gateway {

/// The members of the control group as one replica reported them.
struct control_report {
    std::set<std::string> members; ///< their link endpoints; empty from a replica that knows none
    time_point reported_at{};      ///< when it reported them, or that they are unchanged
};

/// The newest report of each control replica, by its link endpoint. Thread safety: none.
struct control_roster {
    std::map<std::string, control_report> reports;
};

/// Records a replica's report.
void record_report(control_roster& roster, const wire::control_hello& hello, time_point now);

/// @return the link endpoints that at least half of the lately received reports name. A replica that the
/// group has removed still reports former members.
std::set<std::string> list_members(const control_roster& roster, time_point now);

} // namespace guavawick::gateway
