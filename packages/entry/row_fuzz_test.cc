// Seeded damage to stored rows: no exception may escape, and a row that is decoded must be one that can be written again.
// A failure names the seed of the row.

#include "entry/row_encoding.h"

#include "json/json.h"
#include "json/message_mutator.h"
#include "json/number_limits.h"
#include <catch2/catch.hpp>

namespace dragonflytray {

namespace {

    constexpr std::uint64_t rowsOfAKind = 3000;
    constexpr std::uint64_t firstSeed = 20261205;

    // DamagedRowFixture holds one row of each kind.
    class DamagedRowFixture {
    protected:
        static std::string damagedBytes(const StoredRow& row, MessageMutator& mutator)
        {
            const std::string bytes = encodeRow(row);
            const std::size_t kind = mutator.randomBelow(3); // structure, bytes, or both
            if (kind == 1)
                return mutator.damageBytes(bytes);
            nlohmann::json json = nlohmann::json::from_cbor(bytes);
            mutator.damage(json);
            std::string damaged;
            nlohmann::json::to_cbor(json, damaged);
            return kind == 0 ? damaged : mutator.damageBytes(damaged);
        }

        static void checkRow(StoredRowKind kind, const std::string& bytes)
        {
            std::optional<StoredRow> row;
            REQUIRE_NOTHROW(row = decodeRow(kind, bytes));
            if (!row)
                return;
            const std::string written = encodeRow(*row);
            const auto again = decodeRow(kind, written);
            REQUIRE(again);
            CHECK(encodeRow(*again) == written);
        }

        static JobDefinition definition()
        {
            JobDefinition job { .id = JobId("5c0e7a21d94b36f8"), .queue = {}, .spec = "text", .steps = {}, .repetitions = 2, .firstDue = 1780000000000, .interval = std::chrono::seconds(5), .cell = CellName("c"), .acceptedAt = 1780000000000 };
            job.queue = { .name = QueueName("q"), .host = "desk.example", .pathPrefix = "/q/", .service = ServiceName("s"), .priority = 1, .maxAttempts = 2, .slackFactor = 1.5, .targetLatency = std::chrono::milliseconds(600), .needsAdvice = true };
            job.steps.push_back({ .count = 4, .need = { 500, 256, 1 }, .estimate = std::chrono::milliseconds(900), .requiredLabel = "a", .nearLabel = "r1", .maxPerWorker = 2 });
            job.steps.push_back({ .count = 20, .need = { 500, 256, 1 }, .after = { 0 }, .isLongRunning = true, .disruptionBudget = 3, .image = ImageName("x"), .latencyTarget = std::chrono::milliseconds(18) });
            return job;
        }

        static JobProgress progress()
        {
            JobProgress progress { .phase = JobPhase::Running, .epoch = 3, .generation = 9, .endedAt = 0 };
            progress.stepProgress[1] = { .done = { true, false }, .failures = { { 1, { 1001, 1003 } } }, .checkpoints = { { 1, "0b" } } };
            return progress;
        }

        const std::map<StoredRowKind, StoredRow> rows {
            { StoredRowKind::Definition, definition() },
            { StoredRowKind::Progress, progress() },
            { StoredRowKind::Cancellation, CancellationRequest { 1780000000000 } },
            { StoredRowKind::CellLease, CellLease { .holder = HostName("entry-1"), .epoch = 3, .renewalCount = 9, .capacityMillicores = 64000, .labels = { "a" }, .unconfirmed = { { JobId("00000000000000a1"), 0, 1, 2 } }, .silentWorkers = { WorkerId("i-1") }, .rosterSize = 7, .isRosterComplete = true, .forecast = Forecast { .epoch = 3, .composedAt = 1780000000000, .services = { { ServiceName("s"), { .millicores = 64000, .longestTaskMilliseconds = 900, .preceding = { { 1, 4000, 100, 500, 64 } } } } } } } },
            { StoredRowKind::WorkerRoster, WorkerRoster { { { WorkerId("i-1"), { { "10.1.1.1", 8080 }, { 64000, 256000, 0 }, std::set<TaskId> { { JobId("00000000000000a1"), 0, 1, 2 } } } } } } },
            { StoredRowKind::EntryHost, EntryHost { .dataCentre = DataCentreName("dc"), .agent = { "10.1.0.1", 7720 }, .linkMegabits = 20, .processorShare = 0.069 } },
        };
    };

} // namespace

TEST_CASE_METHOD(DamagedRowFixture, "DecodeRow_damagedRows_areUnreadableOrCanBeWrittenAgain")
{
    REQUIRE(this->rows.size() == storedRowKindNames.size());
    for (const auto& [kind, row] : this->rows) {
        for (std::uint64_t seed = firstSeed; seed < firstSeed + rowsOfAKind; ++seed) {
            INFO(storedRowKindNames.nameOf(kind) << ", seed " << seed);
            MessageMutator mutator(seed);
            checkRow(kind, damagedBytes(row, mutator));
        }
    }
}

// A number that is cut to the size of its field names another step, task or run.
TEST_CASE_METHOD(DamagedRowFixture, "DecodeRow_numberOutsideItsField_isUnreadable")
{
    for (const auto& [kind, row] : this->rows) {
        const nlohmann::json valid = nlohmann::json::from_cbor(encodeRow(row)).flatten();
        for (const auto& [path, value] : valid.items()) {
            if (!value.is_number())
                continue;
            for (const nlohmann::json& number : { nlohmann::json(1e20), nlohmann::json(-1e20), nlohmann::json(-1), nlohmann::json(std::numeric_limits<std::uint64_t>::max()), nlohmann::json(std::numeric_limits<double>::quiet_NaN()) }) {
                INFO(storedRowKindNames.nameOf(kind) << path << " " << number);
                nlohmann::json damaged = valid;
                damaged[path] = number;
                std::string bytes;
                nlohmann::json::to_cbor(damaged.unflatten(), bytes);
                CHECK_FALSE(decodeRow(kind, bytes));
            }
        }
    }
}

} // namespace dragonflytray
