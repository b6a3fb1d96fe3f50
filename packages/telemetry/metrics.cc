#include "telemetry/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace dragonflytray {

namespace {

    prometheus::ClientMetric encodeMetric(const Metric& metric)
    {
        prometheus::ClientMetric encoded;
        encoded.label.reserve(metric.labels.size());
        for (const auto& [name, value] : metric.labels)
            encoded.label.push_back({ name, value });
        if (metric.kind == MetricKind::Counter)
            encoded.counter.value = metric.value;
        else
            encoded.gauge.value = metric.value;
        return encoded;
    }

} // namespace

void appendRefusals(std::vector<Metric>& metrics, const std::string& work, const RefusalCounts& counts)
{
    for (const auto& entry : refusalReasonNames)
        metrics.push_back({ "dragonflytray_refusals_total", MetricKind::Counter, { { "work", work }, { "reason", std::string(entry.name) } }, static_cast<double>(counts[entry.value]) });
}

void appendRetries(std::vector<Metric>& metrics, const std::string& work, const RetryCounts& counts)
{
    for (const auto& entry : retryReasonNames)
        metrics.push_back({ "dragonflytray_retries_total", MetricKind::Counter, { { "work", work }, { "reason", std::string(entry.name) } }, static_cast<double>(counts[entry.value]) });
}

void MetricsBoard::update(MetricsSnapshot snapshot)
{
    this->snapshots[snapshot.duty] = std::move(snapshot);
}

std::string MetricsBoard::render() const
{
    std::map<std::string, prometheus::MetricFamily> families;
    for (const auto& [duty, snapshot] : this->snapshots) {
        for (const Metric& metric : snapshot.metrics) {
            prometheus::MetricFamily& family = families[metric.name];
            family.name = metric.name;
            family.type = metric.kind == MetricKind::Counter ? prometheus::MetricType::Counter : prometheus::MetricType::Gauge;
            family.metric.push_back(encodeMetric(metric));
        }
    }
    std::vector<prometheus::MetricFamily> ordered;
    ordered.reserve(families.size());
    for (auto& [name, family] : families)
        ordered.push_back(std::move(family));
    return prometheus::TextSerializer().Serialize(ordered);
}

} // namespace dragonflytray
