// Runs a role, or all of them in one process, from start to graceful shutdown.
#pragma once

#include "base/settings_type.hpp"

namespace guavawick {

/// Runs until a stop signal, then finishes running work. @return the exit code.
int run_process(const settings& given, role_kind role);

} // namespace guavawick
