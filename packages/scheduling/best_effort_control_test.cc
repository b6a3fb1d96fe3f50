#include "scheduling/best_effort_control.h"

#include <array>
#include <catch2/catch.hpp>

namespace dragonflytray {

namespace {

    constexpr int fullSpeed = 100;

    // BestEffortControlFixture simulates the reports of one worker whose serving task is slowed only by image "heavy".
    class BestEffortControlFixture {
    protected:
        BestEffortControlFixture()
        {
            this->worker.entry.capacity = { 64000, 256000, 0 };
            this->add(this->worker, "serving", { .need = { 12000, 1000, 0 }, .isServing = true, .latencyTarget = std::chrono::milliseconds(18), .image = ImageName("serving") });
        }

        void add(FleetWorker& to, const std::string& job, RunAllocation allocation)
        {
            this->fleet.allocate(to, { { JobId(job), 0, 0, 0 }, 1 }, allocation);
            this->control.summarizeServing(to);
        }

        RunAllocation& runOf(const std::string& job) { return this->worker.runs.at({ { JobId(job), 0, 0, 0 }, 1 }); }

        static RunAllocation bestEffort(const std::string& image)
        {
            return { .need = { 0, 1000, 0 }, .isBestEffort = true, .bestEffortMillicores = 8000, .image = ImageName(image) };
        }

        // report() advances by half a second and reports the loads that follow from the pressure of the best-effort tasks.
        void report(double ownLoad)
        {
            double pressure = ownLoad;
            for (auto& [run, allocation] : this->worker.runs) {
                if (!allocation.isBestEffort)
                    continue;
                allocation.load = allocation.bestEffortMillicores * allocation.speedPercent / 100;
                pressure += allocation.image.value() == "heavy" ? static_cast<double>(allocation.load) / 64000.0 : 0;
            }
            this->runOf("serving").load = static_cast<std::int64_t>(4.0 / (1 - std::min(pressure, 0.97)));
            this->now += std::chrono::milliseconds(500);
            this->control.observe(this->worker, this->now);
        }

        // reportTail() advances by half a second and reports a tail of the serving task.
        void reportTail(std::int64_t milliseconds)
        {
            this->runOf("serving").load = milliseconds;
            this->now += std::chrono::milliseconds(500);
            this->control.observe(this->worker, this->now);
        }

        // learn() runs both images in turn until the model knows their effects.
        void learn()
        {
            for (int round = 0; round < 60; ++round) {
                const std::string image = round % 2 == 0 ? "heavy" : "light";
                this->report(0.3);
                this->add(this->worker, "fill", bestEffort(image));
                this->report(0.3);
                this->fleet.release(this->worker, { { JobId("fill"), 0, 0, 0 }, 1 });
                this->control.summarizeServing(this->worker);
            }
        }

        Fleet fleet { {}, {} };
        BestEffortControl control { BestEffortControl::Options {} };
        FleetWorker worker;
        Instant now { std::chrono::hours(1) };
    };

} // namespace

TEST_CASE_METHOD(BestEffortControlFixture, "BestEffortControl_learnedPair_prefersHarmlessImage")
{
    this->learn();
    CHECK(this->control.risk(this->worker, this->control.imageNumber(ImageName("heavy")), 8000) > 3 * this->control.risk(this->worker, this->control.imageNumber(ImageName("light")), 8000));
}

TEST_CASE_METHOD(BestEffortControlFixture, "BestEffortControl_targetMissed_slowsOnlyHarmfulTasks")
{
    this->learn();
    this->add(this->worker, "bad", bestEffort("heavy"));
    this->add(this->worker, "good", bestEffort("light"));
    this->report(0.75);
    const auto changes = this->control.speedChangesFor(this->worker, this->now);
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().run.task.job.value() == "bad");
    CHECK(this->runOf("good").speedPercent == 100);
}

TEST_CASE_METHOD(BestEffortControlFixture, "BestEffortControl_headroomBack_speedsSlowedTasksUp")
{
    this->learn();
    this->add(this->worker, "bad", bestEffort("heavy"));
    this->report(0.75);
    REQUIRE(!this->control.speedChangesFor(this->worker, this->now).empty());
    const int slowedPercent = this->runOf("bad").speedPercent;
    for (int i = 0; i < 60; ++i) {
        this->report(0.1);
        (void)this->control.speedChangesFor(this->worker, this->now);
    }
    CHECK(this->runOf("bad").speedPercent > slowedPercent);
}

