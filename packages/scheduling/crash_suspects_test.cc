// The runs that are suspected of a crash are those that were started last, and a suspect is not mixed with other new runs.

#include "scheduling/crash_suspects.h"

#include <catch2/catch.hpp>

namespace dragonflytray {

namespace {

    // CrashSuspectsFixture has one worker.
    struct CrashSuspectsFixture {
        CrashSuspectsFixture()
        {
            const DataCentreName dataCentre("rs-poa");
            this->fleet.updateList({ { { .id = WorkerId("w1"), .service = ServiceName("desk"), .endpoint = { "127.0.0.1", 1 }, .dataCentre = dataCentre, .labels = {}, .rack = "r1", .capacity = { 16000, 1000, 0 } } }, {}, true, 1 }, this->now);
        }

        FleetWorker& worker() { return *this->fleet.find(WorkerId("w1")); }

        static TaskId taskOf(std::uint32_t index) { return { JobId("00000000000000a1"), 0, 0, index }; }

        // addRun() adds a run whose start is confirmed.
        TaskRunId addRun(std::uint32_t index)
        {
            TaskRunId run { taskOf(index), 1 };
            this->fleet.allocate(this->worker(), run, { .need = { 1000, 0, 0 }, .firstConfirmedAt = this->now, .lastConfirmedAt = this->now });
            return run;
        }

        // report() handles a report that names all runs.
        std::vector<TaskRunId> report()
        {
            ++this->worker().reportCount;
            for (auto& [run, allocation] : this->worker().runs)
                allocation.lastReportNumber = this->worker().reportCount;
            return this->suspects.settle(this->worker(), this->now);
        }

