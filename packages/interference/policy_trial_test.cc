#include "interference/policy_trial.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    // Sums of one policy over fixed seeds, in simulated time.
    struct PolicyTrialFixture {
        static constexpr std::uint64_t seeds = 3;
        static constexpr Objective serrano { .tailLatency = 0.7, .throughput = 0.2, .evictions = 0.1 };
        static constexpr Objective coop { .tailLatency = 0.2, .throughput = 0.5, .evictions = 0.3 };

        TrialResult total(InterferencePolicyKind policy, const Objective& objective) const
        {
            TrialResult sum;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                const TrialResult result = PolicyTrial({ .policy = policy, .objective = objective, .seed = seed }).run();
                sum.p99Milliseconds += result.p99Milliseconds;
                sum.workPerHour += result.workPerHour;
                sum.evictions += result.evictions;
                sum.throttles += result.throttles;
            }
            return sum;
        }
    };

    TEST_CASE_METHOD(PolicyTrialFixture, "PairModel_serrano_beatsNoneOnTailAndFixedCapOnBoth")
    {
        const TrialResult none = this->total(InterferencePolicyKind::None, serrano);
        const TrialResult fixedCap = this->total(InterferencePolicyKind::FixedCap, serrano);
        const TrialResult pairModel = this->total(InterferencePolicyKind::PairModel, serrano);

        CHECK(pairModel.p99Milliseconds < 0.4 * none.p99Milliseconds);
        CHECK(pairModel.p99Milliseconds < 0.8 * fixedCap.p99Milliseconds);
        CHECK(pairModel.workPerHour > 1.1 * fixedCap.workPerHour);
    }

    TEST_CASE_METHOD(PolicyTrialFixture, "PairModel_coop_beatsFixedCapOnThroughputAndEvictions")
    {
        const TrialResult fixedCap = this->total(InterferencePolicyKind::FixedCap, coop);
        const TrialResult pairModel = this->total(InterferencePolicyKind::PairModel, coop);

        CHECK(pairModel.workPerHour > 1.15 * fixedCap.workPerHour);
        CHECK(pairModel.evictions < fixedCap.evictions / 4);
    }

    TEST_CASE_METHOD(PolicyTrialFixture, "PolicyTrial_sameSeed_givesTheSameResult")
    {
        const PolicyTrial::Options options { .length = std::chrono::minutes(20) };
        const TrialResult first = PolicyTrial(options).run();
        const TrialResult second = PolicyTrial(options).run();

        CHECK(first.p99Milliseconds == second.p99Milliseconds);
        CHECK(first.workPerHour == second.workPerHour);
        CHECK(first.throttles == second.throttles);
    }

} // namespace
} // namespace dragonflytray
