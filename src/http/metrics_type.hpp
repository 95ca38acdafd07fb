// Metrics of a process, in Prometheus text.
#pragma once

#include "http/http_type.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace guavawick::http {

/// One figure that is read when the metrics are asked for.
struct metric_definition {
    std::string name; ///< with unit suffix, or `_total` for counters
    std::string help;
    bool counter = false;          ///< false: a gauge
    std::function<double()> value; ///< thread safe
    std::string label;             ///< value of the label `name`, empty for none
};

struct metric_registry;

/// The figures of a process. Thread safety: every function from any thread.
class metric_set {
public:
    metric_set();
    ~metric_set();
    metric_set(const metric_set&) = delete;
    metric_set& operator=(const metric_set&) = delete;
    /// Adds a figure.
    void add(metric_definition row);
    /// @return all figures as Prometheus text.
    std::string prometheus_text();

private:
    std::unique_ptr<metric_registry> registry_;
};

/// Makes a handler that serves /metrics and /healthz. @pre the set outlives the server.
handler make_metrics_handler(metric_set& metrics);

} // namespace guavawick::http
