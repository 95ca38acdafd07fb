// The metrics of a process, exported in the Prometheus text format.
#include "http/metrics_type.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <mutex>

namespace guavawick::http {

/// The Prometheus registry and the functions that update its metrics.
struct metric_registry {
    std::mutex mutex; ///< guards the members below; held while the metrics are updated and serialised
    prometheus::Registry registry;
    std::vector<std::function<void()>> updates;
};

metric_set::metric_set() : registry_(std::make_unique<metric_registry>()) {}

metric_set::~metric_set() = default;

void metric_set::add(metric_definition definition)
{
    const std::map<std::string, std::string> labels =
        definition.label.empty() ? std::map<std::string, std::string>{}
                                 : std::map<std::string, std::string>{{"name", definition.label}};
    const std::lock_guard lock(registry_->mutex);
    if (definition.is_counter) {
        prometheus::Counter& counter = prometheus::BuildCounter()
                                           .Name(definition.name)
                                           .Help(definition.help)
                                           .Register(registry_->registry)
                                           .Add(labels);
        registry_->updates.push_back([&counter, value = std::move(definition.value)] {
            counter.Increment(value() - counter.Value());
        });
        return;
    }
    prometheus::Gauge& gauge = prometheus::BuildGauge()
                                   .Name(definition.name)
                                   .Help(definition.help)
                                   .Register(registry_->registry)
                                   .Add(labels);
    registry_->updates.push_back([&gauge, value = std::move(definition.value)] { gauge.Set(value()); });
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
    return [&metrics](request& received, responder& responder) -> boost::asio::awaitable<void> {
        const bool is_metrics_request = received.target == "/metrics";
        const bool is_health_request = received.target == "/healthz";
        const int status = is_metrics_request || is_health_request ? 200 : 404;
        // Built outside of the co_await expression, in which GCC 12 destroys conditional temporaries twice.
        std::string text = "not found\n";
        if (is_metrics_request) {
            text = metrics.prometheus_text();
        }
        else if (is_health_request) {
            text = "ok\n";
        }
        response answer = make_response(status, "text/plain; version=0.0.4", std::move(text));
        co_await responder.send(std::move(answer));
    };
}

} // namespace guavawick::http
