#include "interference/interference_simulation.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace dragonflytray {

namespace {

    constexpr std::size_t workerCount = 40;
    constexpr std::size_t runnerCount = 24;
    constexpr std::size_t slotsPerWorker = 8;
    constexpr std::size_t slotsPerRunner = 3;
    constexpr std::size_t queueLimit = 200;
    constexpr std::size_t serviceCount = 2;
    constexpr std::size_t classCount = 5;
    constexpr std::array<const char*, serviceCount> serviceNames { "quick-checks", "packages" };
    constexpr std::array<const char*, classCount> classNames { "report", "pack", "scan", "shuffle", "train" };
    constexpr std::size_t quickChecks = 0;

    // TrueEffect is what one task of a class adds to the log latency of a service.
    struct TrueEffect {
        double atHalfLoad;
        double slope; // change from load 0 to load 1
    };
    constexpr TrueEffect trueEffects[serviceCount][classCount] {
        { { 0.01, 0.0 }, { 0.05, 0.1 }, { 0.20, 0.3 }, { 0.35, 0.5 }, { 0.55, 0.2 } },
        { { 0.02, 0.0 }, { 0.25, 0.2 }, { 0.03, 0.0 }, { 0.15, 0.4 }, { 0.05, 0.1 } },
    };

    constexpr Duration tickInterval = std::chrono::seconds(1);
    constexpr Duration measurementWindow = std::chrono::seconds(10);
    constexpr Duration measurementLag = std::chrono::seconds(30);
    constexpr Duration burstInterval = std::chrono::minutes(10);
    constexpr Duration runnerMoveInterval = std::chrono::minutes(2);
    constexpr Duration loadPeriod = std::chrono::minutes(50);
    constexpr Duration evictionDelay = std::chrono::seconds(5);
    constexpr int burstSize = 80;
    constexpr double arrivalsPerSecond = 0.7;
    constexpr double urgentProbability = 0.08;
    constexpr double minWorkSeconds = 30;
    constexpr double meanExtraWorkSeconds = 240; // on top of minWorkSeconds
    constexpr double avoidedWorkerCost = 100; // above any other placement cost
    constexpr double checkpointIntervalSeconds = 120; // of work
    constexpr double restartWorkSeconds = 20; // work that is repeated after a restart from a checkpoint
    constexpr double checkpointFailureProbability = 0.2;
    constexpr double idleMedianMilliseconds = 20;
    constexpr double requestLatencyDeviation = 0.3; // standard deviation of the log latency of one request
    constexpr double p99OffsetFromMedian = 2.33 * requestLatencyDeviation; // in the logarithm
    constexpr double measurementDeviation = 0.15; // standard deviation of the error of a measured log p99
    constexpr double requestsPerWindow = 400; // at load 1

    HostName workerName(std::size_t worker) { return HostName("w" + std::to_string(worker)); }

    bool isDue(Duration elapsed, Duration interval)
    {
        return elapsed > Duration::zero() && elapsed % interval == Duration::zero();
    }

} // namespace

InterferenceSimulation::InterferenceSimulation(Options options)
    : options(options)
    , interference({ .policy = options.policy, .policyOptions = options.policyOptions, .estimator = options.estimator, .measurementLag = measurementLag + measurementWindow })
    , random(options.seed)
    , start(std::chrono::hours(1))
    , now(start)
    , tasksOfWorker(workerCount)
{
    this->configure();
    this->placeRunners();
}

InterferenceSimulationResult InterferenceSimulation::run()
{
    while (this->now - this->start < this->options.duration) {
        this->now += tickInterval;
        this->submitArrivals();
        if (isDue(this->now - this->start, runnerMoveInterval))
            this->moveRunner();
        this->placeQueuedTasks();
        this->advanceTasks();
        this->answerRequests();
        this->recordAndDeliverMeasurements();
        this->apply(this->interference.handle(InterferenceTick {}, this->now));
    }
    const auto summary = std::get<InterferenceSummary>(this->interference.ask(InterferenceSummaryQuery {}, this->now));
    auto p99 = this->latencies.begin() + static_cast<std::ptrdiff_t>(this->latencies.size() * 99 / 100);
    std::nth_element(this->latencies.begin(), p99, this->latencies.end());
    return { .p99Milliseconds = *p99, .workPerHour = this->finishedWork / toSeconds(this->options.duration), .evictions = summary.evictions, .throttles = summary.throttles };
}

void InterferenceSimulation::configure()
{
    Declaration declaration;
    declaration.objective = this->options.objective;
    for (const char* name : serviceNames)
        declaration.services.push_back({ .name = ServiceName(name) });
    this->interference.handle(ChangeConfiguration { { 1, std::make_shared<Declaration>(declaration) } }, this->now);
}

void InterferenceSimulation::placeRunners()
{
    for (std::size_t i = 0; i < runnerCount; ++i) {
        this->runners.push_back({ .service = i % 3 == 2 ? 1U : 0U, .worker = i, .placedAt = this->now, .pendingMeasurements = {} });
        this->interference.handle(RunnerPlaced { workerName(i), ServiceName(serviceNames[this->runners[i].service]) }, this->now);
    }
}

