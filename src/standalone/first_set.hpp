// Publishes the settings' configuration file at the first start of a standalone process.
#pragma once

#include "base/settings_type.hpp"
#include "runtime/worker_pool.hpp"

namespace guavawick {

/// Publishes the set if the revision is 0. @throw settings_error if the set has faults or is refused.
void publish_initial_configuration(const settings& given, runtime::worker_pool& pool);

} // namespace guavawick
