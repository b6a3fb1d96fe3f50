#include "interference/interference_simulation.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    // Adds up the results of one policy over fixed seeds, in simulated time.
    struct InterferenceSimulationFixture {
        static constexpr std::uint64_t seeds = 3;
        static constexpr Objective serrano { .tailLatency = 0.7, .throughput = 0.2, .evictions = 0.1 };
        static constexpr Objective coop { .tailLatency = 0.2, .throughput = 0.5, .evictions = 0.3 };

        InterferenceSimulationResult total(InterferencePolicyKind policy, const Objective& objective) const
        {
            InterferenceSimulationResult sum;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                const InterferenceSimulationResult result = InterferenceSimulation({ .policy = policy, .objective = objective, .seed = seed }).run();
                sum.p99Milliseconds += result.p99Milliseconds;
                sum.workPerHour += result.workPerHour;
                sum.evictions += result.evictions;
                sum.throttles += result.throttles;
            }
            return sum;
        }
    };

    TEST_CASE_METHOD(InterferenceSimulationFixture, "PairModel_serranoObjective_beatsNoneOnTailAndFixedCapOnTailAndWork")
    {
        const InterferenceSimulationResult none = this->total(InterferencePolicyKind::None, serrano);
        const InterferenceSimulationResult fixedCap = this->total(InterferencePolicyKind::FixedCap, serrano);
        const InterferenceSimulationResult pairModel = this->total(InterferencePolicyKind::PairModel, serrano);

        CHECK(pairModel.p99Milliseconds < 0.4 * none.p99Milliseconds);
        CHECK(pairModel.p99Milliseconds < 0.8 * fixedCap.p99Milliseconds);
        CHECK(pairModel.workPerHour > 1.1 * fixedCap.workPerHour);
    }

    TEST_CASE_METHOD(InterferenceSimulationFixture, "PairModel_coopObjective_beatsFixedCapOnThroughputAndEvictions")
    {
        const InterferenceSimulationResult fixedCap = this->total(InterferencePolicyKind::FixedCap, coop);
        const InterferenceSimulationResult pairModel = this->total(InterferencePolicyKind::PairModel, coop);

        CHECK(pairModel.workPerHour > 1.15 * fixedCap.workPerHour);
        CHECK(pairModel.evictions < fixedCap.evictions / 4);
    }

    TEST_CASE_METHOD(InterferenceSimulationFixture, "InterferenceSimulation_sameSeed_givesTheSameResult")
    {
        const InterferenceSimulation::Options options { .duration = std::chrono::minutes(20) };
        const InterferenceSimulationResult first = InterferenceSimulation(options).run();
        const InterferenceSimulationResult second = InterferenceSimulation(options).run();

        CHECK(first.p99Milliseconds == second.p99Milliseconds);
        CHECK(first.workPerHour == second.workPerHour);
        CHECK(first.throttles == second.throttles);
    }

} // namespace
} // namespace dragonflytray