void InterferenceSimulation::submitArrivals()
{
    std::poisson_distribution<int> arrivals(arrivalsPerSecond);
    for (int i = arrivals(this->random); i > 0; --i)
        this->submit(this->random() % classCount, this->uniform() < urgentProbability);
    if (!isDue(this->now - this->start, burstInterval))
        return;
    const std::size_t burstClass = this->random() % classCount;
    for (int i = 0; i < burstSize; ++i)
        this->submit(burstClass, this->uniform() < urgentProbability);
}

void InterferenceSimulation::submit(std::size_t batchClass, bool isUrgent)
{
    if (this->queue.size() >= queueLimit)
        return;
    const JobId job("j" + std::to_string(++this->submittedCount));
    std::exponential_distribution<double> work(1 / meanExtraWorkSeconds);
    this->tasks[job] = { .batchClass = batchClass, .isUrgent = isUrgent, .work = minWorkSeconds + work(this->random), .worker = {}, .stopAt = {} };
    if (isUrgent)
        this->queue.push_front(job);
    else
        this->queue.push_back(job);
}

// placeQueuedTasks() goes through the queue once. A class for which no worker was found is not tried again in the same
// pass, except for urgent tasks.
void InterferenceSimulation::placeQueuedTasks()
{
    std::array<bool, classCount> hasNoWorker {};
    std::deque<JobId> remaining;
    for (const JobId& job : this->queue) {
        Task& task = this->tasks.at(job);
        if ((hasNoWorker[task.batchClass] && !task.isUrgent) || !this->placeTask(job, task)) {
            hasNoWorker[task.batchClass] = true;
            remaining.push_back(job);
        }
    }
    this->queue = std::move(remaining);
}

bool InterferenceSimulation::placeTask(const JobId& job, Task& task)
{
    auto worker = this->chooseWorker(task);
    if (!worker)
        return false;
    task.worker = worker;
    task.cpuShare = 1;
    ++task.attempt;
    this->tasksOfWorker[*worker].push_back(job);
    this->interference.handle(TaskPlaced { workerName(*worker), job, task.attempt, BatchClassName(classNames[task.batchClass]), Duration::zero() }, this->now);
    return true;
}

// chooseWorker() returns the worker with the lowest cost. Avoided workers are left out; for an urgent task they come last.
std::optional<std::size_t> InterferenceSimulation::chooseWorker(const Task& task)
{
    std::optional<std::size_t> best;
    double bestCost = 0;
    const std::size_t offset = this->random() % workerCount;
    for (std::size_t i = 0; i < workerCount; ++i) {
        const std::size_t worker = (i + offset) % workerCount;
        if (this->freeSlots(worker) == 0)
            continue;
        const PlacementCost penalty = this->penaltyOf(worker, task.batchClass);
        if (penalty.isAvoided && !task.isUrgent)
            continue;
        const double cost = penalty.cost + (penalty.isAvoided ? avoidedWorkerCost : 0);
        if (!best || cost < bestCost) {
            best = worker;
            bestCost = cost;
        }
    }
    return best;
}

PlacementCost InterferenceSimulation::penaltyOf(std::size_t worker, std::size_t batchClass) const
{
    return std::get<PlacementCost>(this->interference.ask(PlacementPenaltyQuery { workerName(worker), BatchClassName(classNames[batchClass]) }, this->now));
}

std::size_t InterferenceSimulation::freeSlots(std::size_t worker) const
{
    const std::size_t slots = slotsPerWorker - (this->hasRunner(worker) ? slotsPerRunner : 0);
    return slots - std::min(slots, this->tasksOfWorker[worker].size());
}

bool InterferenceSimulation::hasRunner(std::size_t worker) const
{
    return std::any_of(this->runners.begin(), this->runners.end(), [&](const Runner& runner) { return runner.worker == worker; });
}

// moveRunner() moves a random runner to a worker without a runner that has enough free slots, if there is one.
void InterferenceSimulation::moveRunner()
{
    Runner& runner = this->runners[this->random() % this->runners.size()];
    const std::size_t offset = this->random() % workerCount;
    for (std::size_t i = 0; i < workerCount; ++i) {
        const std::size_t worker = (i + offset) % workerCount;
        if (this->hasRunner(worker) || this->freeSlots(worker) < slotsPerRunner)
            continue;
        const ServiceName service(serviceNames[runner.service]);
        this->interference.handle(RunnerRemoved { workerName(runner.worker), service }, this->now);
        this->interference.handle(RunnerPlaced { workerName(worker), service }, this->now);
        runner.worker = worker;
        runner.placedAt = this->now;
        return;
    }
}

