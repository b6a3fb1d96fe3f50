#include "telemetry/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <limits>

namespace dragonflytray {

namespace {

    void encodeCounter(const Metric& metric, prometheus::ClientMetric& encoded)
    {
        encoded.counter.value = metric.value;
    }

    void encodeGauge(const Metric& metric, prometheus::ClientMetric& encoded)
    {
        encoded.gauge.value = metric.value;
    }

    void encodeHistogram(const Metric& metric, prometheus::ClientMetric& encoded)
    {
        encoded.histogram.sample_count = metric.histogram.count();
        encoded.histogram.sample_sum = metric.histogram.sumSeconds;
        for (std::size_t i = 0; i < metric.histogram.cumulative.size(); ++i) {
            const double bound = i < latencyBoundsInSeconds.size() ? latencyBoundsInSeconds.at(i) : std::numeric_limits<double>::infinity();
            encoded.histogram.bucket.push_back({ metric.histogram.cumulative.at(i), bound });
        }
    }

    using EncodeMetric = void (*)(const Metric&, prometheus::ClientMetric&);
    constexpr std::array<EncodeMetric, 3> encoders { &encodeCounter, &encodeGauge, &encodeHistogram };
    constexpr std::array<prometheus::MetricType, 3> metricTypes { prometheus::MetricType::Counter, prometheus::MetricType::Gauge, prometheus::MetricType::Histogram };

    prometheus::ClientMetric encodeMetric(const Metric& metric)
    {
        prometheus::ClientMetric encoded;
        encoded.label.reserve(metric.labels.size());
        for (const auto& [name, value] : metric.labels)
            encoded.label.push_back({ name, value });
        encoders[indexOf(metric.kind)](metric, encoded);
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
            family.type = metricTypes[indexOf(metric.kind)];
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
