// Figures of a consensus group, for every role that has one.
#pragma once

#include "http/metrics_type.hpp"
#include "replica/group.hpp"

namespace guavawick::core {

/// Adds a group's figures. @pre the group outlives the set.
void add_group_metrics(http::metric_set& metrics, const replica::group& from);

} // namespace guavawick::core
