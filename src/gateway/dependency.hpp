// What a process needs of others, and whether it answers. Pure but for the log lines.
#pragma once

#include "base/clock_type.hpp"

#include <string>

namespace guavawick::gateway {

/// Another role, as this process last found it.
struct dependency {
    std::string name;
    bool answers = true;   ///< as it was last logged
    time_point heard_at{}; ///< of its last answer; unset before the first
};

/// Notes an answer; logs if the dependency had been lost.
void note_answer(dependency& known, time_point now);
/// Notes that it does not answer; logs the first time. @param reason for the person on call.
void note_silence(dependency& known, const std::string& reason, time_point now);

} // namespace guavawick::gateway
