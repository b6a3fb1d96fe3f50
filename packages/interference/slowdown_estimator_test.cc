#include "interference/slowdown_estimator.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>

namespace dragonflytray {
namespace {

    // A service beside tasks of two classes whose true effects the test sets, measured every ten seconds.
    struct SlowdownEstimatorFixture {
        static constexpr double baseline = 3; // logarithm of the p99 in milliseconds at load 0
        static constexpr double noise = 0.15; // standard deviation of a measured log p99

        SlowdownEstimator estimator { {} };
        Instant now { std::chrono::seconds(100) };
        std::mt19937_64 random { 7 };
        double harmful { 0.8 }; // log-slowdown by one task at half load
        double harmfulSlope { 0.6 }; // change of it from load 0 to load 1
        double gentle { 0.05 };

        void observeWindows(int windows)
        {
            std::normal_distribution<double> error(0, noise);
            std::uniform_real_distribution<double> uniform(0, 1);
            std::uniform_int_distribution<int> tasks(0, 2);
            for (int i = 0; i < windows; ++i) {
                this->now += std::chrono::seconds(10);
                const double load = uniform(this->random);
                const double harmfulTasks = tasks(this->random);
                const double gentleTasks = tasks(this->random);
                const double effect = harmfulTasks * (this->harmful + this->harmfulSlope * (load - 0.5)) + gentleTasks * this->gentle;
                this->estimator.observe({
                    .when = this->now,
                    .logLatency = baseline + load + effect + error(this->random),
                    .count = 500,
                    .load = load,
                    .exposures = { { BatchClassName("harmful"), harmfulTasks }, { BatchClassName("gentle"), gentleTasks } },
                });
            }
        }

        EffectEstimate effectOf(const char* name, double load = 0.5) const { return this->estimator.effect(BatchClassName(name), load); }
    };

    TEST_CASE_METHOD(SlowdownEstimatorFixture, "Effect_twoClassesAtOnce_areSeparated")
    {
        this->observeWindows(200);

        CHECK(this->effectOf("harmful").mean == Approx(this->harmful).margin(0.1));
        CHECK(this->effectOf("gentle").mean == Approx(this->gentle).margin(0.1));
    }

    TEST_CASE_METHOD(SlowdownEstimatorFixture, "Effect_dependsOnLoad_slopeIsEstimated")
    {
        this->observeWindows(300);

        CHECK(this->effectOf("harmful", 1).mean - this->effectOf("harmful", 0).mean == Approx(this->harmfulSlope).margin(0.25));
    }

    TEST_CASE_METHOD(SlowdownEstimatorFixture, "Effect_classNeverMeasured_isThePrior")
    {
        const EffectEstimate unknown = this->effectOf("harmful");

        CHECK(unknown.mean == 0.1);
        CHECK(unknown.deviation == 0.5);
        CHECK(unknown.effectiveWindows == 0);
    }

    TEST_CASE_METHOD(SlowdownEstimatorFixture, "Effect_effectsSwapped_convergesWithinSixtyWindows")
    {
        this->observeWindows(200);
        std::swap(this->harmful, this->gentle);
        this->harmfulSlope = 0;
        this->observeWindows(60);

        CHECK(this->effectOf("harmful").mean < 0.2);
        CHECK(this->effectOf("gentle").mean > 0.65);
    }

    TEST_CASE_METHOD(SlowdownEstimatorFixture, "Effect_notMeasuredForAnHour_isUncertainAgain")
    {
        this->observeWindows(200);
        const double before = this->effectOf("harmful").deviation;
        this->now += std::chrono::hours(1);
        this->estimator.observe({ .when = this->now, .logLatency = baseline, .count = 500, .load = 0, .exposures = {} });

        CHECK(this->effectOf("harmful").deviation > 3 * before);
    }

    TEST_CASE_METHOD(SlowdownEstimatorFixture, "Observe_oneOutlier_changesTheEffectLittle")
    {
        this->observeWindows(200);
        const double before = this->effectOf("harmful").mean;
        this->now += std::chrono::seconds(10);
        this->estimator.observe({ .when = this->now, .logLatency = 20, .count = 500, .load = 0.5, .exposures = { { BatchClassName("harmful"), 1 } } });

        CHECK(this->effectOf("harmful").mean - before < 0.3);
    }

    TEST_CASE_METHOD(SlowdownEstimatorFixture, "Observe_moreClassesThanMaxClasses_keepsMaxClasses")
    {
        for (int i = 0; i < 100; ++i)
            this->estimator.observe({ .when = this->now, .logLatency = baseline, .count = 500, .load = 0.5, .exposures = { { BatchClassName(std::to_string(i)), 1 } } });

        CHECK(this->estimator.classes().size() == SlowdownEstimator::Options().maxClasses);
    }

} // namespace
} // namespace dragonflytray
