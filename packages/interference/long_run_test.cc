#include "interference/interference.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>

namespace dragonflytray {
namespace {

    // Sends random commands, among them delayed, repeated, contradictory and malformed ones, and compares the effects with a
    // reference model of the tasks. The invariants are checked after every step.
    struct LongRunFixture {
        static constexpr std::size_t workerCount = 12;
        static constexpr std::size_t jobCount = 60;
        static constexpr int steps = 120'000;

        struct ModelTask {
            HostName worker;
            std::uint32_t attempt { 0 };
            MitigationLevel level { MitigationLevel::Unthrottled };
            Instant levelSince { Instant::min() };
        };

        Interference::Options options { .history = { .maxClosedIntervals = 40 } };
        Interference interference { options };
        std::mt19937_64 random;
        Instant now { std::chrono::hours(1) };
        ConfigurationVersion version { 0 };
        std::map<JobId, ModelTask> tasks;
        std::map<HostName, Instant> lastEvictionAt;
        std::uint64_t evictions { 0 };

        std::size_t randomBelow(std::size_t count) { return this->random() % count; }
        HostName randomWorker() { return HostName("w" + std::to_string(this->randomBelow(workerCount))); }
        JobId randomJob() { return JobId("j" + std::to_string(this->randomBelow(jobCount))); }
        ServiceName randomService() { return ServiceName("s" + std::to_string(this->randomBelow(3))); }
        BatchClassName randomClass() { return BatchClassName("c" + std::to_string(this->randomBelow(6))); }

        InterferenceCommand placeTask()
        {
            const JobId job = this->randomJob();
            auto known = this->tasks.find(job);
            if (known != this->tasks.end() && this->randomBelow(2) == 0)
                return TaskPlaced { known->second.worker, job, known->second.attempt, this->randomClass(), std::chrono::seconds(this->randomBelow(100)) };
            const std::uint32_t attempt = known == this->tasks.end() ? 1 : known->second.attempt + static_cast<std::uint32_t>(this->randomBelow(3)) - 1;
            const HostName worker = this->randomWorker();
            const bool isOutdated = known != this->tasks.end() && attempt < known->second.attempt;
            const bool isRepeat = known != this->tasks.end() && attempt == known->second.attempt && worker == known->second.worker;
            if (!isOutdated && !isRepeat)
                this->tasks[job] = { worker, attempt };
            return TaskPlaced { worker, job, attempt, this->randomClass(), std::chrono::seconds(this->randomBelow(100)) };
        }

        InterferenceCommand removeTask()
        {
            const JobId job = this->randomJob();
            auto known = this->tasks.find(job);
            const HostName worker = known == this->tasks.end() || this->randomBelow(4) == 0 ? this->randomWorker() : known->second.worker;
            if (known != this->tasks.end() && known->second.worker == worker)
                this->tasks.erase(known);
            return TaskRemoved { worker, job };
        }

        InterferenceCommand measure()
        {
            static constexpr std::array<double, 6> extremeValues { 0, -5, 1e300, 1e-300, 1e9, 30 };
            const Duration lag = std::chrono::seconds(this->randomBelow(500)) - std::chrono::seconds(20);
            const Instant end = this->now - lag;
            const Instant begin = end - std::chrono::seconds(static_cast<int>(this->randomBelow(40)) - 2);
            const double milliseconds = this->randomBelow(10) == 0 ? extremeValues[this->randomBelow(extremeValues.size())] : 5 + static_cast<double>(this->randomBelow(200));
            const double load = this->randomBelow(20) == 0 ? std::nan("") : static_cast<double>(this->randomBelow(120)) / 100;
            const Duration p99(static_cast<Duration::rep>(std::min(milliseconds, 1e9) * 1e6));
            return LatencyMeasured { this->randomService(), this->randomWorker(), begin, end, p99, this->randomBelow(1000), load };
        }

        InterferenceCommand configure()
        {
            Declaration declaration;
            declaration.objective = { static_cast<double>(this->randomBelow(4)), static_cast<double>(this->randomBelow(4)), static_cast<double>(this->randomBelow(4)) };
            for (int i = 0; i < 3; ++i) {
                if (this->randomBelow(10) != 0)
                    declaration.services.push_back({ .name = ServiceName("s" + std::to_string(i)) });
            }
            return ChangeConfiguration { { ++this->version, std::make_shared<Declaration>(declaration) } };
        }

