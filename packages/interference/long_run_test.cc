#include "interference/interference.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>

namespace dragonflytray {
namespace {

    // Random commands, also late, repeated, contradictory and malformed ones, against a plain account of
    // what is true. The invariants are checked after every step.
    struct LongRunFixture {
        static constexpr std::size_t workerCount = 12;
        static constexpr std::size_t jobCount = 60;
        static constexpr int steps = 120'000;

        struct KnownTask {
            HostName worker;
            std::uint32_t attempt { 0 };
            MitigationLevel rung { MitigationLevel::Unthrottled };
            Instant rungSince { Instant::min() };
        };

        Interference::Options options { .history = { .limit = 40 } };
        Interference interference { options };
        std::mt19937_64 random;
        Instant now { std::chrono::hours(1) };
        ConfigurationVersion version { 0 };
        std::map<JobId, KnownTask> tasks;
        std::map<HostName, Instant> lastEviction;
        std::uint64_t evictions { 0 };

        std::size_t pick(std::size_t count) { return this->random() % count; }
        HostName randomWorker() { return HostName("w" + std::to_string(this->pick(workerCount))); }
        JobId randomJob() { return JobId("j" + std::to_string(this->pick(jobCount))); }
        ServiceName randomService() { return ServiceName("s" + std::to_string(this->pick(3))); }
        BatchClassName randomClass() { return BatchClassName("c" + std::to_string(this->pick(6))); }

        InterferenceCommand placeTask()
        {
            const JobId job = this->randomJob();
            auto known = this->tasks.find(job);
            if (known != this->tasks.end() && this->pick(2) == 0)
                return TaskPlaced { known->second.worker, job, known->second.attempt, this->randomClass(), std::chrono::seconds(this->pick(100)) };
            const std::uint32_t attempt = known == this->tasks.end() ? 1 : known->second.attempt + static_cast<std::uint32_t>(this->pick(3)) - 1;
            const HostName worker = this->randomWorker();
            const bool isLate = known != this->tasks.end() && attempt < known->second.attempt;
            const bool isRepeat = known != this->tasks.end() && attempt == known->second.attempt && worker == known->second.worker;
            if (!isLate && !isRepeat)
                this->tasks[job] = { worker, attempt };
            return TaskPlaced { worker, job, attempt, this->randomClass(), std::chrono::seconds(this->pick(100)) };
        }

        InterferenceCommand removeTask()
        {
            const JobId job = this->randomJob();
            auto known = this->tasks.find(job);
            const HostName worker = known == this->tasks.end() || this->pick(4) == 0 ? this->randomWorker() : known->second.worker;
            if (known != this->tasks.end() && known->second.worker == worker)
                this->tasks.erase(known);
            return TaskRemoved { worker, job };
        }

        InterferenceCommand measure()
        {
            static constexpr std::array<double, 6> oddValues { 0, -5, 1e300, 1e-300, 1e9, 30 };
            const Duration lag = std::chrono::seconds(this->pick(500)) - std::chrono::seconds(20);
            const Instant end = this->now - lag;
            const Instant begin = end - std::chrono::seconds(static_cast<int>(this->pick(40)) - 2);
            const double milliseconds = this->pick(10) == 0 ? oddValues[this->pick(oddValues.size())] : 5 + static_cast<double>(this->pick(200));
            const double load = this->pick(20) == 0 ? std::nan("") : static_cast<double>(this->pick(120)) / 100;
            const Duration p99(static_cast<Duration::rep>(std::min(milliseconds, 1e9) * 1e6));
            return LatencyMeasured { this->randomService(), this->randomWorker(), begin, end, p99, this->pick(1000), load };
        }

        InterferenceCommand configure()
        {
            Declaration declaration;
            declaration.objective = { static_cast<double>(this->pick(4)), static_cast<double>(this->pick(4)), static_cast<double>(this->pick(4)) };
            for (int i = 0; i < 3; ++i) {
                if (this->pick(10) != 0)
                    declaration.services.push_back({ .name = ServiceName("s" + std::to_string(i)) });
            }
            return ChangeConfiguration { { ++this->version, std::make_shared<Declaration>(declaration) } };
        }