TEST_CASE_METHOD(BestEffortControlFixture, "BestEffortControl_manyWorkersReportUnchangedUse_samplesDoNotGrowWithTheFleet")
{
    constexpr std::uint64_t reports = 20; // of each worker, half a second apart
    constexpr Duration betweenWorkers = std::chrono::milliseconds(1);
    std::vector<FleetWorker> workers(500);
    for (FleetWorker& other : workers) {
        other.entry.capacity = { 64000, 256000, 0 };
        this->add(other, "serving", { .need = { 12000, 1000, 0 }, .isServing = true, .latencyTarget = std::chrono::milliseconds(18), .image = ImageName("serving") });
        this->add(other, "fill", bestEffort("light"));
        for (auto& [run, allocation] : other.runs)
            allocation.load = allocation.isServing ? 10 : 8000;
    }
    for (std::uint64_t report = 0; report < reports; ++report) {
        for (FleetWorker& other : workers) {
            this->now += betweenWorkers;
            this->control.observe(other, this->now);
        }
    }
    const std::uint64_t seconds = reports / 2;
    const std::uint64_t samplesPerSecond = BestEffortControl::Options {}.maxRoutineSamplesPerSecond;
    CHECK(this->control.sampleCount() <= (seconds + 1) * samplesPerSecond);
    CHECK(this->control.sampleCount() >= (seconds - 1) * samplesPerSecond);
}

TEST_CASE_METHOD(BestEffortControlFixture, "BestEffortControl_bestEffortTaskComesAndGoes_everyReportIsASample")
{
    this->learn();
    CHECK(this->control.sampleCount() >= 100);
}

TEST_CASE_METHOD(BestEffortControlFixture, "BestEffortControl_nothingIdle_admitsNoTask")
{
    this->worker.used.millicores = 64000;
    this->worker.servingMillicores = 0;
    CHECK_FALSE(this->control.admits(this->worker, this->control.imageNumber(ImageName("light")), 8000, fullSpeed));
}

TEST_CASE_METHOD(BestEffortControlFixture, "BestEffortControl_littleHeadroom_admitsHarmfulTaskOnlyBelowItsHarmlessSpeed")
{
    this->learn();
    for (int i = 0; i < 20; ++i)
        this->report(0.6);
    const std::size_t heavy = this->control.imageNumber(ImageName("heavy"));
    const int harmless = this->control.harmlessPercent(this->worker, heavy, 8000);
    REQUIRE(harmless < fullSpeed);
    CHECK(this->control.admits(this->worker, heavy, 8000, harmless));
    CHECK_FALSE(this->control.admits(this->worker, heavy, 8000, fullSpeed));
    CHECK(this->control.admits(this->worker, this->control.imageNumber(ImageName("light")), 8000, fullSpeed));
}

TEST_CASE_METHOD(BestEffortControlFixture, "BestEffortControl_throttledTasksWantAllCores_admitsTaskAtReducedSpeed")
{
    for (int number = 0; number < 8; ++number) {
        const std::string job = std::to_string(number);
        this->add(this->worker, job, bestEffort("light"));
        this->runOf(job).speedPercent = 5;
    }
    const std::size_t light = this->control.imageNumber(ImageName("light"));
    CHECK_FALSE(this->control.admits(this->worker, light, 8000, fullSpeed));
    CHECK(this->control.admits(this->worker, light, 8000, 5));
}

TEST_CASE_METHOD(BestEffortControlFixture, "BestEffortControl_targetMissedAndThrottledTasksHarmTogether_admitsNoOtherOne")
{
    this->learn();
    this->report(0.85);
    const std::size_t heavy = this->control.imageNumber(ImageName("heavy"));
    int admitted = 0;
    for (; admitted < 20 && this->control.admits(this->worker, heavy, 8000, 5); ++admitted) {
        const std::string job = std::to_string(admitted);
        this->add(this->worker, job, bestEffort("heavy"));
        this->runOf(job).speedPercent = 5;
    }
    CHECK(admitted >= 1);
    CHECK(admitted * 0.05 * this->control.risk(this->worker, heavy, 8000) < BestEffortControl::Options {}.admissionHeadroom - 1);
}

