#include "batch/simulation/simulated_fleet.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    // Each data centre has one entry host, which leads it. A job of 60 seconds runs in the first data centre.
    struct OutageFixture {
        SimulatedFleet fleet { { .seed = 7, .workersInDataCentre = 1, .entryHostsInDataCentre = 1 } };

        OutageFixture()
        {
            this->advance(std::chrono::seconds(3));
            this->submit("long", std::chrono::seconds(60));
            this->advance(std::chrono::seconds(3));
            REQUIRE(this->fleet.workers.running.contains(JobId("long")));
        }

        void submit(const char* id, Duration runTime)
        {
            Job job;
            job.id = JobId(id);
            job.team = TeamName("desk");
            job.batchClass = BatchClassName("pack");
            job.declaredRunTime = runTime;
            this->fleet.submit(0, job);
        }

        void advance(Duration time)
        {
            for (Duration passed { 0 }; passed < time; passed += SimulatedFleet::step)
                this->fleet.advance();
        }

        JobState recordedState(const char* id) const { return this->fleet.table.find(JobId(id))->state; }
    };

    TEST_CASE_METHOD(OutageFixture, "Outage_longerThanWorkerLease_keepsTaskRunning")
    {
        this->fleet.tableDownUntil = this->fleet.now + std::chrono::seconds(45);
        this->advance(std::chrono::seconds(40));

        CHECK(this->fleet.workers.running.contains(JobId("long")));
        CHECK(this->fleet.workers.starts == 1);
    }

    TEST_CASE_METHOD(OutageFixture, "Outage_taskFinishedAndWorkerLost_recordsResultAfterwards")
    {
        this->fleet.tableDownUntil = this->fleet.now + std::chrono::seconds(80);
        this->advance(std::chrono::seconds(70));
        this->fleet.workers.restart(this->fleet.workers.byName.begin()->second);
        this->advance(std::chrono::seconds(20));

        CHECK(this->recordedState("long") == JobState::Finished);
        CHECK(this->fleet.workers.starts == 1);
    }

    TEST_CASE_METHOD(OutageFixture, "Outage_jobSubmitted_isRefusedAndNotRecorded")
    {
        this->fleet.tableDownUntil = this->fleet.now + std::chrono::seconds(30);
        this->advance(std::chrono::seconds(5));
        this->submit("late", std::chrono::seconds(1));
        this->advance(std::chrono::seconds(40));

        CHECK(this->fleet.refused.contains(JobId("late")));
        CHECK_FALSE(this->fleet.table.find(JobId("late")));
    }

    TEST_CASE_METHOD(OutageFixture, "Outage_longerThanLimit_endsTask")
    {
        this->fleet.tableDownUntil = this->fleet.now + std::chrono::minutes(10);
        this->submit("longer", std::chrono::minutes(30));
        this->advance(std::chrono::minutes(4));

        CHECK(this->fleet.workers.running.empty());
    }

    TEST_CASE_METHOD(OutageFixture, "Outage_answersLost_acceptsSubmissionOnce")
    {
        this->fleet.tableAnswersLostUntil = this->fleet.now + std::chrono::seconds(10);
        for (const char* id : { "a", "b", "c", "d", "e", "f" })
            this->submit(id, std::chrono::seconds(1));
        this->advance(std::chrono::seconds(100));

        CHECK(this->fleet.accepted.size() == 7);
        CHECK(this->fleet.workers.starts == 7);
    }

    TEST_CASE_METHOD(OutageFixture, "CancelJob_runningTask_isStoppedAndCancelled")
    {
        this->fleet.cancel(0, JobId("long"));
        this->advance(std::chrono::seconds(5));

        CHECK(this->recordedState("long") == JobState::Cancelled);
        CHECK(this->fleet.workers.running.empty());
    }

} // namespace
} // namespace dragonflytray
