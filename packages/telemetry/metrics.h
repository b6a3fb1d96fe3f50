#pragma once

// Metrics: each duty hands over whole snapshots of its counters and gauges; one board keeps the latest
// of each and renders them in the Prometheus text format. Counters are cumulative, so a snapshot that
// is dropped loses nothing.
//
// Example:
//
//     MetricsBoard board;
//     board.update({ .duty = "routing", .metrics = { { "dragonflytray_answered_total", MetricKind::Counter, {}, 7 } } });
//     std::string text = board.render();

#include "base/base.h"
#include "model/model.h"
#include <map>
#include <string>
#include <vector>

namespace dragonflytray {

// MetricKind is the type that the text format gives to a metric.
enum class MetricKind {
    Counter,
    Gauge,
    Histogram, // in seconds
};

// Metric is one value with its labels.
struct Metric {
    std::string name;
    MetricKind kind { MetricKind::Gauge };
    std::map<std::string, std::string> labels;
    double value { 0 }; // of a counter or gauge
    LatencyHistogram histogram {}; // of a histogram
};

// MetricsSnapshot is everything that one duty reports.
struct MetricsSnapshot {
    std::string duty;
    std::vector<Metric> metrics;
};

// appendRefusals() adds one counter for each refusal reason, zero ones included.
void appendRefusals(std::vector<Metric>& metrics, const std::string& work, const RefusalCounts& counts);

// appendRetries() adds one counter for each retry reason, zero ones included.
void appendRetries(std::vector<Metric>& metrics, const std::string& work, const RetryCounts& counts);

// MetricsBoard keeps the latest snapshot of each duty. Not thread-safe.
class MetricsBoard {
public:
    // update() replaces the snapshot of one duty.
    void update(MetricsSnapshot snapshot);

    // render() is the text of all metrics.
    std::string render() const;

private:
    std::map<std::string, MetricsSnapshot> snapshots;
};

} // namespace dragonflytray