        Instant now { std::chrono::hours(1) };
        CrashSuspects::Options options;
        CrashSuspects suspects { options };
        Fleet fleet { {}, { { DataCentreName("rs-poa"), CellName("whole") } } };
    };

} // namespace

TEST_CASE_METHOD(CrashSuspectsFixture, "CrashSuspects_reportWithinWindow_runIsNotSettled")
{
    const TaskRunId run = this->addRun(0);
    this->now += this->options.crashWindow - std::chrono::milliseconds(1);
    CHECK(this->report().empty());
    CHECK(this->suspects.exposedRunsOn(this->worker()) == std::vector<TaskRunId> { run });
}

TEST_CASE_METHOD(CrashSuspectsFixture, "CrashSuspects_reportAfterWindow_onlyReportedRunsAreSettled")
{
    const TaskRunId older = this->addRun(0);
    this->now += this->options.crashWindow;
    const TaskRunId newer = this->addRun(1);
    CHECK(this->report() == std::vector<TaskRunId> { older });
    CHECK(this->suspects.exposedRunsOn(this->worker()) == std::vector<TaskRunId> { newer });
}

TEST_CASE_METHOD(CrashSuspectsFixture, "CrashSuspects_contactLostAfterWindow_runIsNoSuspect")
{
    const TaskRunId older = this->addRun(0);
    this->now += this->options.crashWindow;
    const TaskRunId newer = this->addRun(1);
    this->worker().isSuspect = true;
    CHECK(this->suspects.exposedRunsOn(this->worker()) == std::vector<TaskRunId> { older, newer });
    this->worker().contactLostAt = this->now;
    CHECK(this->suspects.exposedRunsOn(this->worker()) == std::vector<TaskRunId> { newer });
}

TEST_CASE_METHOD(CrashSuspectsFixture, "CrashSuspects_leaseOfWorkerLapsed_suspectsAreKeptUntilItsAddressAnswers")
{
    const TaskRunId run = this->addRun(0);
    this->suspects.keepLapsed(this->worker(), this->now);
    FleetWorker other;
    other.entry.id = WorkerId("w2");
    other.entry.endpoint = { "127.0.0.1", 2 };
    CHECK(this->suspects.takeLapsed(other).empty());
    other.entry.endpoint = this->worker().entry.endpoint;
    const auto taken = this->suspects.takeLapsed(other);
    REQUIRE(taken.size() == 1);
    CHECK(taken.front().end.worker == WorkerId("w1"));
    CHECK(taken.front().end.exposedRuns == std::vector<TaskRunId> { run });
    CHECK(this->suspects.takeLapsed(other).empty());
}

TEST_CASE_METHOD(CrashSuspectsFixture, "CrashSuspects_startNotAnswered_isExposedOnlyIfConnectionBrokeSoonAfterIt")
{
    const TaskRunId run { taskOf(0), 1 };
    this->fleet.allocate(this->worker(), run, { .need = { 1000, 0, 0 }, .sentAt = this->now });
    CHECK(this->suspects.exposedRunsOn(this->worker()).empty());
    this->worker().isSuspect = true;
    CHECK(this->suspects.exposedRunsOn(this->worker()).empty());
    const Duration delay = GENERATE(-1, 0, 499, 500) * std::chrono::milliseconds(1);
    this->worker().contactLostAt = this->now + delay;
    const bool isSoonAfter = delay >= Duration(0) && delay < this->options.crashWindow;
    CHECK(this->suspects.exposedRunsOn(this->worker()).size() == (isSoonAfter ? 1 : 0));
}

TEST_CASE_METHOD(CrashSuspectsFixture, "CrashSuspects_sentAfterNextIncarnationBegan_runIsNotExposed")
{
    const TaskRunId run = this->addRun(0);
    this->worker().runs.at(run).sentAt = this->now;
    CHECK(this->suspects.endOf(this->worker(), this->now, this->now + std::chrono::milliseconds(1)).exposedRuns.size() == 1);
    CHECK(this->suspects.endOf(this->worker(), this->now, this->now).exposedRuns.empty());
}

TEST_CASE_METHOD(CrashSuspectsFixture, "CrashSuspects_endSoonAfterStart_isProofOnlyForRunsOfOneTask")
{
    this->addRun(0);
    this->worker().isSuspect = true;
    CHECK_FALSE(this->suspects.endOf(this->worker(), this->now, std::nullopt).isAlone);
    this->worker().contactLostAt = this->now + this->options.proofWindow - std::chrono::milliseconds(1);
    CHECK(this->suspects.endOf(this->worker(), this->now, std::nullopt).isAlone);
    this->addRun(1);
    CHECK_FALSE(this->suspects.endOf(this->worker(), this->now, std::nullopt).isAlone);
}

TEST_CASE_METHOD(CrashSuspectsFixture, "CrashSuspects_workerHasUnsettledRun_admitsNoSuspect")
{
    this->addRun(0);
    CHECK(this->suspects.admits(this->worker(), { taskOf(1), false }));
    CHECK_FALSE(this->suspects.admits(this->worker(), { taskOf(1), true }));
    this->now += this->options.crashWindow;
    this->report();
    CHECK(this->suspects.admits(this->worker(), { taskOf(1), true }));
}

TEST_CASE_METHOD(CrashSuspectsFixture, "CrashSuspects_workerIsIsolated_admitsNothingElseUntilSuspectSettles")
{
    this->suspects.isolate(WorkerId("w1"), taskOf(0));
    this->addRun(0);
    this->suspects.releaseWorkers(this->fleet, this->now);
    CHECK_FALSE(this->suspects.admits(this->worker(), { taskOf(1), false }));
    CHECK_FALSE(this->suspects.admits(this->worker(), { taskOf(1), true }));
    this->now += this->options.crashWindow;
    this->report();
    this->suspects.releaseWorkers(this->fleet, this->now);
    CHECK(this->suspects.admits(this->worker(), { taskOf(1), false }));
}

TEST_CASE_METHOD(CrashSuspectsFixture, "CrashSuspects_reservationTimesOut_workerIsReleased")
{
    this->suspects.reserve(WorkerId("w1"), taskOf(0), this->now);
    CHECK(this->suspects.hasReservation(taskOf(0)));
    this->suspects.releaseWorkers(this->fleet, this->now);
    CHECK_FALSE(this->suspects.admits(this->worker(), { taskOf(1), false }));
    this->now += this->options.reservationTimeout;
    this->suspects.releaseWorkers(this->fleet, this->now);
    CHECK_FALSE(this->suspects.hasReservation(taskOf(0)));
    CHECK(this->suspects.admits(this->worker(), { taskOf(1), false }));
}

TEST_CASE_METHOD(CrashSuspectsFixture, "CrashSuspects_quarterOfWorkersIsReserved_noMoreAreReserved")
{
    CHECK(this->suspects.mayReserve(1));
    this->suspects.reserve(WorkerId("w1"), taskOf(0), this->now);
    CHECK_FALSE(this->suspects.mayReserve(7));
    CHECK(this->suspects.mayReserve(8));
}

} // namespace dragonflytray
