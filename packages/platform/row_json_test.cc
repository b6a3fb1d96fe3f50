#include "platform/internal/row_json.h"

#include <catch2/catch.hpp>

namespace dragonflytray::internal {
namespace {

    struct RowJsonFixture {
        // roundTrip() reads back what would be written.
        std::optional<RowChange> roundTrip(const RowKey& key, const TableRow& row) const
        {
            return decodeRow({ { "key", formatKey(key) }, { "version", 7 }, { "transaction", "t" }, { "value", encodeRow(row) } });
        }
    };

    TEST_CASE_METHOD(RowJsonFixture, "RowJson_job_isReadBackWhole")
    {
        Job job;
        job.id = JobId("a/b");
        job.need = { 1.5, 2, 1 };
        job.state = JobState::Evicting;
        job.declaredRunTime = std::chrono::milliseconds(1500);
        job.isCancelRequested = true;
        job.failedOn = { HostName("w1"), HostName("w2") };

        auto change = this->roundTrip({ RowKind::Job, "a/b" }, job);

        REQUIRE(change);
        const Job& read = std::get<Job>(*change->value);
        CHECK(read.id == job.id);
        CHECK(read.need == job.need);
        CHECK(read.state == job.state);
        CHECK(read.declaredRunTime == job.declaredRunTime);
        CHECK(read.isCancelRequested);
        CHECK(read.failedOn == job.failedOn);
        CHECK(change->version == 7);
    }

    TEST_CASE_METHOD(RowJsonFixture, "RowJson_unknownState_isRejected")
    {
        nlohmann::json value = encodeRow(Job {});
        value["state"] = "sleeping";

        CHECK_FALSE(decodeRow({ { "key", "job/a" }, { "version", 1 }, { "value", value } }));
    }

} // namespace
} // namespace dragonflytray::internal
