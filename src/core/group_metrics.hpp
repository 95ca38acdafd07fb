// Metrics of a consensus group, for every role that runs one.
#pragma once

#include "http/metrics_type.hpp"
#include "replica/group.hpp"
#include "wire/link_type.hpp"

namespace guavawick::core {

/// Registers the metrics of a group. @pre the group outlives the set.
void add_group_metrics(http::metric_set& metrics, const replica::group& group);

/// Registers the metrics of a link. @pre the link outlives the set.
void add_link_metrics(http::metric_set& metrics, const wire::link& link);

} // namespace guavawick::core
