// What a process needs of others, and whether it answers. Pure but for the log lines.
#pragma once

#include "base/clock_type.hpp"

#include <string>

namespace guavawick::gateway {

/// Another role, as this process last found it.
struct dependency {
    std::string name;
    bool available = true;      ///< as it was last logged
    time_point last_reply_at{}; ///< of its last answer; unset before the first
};

/// Notes an answer; logs if the dependency had been lost.
void record_reply(dependency& target, time_point now);
/// Notes that it does not answer; logs the first time. @param reason for the person on call.
void record_outage(dependency& target, const std::string& reason, time_point now);

} // namespace guavawick::gateway
