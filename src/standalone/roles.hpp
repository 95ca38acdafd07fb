// Runs one role, or all roles in one process, from start to graceful shutdown.
#pragma once

#include "base/settings_type.hpp"

namespace guavawick {

/// Runs until a stop signal arrives, then completes the running work and stops. Blocks. @return the process's
/// exit code.
int run_process(const settings& file_settings, role_kind role);

} // namespace guavawick
