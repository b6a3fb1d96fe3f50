#include "interference/interference.h"

#include <catch2/catch.hpp>
#include <cmath>

namespace dragonflytray {
namespace {

    const HostName worker("w1");
    const ServiceName service("checks");
    const BatchClassName harmful("train");
    const BatchClassName gentle("report");

    // One worker with one runner. teach() makes the class "train" triple the p99 of its service and leaves "report" harmless.
    struct InterferenceFixture {
        Interference::Options options;
        Interference interference { options };
        Instant now { std::chrono::seconds(1000) };
        ConfigurationVersion version { 0 };

        InterferenceFixture()
        {
            this->configure({ .tailLatency = 0.7, .throughput = 0.2, .evictions = 0.1 });
            this->interference.handle(RunnerPlaced { worker, service }, this->now);
        }

        void configure(Objective objective)
        {
            Declaration declaration;
            declaration.objective = objective;
            declaration.services = { { .name = service } };
            this->interference.handle(ChangeConfiguration { { ++this->version, std::make_shared<Declaration>(declaration) } }, this->now);
        }

        void place(const char* job, const BatchClassName& batchClass, std::uint32_t attempt = 1)
        {
            this->interference.handle(TaskPlaced { worker, JobId(job), attempt, batchClass, Duration::zero() }, this->now);
        }

        void remove(const char* job) { this->interference.handle(TaskRemoved { worker, JobId(job) }, this->now); }

        // measure() reports the ten seconds that ended twenty seconds ago.
        void measure(double milliseconds, double load = 0.5)
        {
            const Duration p99(static_cast<Duration::rep>(milliseconds * 1e6));
            this->interference.handle(LatencyMeasured { service, worker, this->now - std::chrono::seconds(30), this->now - std::chrono::seconds(20), p99, 1000, load }, this->now);
        }

        // teach() measures phases with and without a harmful and a gentle task, without ticks.
        void teach()
        {
            const bool isHarmful[] = { false, true, false, true };
            const bool isGentle[] = { false, false, true, true };
            for (int round = 0; round < 6; ++round) {
                for (int phase = 0; phase < 4; ++phase) {
                    if (isHarmful[phase])
                        this->place("teaching-harmful", harmful);
                    if (isGentle[phase])
                        this->place("teaching-gentle", gentle);
                    this->now += std::chrono::seconds(60);
                    this->measure(isHarmful[phase] ? 60 : 20);
                    this->remove("teaching-harmful");
                    this->remove("teaching-gentle");
                }
            }
        }

        InterferenceEffects tick(Duration elapsed = std::chrono::seconds(1))
        {
            this->now += elapsed;
            return this->interference.handle(InterferenceTick {}, this->now);
        }

        InterferenceSummary summary() const { return std::get<InterferenceSummary>(this->interference.ask(InterferenceSummaryQuery {}, this->now)); }

        PlacementCost penaltyOf(const BatchClassName& batchClass) const
        {
            return std::get<PlacementCost>(this->interference.ask(PlacementPenaltyQuery { worker, batchClass }, this->now));
        }
    };

    TEST_CASE_METHOD(InterferenceFixture, "LatencyMeasured_delayed_isAttributedToTheTasksOfItsWindow")
    {
        this->teach();

        const auto estimates = std::get<SlowdownEstimates>(this->interference.ask(SlowdownEstimatesQuery {}, this->now));
        REQUIRE(estimates.pairs.size() == 2);
        CHECK(estimates.pairs[0].batchClass == harmful);
        CHECK((estimates.pairs[0].slowdownAtZeroLoad + estimates.pairs[0].slowdownAtFullLoad) / 2 == Approx(3).margin(0.5));
        CHECK((estimates.pairs[1].slowdownAtZeroLoad + estimates.pairs[1].slowdownAtFullLoad) / 2 == Approx(1).margin(0.2));
    }

    TEST_CASE_METHOD(InterferenceFixture, "Tick_harmfulTask_isThrottledThenEvictedAfterTheCooldown")
    {
        this->teach();
        this->place("j1", harmful);

        const InterferenceEffects first = this->tick();
        const InterferenceEffects beforeCooldown = this->tick(this->options.mitigationCooldown - std::chrono::seconds(1));
        const InterferenceEffects afterCooldown = this->tick();

        REQUIRE(first.size() == 1);
        CHECK(std::get<ThrottleTask>(first[0]).cpuShare == this->options.throttledCpuShare);
        CHECK(beforeCooldown.empty());
        REQUIRE(afterCooldown.size() == 1);
        CHECK(std::get<EvictTask>(afterCooldown[0]).job == JobId("j1"));
    }

