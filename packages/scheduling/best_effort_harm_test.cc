// Best-effort tasks must not keep a serving task over its latency target, though the effects of images on each other have to be
// learned while tasks start and end.

#include "scheduling/best_effort_control.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>

namespace dragonflytray {

namespace {

    constexpr Duration step = std::chrono::milliseconds(50);
    constexpr Duration impactBound = std::chrono::seconds(4); // of the users, from the miss of a target to its end
    constexpr double leastShareOfIdleCores = 0.25; // that best-effort tasks have to use on the mean
    constexpr std::int64_t workerMillicores = 64000;
    constexpr std::int64_t servingMillicores = 10000; // reserved by each serving task
    constexpr std::int64_t bestEffortMillicores = 6000;
    constexpr std::size_t servingImages = 3;
    constexpr std::size_t bestEffortImages = 8;
    constexpr std::size_t maxBestEffortTasks = 14; // that the memory of the worker allows

    // SimulatedServing is a serving task with its true tail latency.
    struct SimulatedServing {
        TaskRunId run;
        std::size_t image { 0 };
        double targetShare { 0 }; // tail latency without any load / target
        double phase { 0 }; // of its load
        double reported { 0 }; // smoothed tail latency / target
        Instant harmedSince {}; // since when it has missed its target because of best-effort tasks; zero: it does not
    };

    // SimulatedBestEffort is a best-effort task as it runs on the worker.
    struct SimulatedBestEffort {
        TaskRunId run;
        std::size_t image { 0 };
        double remainingWork { 0 }; // core seconds
        int percent { 100 };
        int orderedPercent { 100 };
        Instant orderArrivesAt {};
        Instant stopsAt { Instant::max() };
        double inUse { 0 }; // millicores
    };

    // HarmSimulation plays one worker whose images affect each other by random amounts, under the control of BestEffortControl.
    class HarmSimulation {
    public:
        explicit HarmSimulation(unsigned seed)
            : random(seed)
        {
            this->worker.entry.capacity = { workerMillicores, 256000, 0 };
            for (auto& row : this->effects) {
                for (double& effect : row)
                    effect = this->draw(0, 1) < 0.5 ? this->draw(0, 0.02) : this->draw(0, 0.2);
            }
            for (std::size_t image = 0; image < servingImages; ++image)
                this->addServing(image);
        }

        void run(Duration time)
        {
            const Instant end = this->now + time;
            for (; this->now < end; this->now += step) {
                this->carryOutOrders();
                this->work();
                this->judge();
                if (this->now >= this->nextReport)
                    this->report();
                this->startTask();
            }
        }

        Duration longestHarm() const { return this->longest; }
        double shareOfIdleCores() const { return this->usedCoreSeconds / this->idleCoreSeconds; }

    private:
        double draw(double least, double most) { return std::uniform_real_distribution<double>(least, most)(this->random); }

        TaskRunId nextRun() { return { { JobId(std::to_string(this->nextJob++)), 0, 0, 0 }, 1 }; }

        void addServing(std::size_t image)
        {
            const SimulatedServing task { .run = this->nextRun(), .image = image, .targetShare = this->draw(0.25, 0.45), .phase = this->draw(0, 6) };
            this->serving.push_back(task);
            this->fleet.allocate(this->worker, task.run, { .need = { servingMillicores, 1000, 0 }, .isServing = true, .latencyTarget = std::chrono::milliseconds(45), .image = ImageName("serving-" + std::to_string(image)) });
            this->control.summarizeServing(this->worker);
        }

        double ownLoad(const SimulatedServing& task) const { return 0.35 + 0.2 * std::sin(toSeconds(this->now.time_since_epoch()) / 5 + task.phase); }

        // tailShare() is tail latency / target.
        double tailShare(const SimulatedServing& task, bool hasBestEffort) const
        {
            double pressure = this->ownLoad(task);
            for (const SimulatedBestEffort& other : this->bestEffort)
                pressure += hasBestEffort ? this->effects[task.image][other.image] * other.inUse / (workerMillicores * 0.125) : 0;
            return task.targetShare / (1 - std::min(pressure, 0.97));
        }

        void carryOutOrders()
        {
            for (SimulatedBestEffort& task : this->bestEffort) {
                if (this->now >= task.orderArrivesAt)
                    task.percent = task.orderedPercent;
                if (this->now >= task.stopsAt)
                    task.remainingWork = 0;
            }
        }

        void work()
        {
            const double idle = workerMillicores - servingMillicores * 0.5 * static_cast<double>(this->serving.size());
            double wanted = 1;
            for (const SimulatedBestEffort& task : this->bestEffort)
                wanted += static_cast<double>(bestEffortMillicores) * task.percent / 100;
            for (SimulatedBestEffort& task : this->bestEffort) {
                task.inUse = static_cast<double>(bestEffortMillicores) * task.percent / 100 * std::min(1.0, idle / wanted);
                task.remainingWork -= task.inUse / 1000 * toSeconds(step);
                this->usedCoreSeconds += task.inUse / 1000 * toSeconds(step);
            }
            this->idleCoreSeconds += idle / 1000 * toSeconds(step);
        }

