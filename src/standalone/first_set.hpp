// Publishes the initial configuration of a standalone process.
#pragma once

#include "base/settings_type.hpp"
#include "runtime/worker_pool.hpp"

namespace guavawick {

/// Publishes the configuration file that the settings name, unless a configuration has been published before.
/// Blocks until the control group replies.
/// @throw settings_error if the file cannot be read, has faults or is refused. @throw link_error if the
/// control group does not reply in time.
void publish_initial_configuration(const settings& process_settings, runtime::worker_pool& pool);

} // namespace guavawick
