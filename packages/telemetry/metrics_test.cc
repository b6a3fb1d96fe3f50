#include "telemetry/telemetry.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    struct MetricsBoardFixture {
        MetricsBoard board;
    };

    TEST_CASE_METHOD(MetricsBoardFixture, "MetricsBoard_refusals_showEveryReason")
    {
        RefusalCounts counts;
        counts[RefusalReason::QueueFull] = 3;
        MetricsSnapshot snapshot { "routing", {} };
        appendRefusals(snapshot.metrics, "request", counts);

        this->board.update(std::move(snapshot));

        const std::string text = this->board.render();
        CHECK(text.find(R"(dragonflytray_refusals_total{reason="queue-full",work="request"} 3)") != std::string::npos);
        CHECK(text.find(R"(reason="team-quota",work="request"} 0)") != std::string::npos);
    }

    TEST_CASE_METHOD(MetricsBoardFixture, "MetricsBoard_histogram_showsCumulativeBuckets")
    {
        LatencyHistogram histogram;
        histogram.record(std::chrono::milliseconds(7));
        histogram.record(std::chrono::milliseconds(80));
        histogram.record(std::chrono::seconds(30));

        this->board.update({ "scheduling", { { "dragonflytray_stage_seconds", MetricKind::Histogram, { { "stage", "wait" } }, 0, histogram } } });

        const std::string text = this->board.render();
        CHECK(text.find(R"(dragonflytray_stage_seconds_bucket{stage="wait",le="0.01"} 1)") != std::string::npos);
        CHECK(text.find(R"(dragonflytray_stage_seconds_bucket{stage="wait",le="0.1"} 2)") != std::string::npos);
        CHECK(text.find(R"(dragonflytray_stage_seconds_bucket{stage="wait",le="+Inf"} 3)") != std::string::npos);
        CHECK(text.find(R"(dragonflytray_stage_seconds_count{stage="wait"} 3)") != std::string::npos);
    }

} // namespace
} // namespace dragonflytray