void InterferenceSimulation::advanceTasks()
{
    for (auto entry = this->tasks.begin(); entry != this->tasks.end();) {
        auto& [job, task] = *entry;
        const bool isFinished = task.worker && !task.stopAt && task.done >= task.work;
        if (isFinished)
            this->finishedWork += task.work;
        if (isFinished || (task.stopAt && *task.stopAt <= this->now))
            this->stopTask(job, task);
        if (isFinished) {
            entry = this->tasks.erase(entry);
            continue;
        }
        if (task.worker && !task.stopAt) {
            task.done += task.cpuShare * toSeconds(tickInterval);
            if (task.done - task.checkpointed >= checkpointIntervalSeconds)
                task.checkpointed = task.done;
            const Duration cost = std::chrono::milliseconds(static_cast<int>((task.done - task.checkpointed) * 1000));
            if (isDue(this->now - this->start, measurementWindow))
                this->interference.handle(TaskPlaced { workerName(*task.worker), job, task.attempt, BatchClassName(classNames[task.batchClass]), cost }, this->now);
        }
        ++entry;
    }
}

void InterferenceSimulation::stopTask(const JobId& job, Task& task)
{
    std::erase(this->tasksOfWorker[*task.worker], job);
    this->interference.handle(TaskRemoved { workerName(*task.worker), job }, this->now);
    if (task.stopAt) {
        const bool isSaved = this->uniform() >= checkpointFailureProbability;
        task.done = (isSaved ? task.done : task.checkpointed) - restartWorkSeconds;
        task.checkpointed = task.done;
        this->queue.push_front(job);
    }
    task.worker.reset();
    task.stopAt.reset();
}

// answerRequests() adds up the slowdown of every runner and samples request latencies of "quick-checks", more of them at a
// higher load.
void InterferenceSimulation::answerRequests()
{
    for (Runner& runner : this->runners) {
        const double load = this->loadOf(runner.service);
        const double slowdown = this->slowdownOf(runner);
        runner.slowdownSum += slowdown;
        if (runner.service != quickChecks)
            continue;
        const int requests = 1 + static_cast<int>(load * 4);
        for (int i = 0; i < requests; ++i)
            this->latencies.push_back(idleMedianMilliseconds * std::exp(load + slowdown + this->normal(requestLatencyDeviation)));
    }
}

void InterferenceSimulation::recordAndDeliverMeasurements()
{
    for (Runner& runner : this->runners) {
        while (!runner.pendingMeasurements.empty() && runner.pendingMeasurements.front().windowEnd + measurementLag <= this->now) {
            this->apply(this->interference.handle(runner.pendingMeasurements.front(), this->now));
            runner.pendingMeasurements.pop_front();
        }
        if (!isDue(this->now - this->start, measurementWindow))
            continue;
        const double load = this->loadOf(runner.service);
        const double logLatency = std::log(idleMedianMilliseconds) + load + p99OffsetFromMedian + runner.slowdownSum / toSeconds(measurementWindow) + this->normal(measurementDeviation);
        runner.slowdownSum = 0;
        if (runner.placedAt > this->now - measurementWindow)
            continue;
        runner.pendingMeasurements.push_back({
            .service = ServiceName(serviceNames[runner.service]),
            .worker = workerName(runner.worker),
            .windowStart = this->now - measurementWindow,
            .windowEnd = this->now,
            .p99 = std::chrono::microseconds(static_cast<long>(std::exp(logLatency) * 1000)),
            .count = static_cast<std::uint64_t>(requestsPerWindow * load) + 1,
            .load = load,
        });
    }
}

void InterferenceSimulation::apply(const InterferenceEffects& effects)
{
    for (const InterferenceEffect& effect : effects) {
        if (const auto* throttle = std::get_if<ThrottleTask>(&effect))
            this->tasks.at(throttle->job).cpuShare = throttle->cpuShare;
        if (const auto* evict = std::get_if<EvictTask>(&effect))
            this->tasks.at(evict->job).stopAt = this->now + evictionDelay;
    }
}

double InterferenceSimulation::loadOf(std::size_t service) const
{
    const double cycles = toSeconds(this->now - this->start) / toSeconds(loadPeriod) + 0.4 * static_cast<double>(service);
    return 0.5 + 0.4 * std::sin(2 * std::numbers::pi * cycles);
}

// trueEffect() is the log-slowdown by one task; the effects of "pack" and "scan" are swapped in the second half of the run.
double InterferenceSimulation::trueEffect(std::size_t service, std::size_t batchClass) const
{
    const bool isSwapped = this->now - this->start > this->options.duration / 2;
    const std::size_t effectClass = isSwapped && (batchClass == 1 || batchClass == 2) ? 3 - batchClass : batchClass;
    const TrueEffect& effect = trueEffects[service][effectClass];
    return effect.atHalfLoad + effect.slope * (this->loadOf(service) - 0.5);
}

double InterferenceSimulation::slowdownOf(const Runner& runner) const
{
    double sum = 0;
    for (const JobId& job : this->tasksOfWorker[runner.worker]) {
        const Task& task = this->tasks.at(job);
        sum += task.cpuShare * std::max(this->trueEffect(runner.service, task.batchClass), 0.0);
    }
    return sum;
}

} // namespace dragonflytray
