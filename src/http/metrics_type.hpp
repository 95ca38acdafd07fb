// The metrics of a process, exported in the Prometheus text format.
#pragma once

#include "http/http_type.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace guavawick::http {

/// One metric, whose value is read when the metrics are requested.
struct metric_definition {
    std::string name; ///< with its unit as suffix; a counter ends in `_total`
    std::string help;
    bool is_counter = false;       ///< false: a gauge
    std::function<double()> value; ///< thread safe
    std::string label;             ///< value of the label `name`; empty: no label
};

struct metric_registry;

/// The metrics of a process. Thread safety: every function from any thread.
class metric_set {
public:
    metric_set();
    ~metric_set();
    metric_set(const metric_set&) = delete;
    metric_set& operator=(const metric_set&) = delete;
    /// Adds a metric.
    void add(metric_definition definition);
    /// @return all metrics in the Prometheus text format.
    std::string prometheus_text();

private:
    std::unique_ptr<metric_registry> registry_;
};

/// Makes a handler that serves /metrics and /healthz. @pre `metrics` outlives the server.
handler make_metrics_handler(metric_set& metrics);

} // namespace guavawick::http
