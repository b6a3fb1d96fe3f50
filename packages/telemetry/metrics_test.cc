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

} // namespace
} // namespace dragonflytray