        InterferenceCommand randomCommand()
        {
            const std::size_t kind = this->randomBelow(100);
            if (kind < 20)
                return this->placeTask();
            if (kind < 30)
                return this->removeTask();
            if (kind < 36)
                return RunnerPlaced { this->randomWorker(), this->randomService() };
            if (kind < 38)
                return RunnerRemoved { this->randomWorker(), this->randomService() };
            if (kind < 70)
                return this->measure();
            return kind == 70 && this->randomBelow(20) == 0 ? this->configure() : InterferenceTick {};
        }

        // checkEffects() compares each effect with the tasks, levels and evictions of the reference model.
        void checkEffects(const InterferenceEffects& effects)
        {
            for (const InterferenceEffect& effect : effects) {
                if (const auto* throttle = std::get_if<ThrottleTask>(&effect))
                    this->checkTransition(throttle->worker, throttle->job, throttle->attempt, throttle->cpuShare < 1 ? MitigationLevel::Throttled : MitigationLevel::Unthrottled);
                if (const auto* evict = std::get_if<EvictTask>(&effect))
                    this->checkEviction(*evict);
            }
        }

        void checkTransition(const HostName& worker, const JobId& job, std::uint32_t attempt, MitigationLevel level)
        {
            auto found = this->tasks.find(job);
            require(found != this->tasks.end() && found->second.worker == worker && found->second.attempt == attempt, "LongRun: an effect for a task that is not on the worker");
            ModelTask& task = found->second;
            const int levelChange = static_cast<int>(level) - static_cast<int>(task.level);
            require(levelChange == 1 || (levelChange == -1 && level == MitigationLevel::Unthrottled), "LongRun: a transition skipped a level");
            require(task.levelSince == Instant::min() || this->now - task.levelSince > this->options.measurementLag, "LongRun: a level was left within the measurement lag");
            task.level = level;
            task.levelSince = this->now;
        }

        void checkEviction(const EvictTask& effect)
        {
            this->checkTransition(effect.worker, effect.job, effect.attempt, MitigationLevel::Evicting);
            auto last = this->lastEvictionAt.find(effect.worker);
            require(last == this->lastEvictionAt.end() || this->now - last->second > this->options.measurementLag, "LongRun: two evictions on a worker within the measurement lag");
            this->lastEvictionAt[effect.worker] = this->now;
            ++this->evictions;
        }

        void checkBounds() const
        {
            const auto summary = std::get<InterferenceSummary>(this->interference.ask(InterferenceSummaryQuery {}, this->now));
            require(summary.tasks == this->tasks.size(), "LongRun: the number of tasks differs from the reference model");
            require(summary.workers <= workerCount, "LongRun: more workers than there are");
            require(summary.historyEntries <= workerCount * this->options.history.maxClosedIntervals, "LongRun: the histories exceed their limit");
            const auto estimates = std::get<SlowdownEstimates>(this->interference.ask(SlowdownEstimatesQuery {}, this->now));
            require(estimates.pairs.size() <= std::size_t { 3 } * 6, "LongRun: more pairs than there are");
            const double lowest = std::exp(-this->options.estimator.maxCoefficient);
            const double highest = std::exp(this->options.estimator.maxCoefficient);
            for (const SlowdownEstimate& pair : estimates.pairs) {
                require(std::isfinite(pair.deviation) && pair.deviation >= 0, "LongRun: a deviation is negative or not finite");
                require(pair.slowdownAtZeroLoad >= lowest && pair.slowdownAtZeroLoad <= highest, "LongRun: an estimate is out of bounds");
                require(pair.slowdownAtFullLoad >= lowest && pair.slowdownAtFullLoad <= highest, "LongRun: an estimate is out of bounds");
            }
        }

        void run(std::uint64_t seed)
        {
            this->random.seed(seed);
            this->interference.handle(this->configure(), this->now);
            for (int i = 0; i < steps; ++i) {
                this->now += std::chrono::milliseconds(this->randomBelow(3000));
                const InterferenceCommand command = this->randomCommand();
                this->checkEffects(this->interference.handle(command, this->now));
                const auto penalty = std::get<PlacementCost>(this->interference.ask(PlacementPenaltyQuery { this->randomWorker(), this->randomClass() }, this->now));
                require(std::isfinite(penalty.cost) && penalty.cost >= 0, "LongRun: a penalty is negative or not finite");
                this->checkBounds();
            }
        }
    };

    TEST_CASE_METHOD(LongRunFixture, "LongRun_randomCommands_keepsEveryInvariant")
    {
        const std::uint64_t seed = GENERATE(1, 2, 3);
        CAPTURE(seed);
        this->run(seed);

        CHECK(this->evictions > 0);
    }

} // namespace
} // namespace dragonflytray
