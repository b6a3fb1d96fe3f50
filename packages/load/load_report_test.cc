#include "load/load_report.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    struct LoadReportFixture {
        LoadReport report;
    };

    TEST_CASE_METHOD(LoadReportFixture, "LoadReport_hundredAnswers_hasNearestRankQuantiles")
    {
        for (int i = 100; i >= 1; --i)
            this->report.add("quick", { LoadEnd::Answered, std::chrono::milliseconds(i), "" });

        const StreamReport* quick = this->report.find("quick");

        REQUIRE(quick);
        CHECK(quick->quantile(0.5) == std::chrono::milliseconds(50));
        CHECK(quick->quantile(0.99) == std::chrono::milliseconds(99));
        CHECK(quick->quantile(0.999) == std::chrono::milliseconds(100));
    }

    TEST_CASE_METHOD(LoadReportFixture, "LoadReport_refusals_areCountedByReason")
    {
        this->report.declare("quick", std::chrono::seconds(2));
        this->report.add("quick", { LoadEnd::NotRun, {}, "queue-full" });
        this->report.add("quick", { LoadEnd::Answered, std::chrono::milliseconds(1), "" });

        const auto json = this->report.json();

        CHECK(json["quick"]["reasons"]["queue-full"] == 1);
        CHECK(json["quick"]["goodputPerSecond"] == 0.5);
    }

} // namespace
} // namespace dragonflytray
