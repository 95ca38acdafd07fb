// Metrics of a process, in Prometheus text.
#include "http/metrics_type.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <mutex>

namespace guavawick::http {

/// The library's registry beside the functions that feed it.
struct metric_registry {
    std::mutex mutex; ///< guards the figures while they are brought up to date
    prometheus::Registry registry;
    std::vector<std::function<void()>> updates;
};

metric_set::metric_set() : registry_(std::make_unique<metric_registry>()) {}

metric_set::~metric_set() = default;

void metric_set::add(metric_definition row)
{
    const std::map<std::string, std::string> labels =
        row.label.empty() ? std::map<std::string, std::string>{}
                          : std::map<std::string, std::string>{{"name", row.label}};
    const std::lock_guard lock(registry_->mutex);
    if (row.counter) {
        prometheus::Counter& held = prometheus::BuildCounter()
                                        .Name(row.name)
                                        .Help(row.help)
                                        .Register(registry_->registry)
                                        .Add(labels);
        registry_->updates.push_back(
            [&held, value = std::move(row.value)] { held.Increment(value() - held.Value()); });
        return;
    }
    prometheus::Gauge& held =
        prometheus::BuildGauge().Name(row.name).Help(row.help).Register(registry_->registry).Add(labels);
    registry_->updates.push_back([&held, value = std::move(row.value)] { held.Set(value()); });
}

std::string metric_set::prometheus_text()
{
    const std::lock_guard lock(registry_->mutex);
    for (const auto& update : registry_->updates) {
        update();
    }
    return prometheus::TextSerializer().Serialize(registry_->registry.Collect());
}

handler make_metrics_handler(metric_set& metrics)
{
    return [&metrics](request& received, responder& out) -> boost::asio::awaitable<void> {
        const bool asks_metrics = received.target == "/metrics";
        const bool asks_health = received.target == "/healthz";
        const int status = asks_metrics || asks_health ? 200 : 404;
        co_await out.send(make_response(status, "text/plain; version=0.0.4",
                                        asks_metrics  ? metrics.prometheus_text()
                                        : asks_health ? "ok\n"
                                                      : "not found\n"));
    };
}

} // namespace guavawick::http
