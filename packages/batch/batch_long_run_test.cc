#include "batch/simulation/simulated_fleet.h"

#include <catch2/catch.hpp>
#include <iostream>

namespace dragonflytray {
namespace {

    constexpr int longRunSteps = 120000; // 6,000 simulated seconds
    constexpr int faultFreeSteps = 12000; // 600 simulated seconds
    constexpr int evacuationSteps = 60000; // 3,000 simulated seconds
    constexpr int backlogSteps = 2 * faultFreeSteps; // one data centre has to work off what evacuations of both left
    constexpr int burstSize = 60; // jobs submitted at once, few enough that a run stays short

    // Drives a simulated fleet with random faults, submissions and cancellations.
    struct LongRunFixture {
        std::size_t submitted { 0 };
        bool shouldEvacuate { false }; // evacuates data centres at random times

        // evacuate() applies the list. A host that does not get it now goes on with its version.
        void evacuate(SimulatedFleet& fleet, const std::vector<DataCentreName>& dataCentres, double reachedShare)
        {
            Declaration next = *fleet.inForce.declaration;
            next.evacuatedDataCentres = dataCentres;
            fleet.inForce = { fleet.inForce.version + 1, std::make_shared<Declaration>(next) };
            for (SimulatedEntryHost& host : fleet.hosts) {
                if (fleet.shouldHappen(reachedShare))
                    host.inbox.push_back(ChangeConfiguration { fleet.inForce });
            }
        }

        void evacuateRandomly(SimulatedFleet& fleet)
        {
            static const DataCentreName first("dc0-0");
            static const DataCentreName second("dc1-0");
            static const std::array<std::vector<DataCentreName>, 4> lists { { {}, { first }, { second }, { first, second } } };
            if (this->shouldEvacuate && fleet.shouldHappen(0.001))
                this->evacuate(fleet, lists[fleet.randomIndex(lists.size())], 0.8);
        }

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
                this->evacuateRandomly(fleet);
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

    // Guards against jobs that a move between data centres loses, runs twice or leaves in an evacuated data centre.
    TEST_CASE_METHOD(LongRunFixture, "LongRun_randomFaultsAndEvacuations_losesNoJobAndRunsNoneTwice")
    {
        const auto seed = GENERATE(std::uint64_t(4), std::uint64_t(5));
        CAPTURE(seed);
        SimulatedFleet fleet({ .seed = seed });
        for (const SimulatedEntryHost& host : fleet.hosts) {
            Host& listed = fleet.hostList.emplace_back();
            listed.name = host.options.self;
            listed.kind = HostKind::EntryHost;
            listed.dataCentre = host.options.dataCentre;
        }
        this->shouldEvacuate = true;

        this->run(fleet, evacuationSteps);
        fleet.clearFaults();
        this->evacuate(fleet, { DataCentreName("dc0-0") }, 1);
        for (int i = 0; i < backlogSteps; ++i)
            fleet.advance();

        this->checkEnd(fleet);
    }

} // namespace
} // namespace dragonflytray