    TEST_CASE_METHOD(InterferenceFixture, "Tick_gentleTask_isLeftAlone")
    {
        this->teach();
        this->place("j1", gentle);

        CHECK(this->tick().empty());
        CHECK(this->tick(this->options.mitigationCooldown).empty());
    }

    TEST_CASE_METHOD(InterferenceFixture, "Tick_objectiveWeighsEvictionsMost_throttlesAndNeverEvicts")
    {
        this->teach();
        this->configure({ .tailLatency = 0.2, .throughput = 0.1, .evictions = 0.7 });
        this->place("j1", harmful);
        for (int i = 0; i < 10; ++i)
            this->tick(this->options.mitigationCooldown);

        CHECK(this->summary().evictions == 0);
    }

    TEST_CASE_METHOD(InterferenceFixture, "Tick_evictedTaskNotYetRemoved_isNotEvictedAgain")
    {
        this->teach();
        this->place("j1", harmful);
        for (int i = 0; i < 10; ++i)
            this->tick(this->options.mitigationCooldown);

        CHECK(this->summary().evictions == 1);
        CHECK(this->summary().evicting == 1);
    }

    TEST_CASE_METHOD(InterferenceFixture, "Tick_twoHarmfulTasks_evictsOneWithinTheCooldown")
    {
        this->teach();
        this->place("j1", harmful);
        this->place("j2", harmful);
        this->tick();
        this->tick();
        this->tick(this->options.mitigationCooldown);
        this->tick();

        CHECK(this->summary().throttles == 2);
        CHECK(this->summary().evictions == 1);
    }

    TEST_CASE_METHOD(InterferenceFixture, "Tick_runnerRemoved_restoresTheThrottledTask")
    {
        this->teach();
        this->place("j1", harmful);
        this->tick();
        this->interference.handle(RunnerRemoved { worker, service }, this->now);

        const InterferenceEffects effects = this->tick(this->options.mitigationCooldown);

        REQUIRE(effects.size() == 1);
        CHECK(std::get<ThrottleTask>(effects[0]).cpuShare == 1);
    }

    TEST_CASE_METHOD(InterferenceFixture, "PlacementPenalty_afterEviction_avoidsTheClass")
    {
        this->teach();
        this->place("j1", harmful);
        this->tick();
        this->tick(this->options.mitigationCooldown);
        this->remove("j1");

        CHECK(this->penaltyOf(harmful).isAvoided);
        CHECK_FALSE(this->penaltyOf(gentle).isAvoided);
        CHECK(this->penaltyOf(harmful).cost > this->penaltyOf(gentle).cost);
    }

    TEST_CASE_METHOD(InterferenceFixture, "TaskPlaced_laterAttempt_startsUnthrottled")
    {
        this->teach();
        this->place("j1", harmful);
        this->tick();
        this->place("j1", harmful, 2);

        CHECK(this->summary().throttled == 0);
        CHECK(this->summary().tasks == 1);
    }

    TEST_CASE_METHOD(InterferenceFixture, "TaskPlaced_earlierAttempt_changesNothing")
    {
        this->place("j1", harmful, 2);
        this->interference.handle(TaskPlaced { HostName("w2"), JobId("j1"), 1, harmful, Duration::zero() }, this->now);
        this->remove("j1");

        CHECK(this->summary().tasks == 0);
    }

    TEST_CASE_METHOD(InterferenceFixture, "LatencyMeasured_unusable_isCountedByReason")
    {
        this->now += std::chrono::seconds(60);
        this->measure(-1);
        this->measure(20, std::nan(""));
        this->interference.handle(LatencyMeasured { service, HostName("w9"), this->now - std::chrono::seconds(20), this->now, std::chrono::milliseconds(5), 1, 0.5 }, this->now);
        this->interference.handle(LatencyMeasured { service, worker, this->now, this->now + std::chrono::seconds(5), std::chrono::milliseconds(5), 1, 0.5 }, this->now);

        CHECK(this->summary().rejections[SampleRejection::Malformed] == 2);
        CHECK(this->summary().rejections[SampleRejection::NoRunner] == 1);
        CHECK(this->summary().rejections[SampleRejection::OutsideHistory] == 1);
        CHECK(this->summary().samples == 0);
    }

    TEST_CASE_METHOD(InterferenceFixture, "Tick_workerWithoutTasksAndRunners_isRemovedAfterTheRetention")
    {
        this->place("j1", harmful);
        this->remove("j1");
        this->interference.handle(RunnerRemoved { worker, service }, this->now);
        this->tick(this->options.history.retention * 2);

        CHECK(this->summary().workers == 0);
        CHECK(this->summary().historyEntries == 0);
    }

} // namespace
} // namespace dragonflytray