// A tail that is reported at the target may be over it, and one that falls just below it for one report is soon over it again.
TEST_CASE_METHOD(BestEffortControlFixture, "BestEffortControl_tailIsNearTargetBetweenMisses_everyTaskIsThrottled")
{
    constexpr Duration impactBound = std::chrono::seconds(4);
    this->add(this->worker, "fill", bestEffort("light"));
    this->runOf("fill").bestEffortMillicores = 500; // too small to count as harmful
    const Instant missedAt = this->now;
    for (int i = 0; this->now + std::chrono::milliseconds(500) < missedAt + impactBound; ++i) {
        this->reportTail(std::array<std::int64_t, 3> { 20, 18, 17 }[static_cast<std::size_t>(i) % 3]);
        (void)this->control.speedChangesFor(this->worker, this->now);
    }
    CHECK(this->runOf("fill").speedPercent == BestEffortControl::Options {}.minSpeedPercent);
}

TEST_CASE_METHOD(BestEffortControlFixture, "BestEffortControl_targetMissed_admitsNoTaskUntilItIsKept")
{
    this->learn();
    const std::size_t light = this->control.imageNumber(ImageName("light"));
    this->add(this->worker, "fill", bestEffort("light"));
    this->reportTail(20);
    (void)this->control.speedChangesFor(this->worker, this->now);
    CHECK_FALSE(this->control.admits(this->worker, light, 8000, fullSpeed));
    CHECK_FALSE(this->control.admits(this->worker, light, 8000, 5));
    this->reportTail(10);
    (void)this->control.speedChangesFor(this->worker, this->now);
    CHECK(this->control.admits(this->worker, light, 8000, fullSpeed));
}

TEST_CASE_METHOD(BestEffortControlFixture, "BestEffortControl_lastBestEffortTaskLeavesDuringMiss_admitsTaskAgain")
{
    this->learn();
    this->add(this->worker, "fill", bestEffort("light"));
    this->reportTail(20);
    (void)this->control.speedChangesFor(this->worker, this->now);
    this->fleet.release(this->worker, { { JobId("fill"), 0, 0, 0 }, 1 });
    this->reportTail(20);
    (void)this->control.speedChangesFor(this->worker, this->now);
    CHECK(this->control.admits(this->worker, this->control.imageNumber(ImageName("light")), 8000, 5));
}

// Many tasks at the least speed kept a target missed by a few per cent, and nothing ended that.
TEST_CASE_METHOD(BestEffortControlFixture, "BestEffortControl_targetStaysMissedAtLeastSpeed_tasksAreStoppedByHalves")
{
    this->learn();
    for (const char* job : { "1", "2", "3" }) {
        this->add(this->worker, job, bestEffort("heavy"));
        this->runOf(job).speedPercent = 5;
    }
    const auto report = [this](std::int64_t tail) {
        this->reportTail(tail);
        (void)this->control.speedChangesFor(this->worker, this->now);
        return this->control.runsToStop(this->worker, this->now).size();
    };
    for (int i = 0; i < 4; ++i)
        CHECK(report(19) == 0);
    CHECK(report(19) == 2);
    CHECK(report(40) == 0); // by the load of the serving task itself
    CHECK(report(17) == 0);
}

TEST_CASE_METHOD(BestEffortControlFixture, "BestEffortControl_servingTaskLeaves_throttledTaskIsSpedUp")
{
    this->add(this->worker, "bad", bestEffort("heavy"));
    this->runOf("bad").speedPercent = 5;
    this->fleet.release(this->worker, { { JobId("serving"), 0, 0, 0 }, 1 });
    this->control.summarizeServing(this->worker);
    for (int i = 0; i < 5; ++i)
        (void)this->control.speedChangesFor(this->worker, this->now);
    CHECK(this->runOf("bad").speedPercent == fullSpeed);
}

} // namespace dragonflytray
