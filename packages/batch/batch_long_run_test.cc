#include "batch/simulation/simulated_fleet.h"

#include <catch2/catch.hpp>
#include <iostream>

namespace dragonflytray {
namespace {

    constexpr int longRunSteps = 120000; // 6,000 simulated seconds
    constexpr int faultFreeSteps = 12000; // 600 simulated seconds
    constexpr int burstSize = 60; // jobs submitted at once, few enough that a run stays short

    // Drives a simulated fleet with random faults, submissions and cancellations.
    struct LongRunFixture {
        std::size_t submitted { 0 };

        void submitRandomJobs(SimulatedFleet& fleet, std::size_t count)
        {
            for (std::size_t i = 0; i < count; ++i) {
                Job job;
                job.id = JobId("j" + std::to_string(++this->submitted));
                job.team = TeamName(fleet.shouldHappen(0.5) ? "desk" : "lab");
                job.batchClass = BatchClassName("pack");
                job.priority = static_cast<Priority>(fleet.randomIndex(priorityNames.size()));
                job.need = { 1.0 + static_cast<double>(fleet.randomIndex(4)), 2, 0 };
                job.declaredRunTime = std::chrono::milliseconds(500 + fleet.randomIndex(15000));
                if (fleet.shouldHappen(0.02))
                    fleet.workers.alwaysFailing.insert(job.id);
                fleet.submit(fleet.randomIndex(fleet.hosts.size()), job);
            }
        }

        void cancelRecentJobs(SimulatedFleet& fleet, std::size_t count)
        {
            for (std::size_t i = 0; i<count&& this->submitted> 0; ++i) {
                const std::size_t recent = std::min<std::size_t>(this->submitted, 40);
                fleet.cancel(fleet.randomIndex(fleet.hosts.size()), JobId("j" + std::to_string(this->submitted - fleet.randomIndex(recent))));
            }
        }

        void run(SimulatedFleet& fleet, int steps)
        {
            for (int i = 0; i < steps; ++i) {
                if (fleet.shouldHappen(0.02))
                    fleet.injectFault();
                if (fleet.shouldHappen(0.05))
                    this->submitRandomJobs(fleet, 1);
                if (fleet.shouldHappen(0.0005))
                    this->submitRandomJobs(fleet, burstSize);
                if (fleet.shouldHappen(0.001))
                    this->cancelRecentJobs(fleet, 20);
                fleet.advance();
            }
        }

        void checkEnd(const SimulatedFleet& fleet) const
        {
            std::size_t unfinished = 0;
            for (const JobId& id : fleet.accepted) {
                const Job* job = fleet.table.find(id);
                const bool isDone = job && (isTerminal(job->state) || (job->state == JobState::Parked && !job->reason.empty()));
                unfinished += isDone ? 0 : 1;
                if (!isDone && unfinished < 5)
                    UNSCOPED_INFO("not ended: " << id << " " << (job ? jobStateNames.nameOf(job->state) : "absent") << " " << (job ? job->worker.value() : ""));
            }
            CHECK(unfinished == 0);
            std::size_t refusedButRecorded = 0;
            for (const JobId& id : fleet.refused)
                refusedButRecorded += fleet.table.find(id) && !fleet.accepted.contains(id) ? 1 : 0;
            CHECK(refusedButRecorded == 0);
            CHECK(fleet.accepted.size() > this->submitted / 10);
        }
    };

    TEST_CASE_METHOD(LongRunFixture, "LongRun_randomFaults_losesNoJobAndRunsNoneTwice")
    {
        const auto seed = GENERATE(std::uint64_t(1), std::uint64_t(2), std::uint64_t(3));
        CAPTURE(seed);
        SimulatedFleet fleet({ .seed = seed });

        this->run(fleet, longRunSteps);
        fleet.clearFaults();
        for (int i = 0; i < faultFreeSteps; ++i)
            fleet.advance();

        this->checkEnd(fleet);
        std::cout << "seed " << seed << ": " << this->submitted << " submitted, " << fleet.accepted.size() << " accepted, " << fleet.workers.starts << " starts, " << fleet.workers.finishes << " finished\n";
    }

} // namespace
} // namespace dragonflytray
