// What one host writes into the store another one must read back, also when they run different releases.

#include "entry/row_encoding.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace dragonflytray {

namespace {

    // RowEncodingFixture writes a row and reads it back.
    struct RowEncodingFixture {
        template <typename Row>
        static Row readBack(StoredRowKind kind, const Row& row)
        {
            const auto read = decodeRow(kind, encodeRow(row));
            REQUIRE(read);
            return std::get<Row>(*read);
        }

        JobProgress progress { .phase = JobPhase::Running, .epoch = 3, .generation = 9, .endedAt = 0, .stepProgress = { { 2, { .done = { true, false }, .failures = { { 1, { 4 } } }, .checkpoints = { { 1, "c" } }, .crashes = { { 0, { .runs = { 2 } } }, { 1, { .runs = { 3, 1004 }, .provenRuns = { 1004 }, .settledRun = 1 } }, { 2, { .settledRun = 7 } } } } } } };
        CellLease lease { .holder = HostName("entry-1"), .epoch = 3, .renewalCount = 9, .capacityMillicores = 64000, .labels = { "a" }, .unconfirmed = { { JobId("00000000000000a1"), 0, 1, 2 } }, .silentWorkers = { WorkerId("i-1") }, .rosterSize = 7, .isRosterComplete = true };
        Forecast forecast { .epoch = 3, .composedAt = 1780000000000, .services = { { ServiceName("desk"), { .millicores = 64000, .longestTaskMilliseconds = 900, .preceding = { { 0, 500, 40000, 4000, 256 }, { 1, 4000, 100, 500, 64 } } } } } };
    };

} // namespace

TEST_CASE_METHOD(RowEncodingFixture, "RowEncoding_lease_isReadBack")
{
    CHECK(this->readBack(StoredRowKind::CellLease, this->lease) == this->lease);
}

TEST_CASE_METHOD(RowEncodingFixture, "RowEncoding_roster_isReadBack")
{
    const WorkerRoster roster { { { WorkerId("i-1"), { { "10.1.1.1", 8080 }, { 64000, 256000, 0 } } }, { WorkerId("i-2"), { { "10.1.1.2", 8081 }, { 96000, 256000, 2 } } } } };
    CHECK(this->readBack(StoredRowKind::WorkerRoster, roster) == roster);
    CHECK(this->readBack(StoredRowKind::WorkerRoster, WorkerRoster {}) == WorkerRoster {});
    const EntryHost host { .dataCentre = DataCentreName("dc"), .agent = { "10.1.0.1", 7720 }, .linkMegabits = 20, .processorShare = 0.069 };
    CHECK(this->readBack(StoredRowKind::EntryHost, host) == host);
}

TEST_CASE_METHOD(RowEncodingFixture, "RowEncoding_rosterOfWorkersThatGetNoMoreTasks_tasksAreReadBack")
{
    const RosterEntry open { { "10.1.1.1", 8080 }, { 64000, 256000, 0 }, std::nullopt, std::nullopt };
    RosterEntry closed = open;
    closed.possibleTasks = { { JobId("00000000000000a1"), 0, 1, 2 }, { JobId("00000000000000a2"), 3, 0, 0 } };
    closed.maxLease = std::chrono::milliseconds(4200);
    RosterEntry exposed = closed;
    exposed.startedAt = 1772360382025;
    exposed.exposedRuns = { { { JobId("00000000000000a1"), 0, 1, 2 }, 1004 } };
    RosterEntry exposedWithoutLease = exposed;
    exposedWithoutLease.maxLease.reset();
    RosterEntry empty = open;
    empty.possibleTasks.emplace();
    const WorkerRoster roster { { { WorkerId("i-1"), open }, { WorkerId("i-2"), closed }, { WorkerId("i-3"), empty }, { WorkerId("i-4"), exposed }, { WorkerId("i-5"), exposedWithoutLease } } };
    CHECK(this->readBack(StoredRowKind::WorkerRoster, roster) == roster);
}

TEST_CASE_METHOD(RowEncodingFixture, "RowEncoding_progressWithCrashes_isReadBack")
{
    CHECK(this->readBack(StoredRowKind::Progress, this->progress) == this->progress);
}

TEST_CASE_METHOD(RowEncodingFixture, "RowEncoding_progressOfReleaseWithoutCrashes_isRead")
{
    nlohmann::json json = nlohmann::json::from_cbor(encodeRow(this->progress));
    REQUIRE(json.at("units").at(0).size() == 6);
    json.at("units").at(0).erase(5);
    json.at("units").at(0).erase(4);
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    const auto read = decodeRow(StoredRowKind::Progress, bytes);
    REQUIRE(read);
    JobProgress expected = this->progress;
    expected.stepProgress.at(2).crashes.clear();
    CHECK(std::get<JobProgress>(*read) == expected);
}

// Earlier releases write no roster, or keep it in another table, where neither release sees what the other one has written.
TEST_CASE_METHOD(RowEncodingFixture, "RowEncoding_leaseOfEarlierRelease_rosterIsIncomplete")
{
    const bool hasRosterElsewhere = GENERATE(false, true);
    nlohmann::json json = nlohmann::json::from_cbor(encodeRow(this->lease));
    REQUIRE(json.erase("rosters") == 1);
    json.erase("silent");
    CHECK_FALSE(json.contains("roster"));
    if (hasRosterElsewhere)
        json["roster"] = true;
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    const auto read = decodeRow(StoredRowKind::CellLease, bytes);
    REQUIRE(read);
    const CellLease& former = std::get<CellLease>(*read);
    CHECK_FALSE(former.isRosterComplete);
    CHECK(former.silentWorkers.empty());
    CHECK(former.epoch == this->lease.epoch);
}

// Hosts of the earlier release read only the fields that they know, and write no forecast.
TEST_CASE_METHOD(RowEncodingFixture, "RowEncoding_leaseWithForecast_isReadBackAndHasOneMoreField")
{
    const nlohmann::json former = nlohmann::json::from_cbor(encodeRow(this->lease));
    CHECK_FALSE(former.contains("forecast"));
    CellLease lease = this->lease;
    lease.forecast = this->forecast;
    CHECK(this->readBack(StoredRowKind::CellLease, lease) == lease);
    nlohmann::json json = nlohmann::json::from_cbor(encodeRow(lease));
    CHECK(json.erase("forecast") == 1);
    CHECK(json == former);
}

TEST_CASE_METHOD(RowEncodingFixture, "RowEncoding_deeplyNestedBytes_areUnreadable")
{
    const std::size_t depth = GENERATE(100'000, 10'000'000);
    for (const auto& kind : storedRowKindNames) {
        CHECK_FALSE(decodeRow(kind.value, std::string(depth, '\x81')));
        CHECK_FALSE(decodeRow(kind.value, std::string(depth, '\x7f')));
    }
}

} // namespace dragonflytray
