#include "shares/shares_simulation.h"

#include <catch2/catch.hpp>
#include <iostream>

namespace dragonflytray {
namespace {

    constexpr int longRunSteps = 30000; // for each of four seeds
    constexpr int faultInterval = 60; // steps
    constexpr int healInterval = 6000; // steps
    constexpr int quietSteps = 400; // steps without faults after healing, so that every slot gets into use again

    struct LongRunFixture {
        int stepsOverLimit { 0 };
        int maxSum { 0 };

        void observe(const SharesSimulation& simulation)
        {
            this->maxSum = std::max(this->maxSum, simulation.maxUsableSlots());
            if (simulation.maxUsableSlots() > simulation.slotsPerRunner())
                ++this->stepsOverLimit;
        }

        // run() injects one or two faults at a time, and heals all at regular intervals, followed by a period without
        // faults.
        void run(SharesSimulation& simulation, int steps)
        {
            for (int i = 0; i < steps; ++i) {
                if (i % healInterval == 0)
                    simulation.heal();
                const bool isQuiet = i % healInterval < quietSteps;
                if (!isQuiet && i % faultInterval == 0)
                    simulation.injectFault();
                if (!isQuiet && i % (2 * faultInterval) == 0)
                    simulation.injectFault();
                simulation.step();
                this->observe(simulation);
            }
        }
    };

    TEST_CASE_METHOD(LongRunFixture, "Shares_longRunWithoutGuards_runnersAreNeverOvercommitted")
    {
        const std::uint64_t seed = GENERATE(1, 2, 3, 4);
        SharesSimulation simulation({ .seed = seed, .entryHosts = static_cast<int>(2 + seed * 2 % 7) });

        this->run(simulation, longRunSteps);

        simulation.heal();
        simulation.runSteps(quietSteps);
        // A slot is idle while it moves from one host to another, so wait for a step in which none moves.
        for (int i = 0; i < quietSteps && simulation.idleSlots() > 0; ++i)
            simulation.step();
        INFO("seed " << seed << " started " << simulation.startedAttempts() << " leaders " << simulation.leaderChanges());
        CHECK(this->stepsOverLimit == 0);
        CHECK(this->maxSum <= simulation.slotsPerRunner());
        CHECK(simulation.idleSlots() == 0);
    }

    TEST_CASE_METHOD(LongRunFixture, "Shares_longRunWithGuards_runnersAreSeldomOvercommitted")
    {
        SharesSimulation simulation({ .seed = 5, .hasGuards = true });

        this->run(simulation, longRunSteps);

        INFO("steps over the limit: " << this->stepsOverLimit << ", worst sum: " << this->maxSum);
        CHECK(this->stepsOverLimit > 0); // isolated holders keep their shares; the runners' guards refuse the excess
        CHECK(this->maxSum <= 2 * simulation.slotsPerRunner() + simulation.slotsPerRunner() / 2);
        simulation.heal();
        simulation.runSteps(quietSteps);
        CHECK(simulation.maxUsableSlots() <= simulation.slotsPerRunner());
    }

    TEST_CASE_METHOD(LongRunFixture, "EvenSplit_longRunWithoutGuards_runnersAreOvercommitted")
    {
        SharesSimulation simulation({ .seed = 1, .source = SimulatedShareSource::EvenSplit });

        this->run(simulation, longRunSteps);

        CHECK(this->stepsOverLimit > 0);
        WARN("even split: " << this->stepsOverLimit << " of " << longRunSteps << " steps over the limit, worst sum " << this->maxSum);
    }

} // namespace
} // namespace dragonflytray