        void judge()
        {
            for (SimulatedServing& task : this->serving) {
                const double tail = this->tailShare(task, true);
                task.reported += (tail - task.reported) * 0.1;
                if (tail < 1 || this->tailShare(task, false) >= 1)
                    task.harmedSince = {};
                else if (task.harmedSince == Instant())
                    task.harmedSince = this->now;
                if (task.harmedSince != Instant())
                    this->longest = std::max(this->longest, this->now + step - task.harmedSince);
            }
        }

        void report()
        {
            for (const SimulatedServing& task : this->serving)
                this->worker.runs.at(task.run).load = std::max<std::int64_t>(static_cast<std::int64_t>(task.reported * 45), 1);
            for (const SimulatedBestEffort& task : this->bestEffort) {
                if (task.remainingWork <= 0)
                    this->fleet.release(this->worker, task.run);
                else
                    this->worker.runs.at(task.run).load = static_cast<std::int64_t>(task.inUse);
            }
            this->bestEffort.erase(std::remove_if(this->bestEffort.begin(), this->bestEffort.end(), [](const auto& task) { return task.remainingWork <= 0; }), this->bestEffort.end());
            this->control.observe(this->worker, this->now);
            for (const SpeedChange& change : this->control.speedChangesFor(this->worker, this->now))
                this->order(change.run, change.percent);
            for (const TaskRunId& run : this->control.runsToStop(this->worker, this->now))
                this->stop(run);
            this->nextReport = this->now + (this->control.isHeadroomLow(this->worker) ? std::chrono::milliseconds(350) : std::chrono::milliseconds(1000));
        }

        std::vector<SimulatedBestEffort>::iterator findTask(const TaskRunId& run)
        {
            return std::find_if(this->bestEffort.begin(), this->bestEffort.end(), [&](const auto& other) { return other.run == run; });
        }

        void order(const TaskRunId& run, int percent)
        {
            const auto task = this->findTask(run);
            task->orderedPercent = percent;
            task->orderArrivesAt = this->now + std::chrono::milliseconds(150);
        }

        // stop() stops a task, which goes on until the order has arrived.
        void stop(const TaskRunId& run)
        {
            this->worker.runs.at(run).isStopping = true;
            this->findTask(run)->stopsAt = this->now + std::chrono::milliseconds(550);
        }

        // startTask() starts a task of a random image where it is admitted; every fifth one may be at a reduced speed.
        void startTask()
        {
            const std::size_t image = std::uniform_int_distribution<std::size_t>(0, bestEffortImages - 1)(this->random);
            const int minPercent = this->draw(0, 1) < 0.2 ? BestEffortControl::Options {}.minSpeedPercent : 100;
            const ImageName name("batch-" + std::to_string(image));
            const std::size_t number = this->control.imageNumber(name);
            if (this->bestEffort.size() >= maxBestEffortTasks || !this->control.admits(this->worker, number, bestEffortMillicores, minPercent))
                return;
            const int percent = this->control.harmlessPercent(this->worker, number, bestEffortMillicores);
            const TaskRunId run = this->nextRun();
            this->fleet.allocate(this->worker, run, { .need = { 0, 1000, 0 }, .isBestEffort = true, .bestEffortMillicores = bestEffortMillicores, .firstConfirmedAt = this->now, .image = name, .speedPercent = percent });
            this->control.summarizeServing(this->worker);
            this->bestEffort.push_back({ .run = run, .image = image, .remainingWork = this->draw(3, 30) });
            this->order(run, percent);
        }

        std::mt19937 random;
        Fleet fleet { {}, {} };
        BestEffortControl control { BestEffortControl::Options {} };
        FleetWorker worker;
        Instant now { std::chrono::hours(1) };
        Instant nextReport {};
        double effects[servingImages][bestEffortImages] {}; // of a full task on pressure
        std::vector<SimulatedServing> serving;
        std::vector<SimulatedBestEffort> bestEffort;
        std::uint64_t nextJob { 1000000000000000 };
        Duration longest { 0 };
        double usedCoreSeconds { 0 };
        double idleCoreSeconds { 0 };
    };

} // namespace

// Tasks started at full speed on a worker whose serving tasks missed their targets, and a short dip to the target put off the
// throttling of all tasks.
TEST_CASE("BestEffortControl_randomEffectsAreUnknownAtFirst_noServingTaskIsHarmedForLong")
{
    const unsigned seed = GENERATE(range(1U, 41U));
    CAPTURE(seed);
    HarmSimulation simulation(seed);
    simulation.run(std::chrono::seconds(60));
    CHECK(simulation.longestHarm() < impactBound);
    CHECK(simulation.shareOfIdleCores() >= leastShareOfIdleCores);
}

} // namespace dragonflytray
