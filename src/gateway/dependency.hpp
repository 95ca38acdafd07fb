// Availability of the other roles that a process depends on. Pure but for the log lines.
#pragma once

#include "base/clock_type.hpp"

#include <string>

namespace guavawick::gateway {

/// Another role of the system and its last known availability.
struct dependency {
    std::string name;
    bool available = true;      ///< as logged last
    time_point last_reply_at{}; ///< time_point{} before the first reply
};

/// Records a reply of the dependency; logs if it was unavailable.
void record_reply(dependency& target, time_point now);
/// Records that the dependency does not reply; logs the first time.
/// @param reason for the operator, in the log line.
void record_outage(dependency& target, const std::string& reason, time_point now);

} // namespace guavawick::gateway