        InterferenceCommand randomCommand()
        {
            const std::size_t kind = this->pick(100);
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
            return kind == 70 && this->pick(20) == 0 ? this->configure() : InterferenceTick {};
        }

        // check() compares each effect with the account of tasks, rungs and evictions.
        void check(const InterferenceEffects& effects)
        {
            for (const InterferenceEffect& effect : effects) {
                if (const auto* throttle = std::get_if<ThrottleTask>(&effect))
                    this->climb(throttle->worker, throttle->job, throttle->attempt, throttle->share < 1 ? MitigationLevel::Throttled : MitigationLevel::Unthrottled);
                if (const auto* evict = std::get_if<EvictTask>(&effect))
                    this->evict(*evict);
            }
        }

        void climb(const HostName& worker, const JobId& job, std::uint32_t attempt, MitigationLevel rung)
        {
            auto found = this->tasks.find(job);
            require(found != this->tasks.end() && found->second.worker == worker && found->second.attempt == attempt, "LongRun: a step for a task that is gone");
            KnownTask& task = found->second;
            const int rungs = static_cast<int>(rung) - static_cast<int>(task.rung);
            require(rungs == 1 || (rungs == -1 && rung == MitigationLevel::Unthrottled), "LongRun: the ladder skipped a rung");
            require(task.rungSince == Instant::min() || this->now - task.rungSince > this->options.lag, "LongRun: a rung was left within the lag");
            task.rung = rung;
            task.rungSince = this->now;
        }

        void evict(const EvictTask& effect)
        {
            this->climb(effect.worker, effect.job, effect.attempt, MitigationLevel::Evicting);
            auto last = this->lastEviction.find(effect.worker);
            require(last == this->lastEviction.end() || this->now - last->second > this->options.lag, "LongRun: two evictions on a worker within the lag");
            this->lastEviction[effect.worker] = this->now;
            ++this->evictions;
        }

        void checkBounds() const
        {
            const auto summary = std::get<InterferenceSummary>(this->interference.ask(InterferenceSummaryQuery {}, this->now));
            require(summary.tasks == this->tasks.size(), "LongRun: the tasks differ from the account");
            require(summary.workers <= workerCount, "LongRun: more workers than there are");
            require(summary.historyEntries <= workerCount * this->options.history.limit, "LongRun: the history outgrew its limit");
            const auto table = std::get<SlowdownEstimates>(this->interference.ask(SlowdownEstimatesQuery {}, this->now));
            require(table.pairs.size() <= std::size_t { 3 } * 6, "LongRun: more pairs than there are");
            const double lowest = std::exp(-this->options.estimator.bound);
            const double highest = std::exp(this->options.estimator.bound);
            for (const SlowdownEstimate& pair : table.pairs) {
                require(std::isfinite(pair.deviation) && pair.deviation >= 0, "LongRun: a deviation is not finite");
                require(pair.slowdownIdle >= lowest && pair.slowdownIdle <= highest, "LongRun: an estimate is out of bounds");
                require(pair.slowdownBusy >= lowest && pair.slowdownBusy <= highest, "LongRun: an estimate is out of bounds");
            }
        }

        void run(std::uint64_t seed)
        {
            this->random.seed(seed);
            this->interference.handle(this->configure(), this->now);
            for (int i = 0; i < steps; ++i) {
                this->now += std::chrono::milliseconds(this->pick(3000));
                const InterferenceCommand command = this->randomCommand();
                this->check(this->interference.handle(command, this->now));
                const auto penalty = std::get<PlacementCost>(this->interference.ask(PlacementPenaltyQuery { this->randomWorker(), this->randomClass() }, this->now));
                require(std::isfinite(penalty.cost) && penalty.cost >= 0, "LongRun: a penalty is not finite");
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
