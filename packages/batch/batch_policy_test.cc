#include "batch/simulation/simulated_fleet.h"

#include <catch2/catch.hpp>
#include <iostream>

namespace dragonflytray {
namespace {

    // Each data centre has one entry host, which leads it, and two workers of 8 cores.
    struct PolicyFixture {
        SimulatedFleet fleet { { .seed = 11, .workersInDataCentre = 2, .entryHostsInDataCentre = 1 } };
        int submitted { 0 };

        PolicyFixture() { this->advance(std::chrono::seconds(3)); }

        void advance(Duration time)
        {
            for (Duration passed { 0 }; passed < time; passed += SimulatedFleet::step)
                this->fleet.advance();
        }

        JobId submit(const char* team, Priority priority, double processors, Duration runTime)
        {
            Job job;
            job.id = JobId("j" + std::to_string(++this->submitted));
            job.team = TeamName(team);
            job.batchClass = BatchClassName("pack");
            job.priority = priority;
            job.need = { processors, 1, 0 };
            job.declaredRunTime = runTime;
            this->fleet.submit(0, job);
            return job.id;
        }

        std::size_t runningJobsOf(const char* team) const
        {
            std::size_t count = 0;
            for (const auto& [id, worker] : this->fleet.workers.running)
                count += this->fleet.table.find(id)->team == TeamName(team) ? 1 : 0;
            return count;
        }

        JobExplanation explain(const JobId& id) const
        {
            const SimulatedEntryHost& host = this->fleet.hosts[0];
            return std::get<JobExplanation>(host.batch->ask(ExplainJobQuery { id }, this->fleet.now + host.clockOffset));
        }
    };

    constexpr Duration longRunTime = std::chrono::minutes(30);
    constexpr Duration maxUrgentStartDelay = std::chrono::milliseconds(6400);

    TEST_CASE_METHOD(PolicyFixture, "Quota_otherTeamsIdle_borrowsTheirShare")
    {
        for (int i = 0; i < 8; ++i)
            this->submit("lab", Priority::Normal, 2, longRunTime / 10);
        this->advance(std::chrono::seconds(4));

        CHECK(this->runningJobsOf("lab") == 8);
    }

    TEST_CASE_METHOD(PolicyFixture, "Quota_otherTeamWaits_isNoLongerExceeded")
    {
        // The quota of lab is 16 cores, the size of the data centre. Desk has no quota.
        for (int i = 0; i < 40; ++i)
            this->submit("lab", Priority::Urgent, 4, std::chrono::seconds(10));
        this->advance(std::chrono::seconds(4));
        REQUIRE(this->runningJobsOf("lab") == 4);
        for (int i = 0; i < 2; ++i)
            this->submit("desk", Priority::Low, 8, longRunTime);
        const JobId waiting = this->submit("lab", Priority::Low, 8, longRunTime);
        this->advance(std::chrono::seconds(2));

        CHECK(this->explain(waiting).why.find("quota") != std::string::npos);
        CHECK(this->explain(waiting).timeInState > std::chrono::seconds(1));
    }

    TEST_CASE_METHOD(PolicyFixture, "UrgentJob_fleetFullOfLowPriorityJobs_startsWithinBound")
    {
        for (int i = 0; i < 30; ++i)
            this->submit("desk", Priority::Low, 2, longRunTime);
        this->advance(std::chrono::seconds(20));
        REQUIRE(this->fleet.workers.running.size() == 8);
        const JobId urgent = this->submit("desk", Priority::Urgent, 2, longRunTime);
        const Instant submittedAt = this->fleet.now;
        while (!this->fleet.workers.running.contains(urgent) && this->fleet.now - submittedAt < 2 * maxUrgentStartDelay)
            this->fleet.advance();

        std::cout << "urgent start after " << toMilliseconds(this->fleet.now - submittedAt) << " ms\n";
        CHECK(this->fleet.now - submittedAt <= maxUrgentStartDelay);
        CHECK(this->fleet.workers.running.size() == 8);
    }

    TEST_CASE_METHOD(PolicyFixture, "EvictedJob_capacityFreeAgain_resumesOnceFromItsCheckpoint")
    {
        std::vector<JobId> low;
        low.reserve(2);
        for (int i = 0; i < 2; ++i)
            low.push_back(this->submit("desk", Priority::Low, 8, std::chrono::seconds(40)));
        this->advance(std::chrono::seconds(20));
        this->submit("desk", Priority::Urgent, 8, std::chrono::seconds(5));
        this->advance(std::chrono::seconds(60));

        std::uint32_t evictions = 0;
        for (const JobId& id : low) {
            CHECK(this->fleet.table.find(id)->state == JobState::Finished);
            CHECK(this->fleet.table.find(id)->attempt == this->fleet.table.find(id)->evictions + 1);
            evictions += this->fleet.table.find(id)->evictions;
        }
        CHECK(evictions == 1);
    }

    TEST_CASE_METHOD(PolicyFixture, "SubmitJob_largerThanAnyWorker_isRefusedNeverRunnable")
    {
        const JobId id = this->submit("desk", Priority::Normal, 9, longRunTime);
        this->advance(std::chrono::seconds(1));

        CHECK(this->fleet.refused.contains(id));
        CHECK_FALSE(this->fleet.table.find(id));
    }

    TEST_CASE_METHOD(PolicyFixture, "FailingWorker_severalJobs_isQuarantinedAndJobsFinish")
    {
        this->fleet.workers.byName.begin()->second.isFailing = true;
        for (int i = 0; i < 40; ++i)
            this->submit("desk", Priority::Normal, 2, std::chrono::seconds(2));
        this->advance(std::chrono::seconds(60));

        std::size_t finished = 0;
        for (const JobId& id : this->fleet.accepted)
            finished += this->fleet.table.find(id)->state == JobState::Finished ? 1 : 0;
        CHECK(finished == 40);
    }

    TEST_CASE_METHOD(PolicyFixture, "FailingJob_failsOnEveryWorker_endsWithReason")
    {
        const JobId id = this->submit("desk", Priority::Normal, 1, longRunTime);
        this->fleet.workers.alwaysFailing.insert(id);
        this->advance(std::chrono::minutes(3));

        const Job& job = *this->fleet.table.find(id);
        CHECK((job.state == JobState::Failed || job.state == JobState::Parked));
        CHECK_FALSE(job.reason.empty());
        CHECK(job.attempt <= 5);
    }

} // namespace
} // namespace dragonflytray
