#include "interference/interference_simulation.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace dragonflytray {

namespace {

    constexpr std::size_t workerCount = 40;
    constexpr std::size_t runnerCount = 24;
    constexpr std::size_t slotsOfWorker = 8;
    constexpr std::size_t slotsOfRunner = 3;
    constexpr std::size_t queueLimit = 200;
    constexpr std::size_t serviceCount = 2;
    constexpr std::size_t classCount = 5;
    constexpr std::array<const char*, serviceCount> serviceNames { "quick-checks", "packages" };
    constexpr std::array<const char*, classCount> classNames { "report", "pack", "scan", "shuffle", "train" };
    constexpr std::size_t quickChecks = 0;

    // HiddenEffect is the truth about one pair: the log-slowdown at half load and its change with load.
    struct HiddenEffect {
        double middle;
        double slope;
    };
    constexpr HiddenEffect hiddenEffects[serviceCount][classCount] {
        { { 0.01, 0.0 }, { 0.05, 0.1 }, { 0.20, 0.3 }, { 0.35, 0.5 }, { 0.55, 0.2 } },
        { { 0.02, 0.0 }, { 0.25, 0.2 }, { 0.03, 0.0 }, { 0.15, 0.4 }, { 0.05, 0.1 } },
    };

    constexpr Duration step = std::chrono::seconds(1);
    constexpr Duration window = std::chrono::seconds(10);
    constexpr Duration lag = std::chrono::seconds(30);
    constexpr Duration waveInterval = std::chrono::minutes(10);
    constexpr Duration runnerMoveInterval = std::chrono::minutes(2);
    constexpr Duration loadPeriod = std::chrono::minutes(50);
    constexpr Duration stopTime = std::chrono::seconds(5);
    constexpr int waveSize = 80;
    constexpr double arrivalsPerSecond = 0.7;
    constexpr double urgentShare = 0.08;
    constexpr double meanWork = 240; // seconds
    constexpr double checkpointInterval = 120; // seconds of work
    constexpr double restartWork = 20; // seconds of work to read a checkpoint back
    constexpr double checkpointFailure = 0.2;
    constexpr double idleMilliseconds = 20;
    constexpr double requestDeviation = 0.3; // of the logarithm of one latency
    constexpr double tailOfRequests = 2.33 * requestDeviation; // distance of the p99 from the median
    constexpr double measuredDeviation = 0.15;
    constexpr double requestsOfWindow = 400;

    HostName workerName(std::size_t worker) { return HostName("w" + std::to_string(worker)); }

    bool isDue(Duration elapsed, Duration interval)
    {
        return elapsed > Duration::zero() && elapsed % interval == Duration::zero();
    }

} // namespace

InterferenceSimulation::InterferenceSimulation(Options options)
    : options(options)
    , interference({ .policy = options.policy, .policyOptions = options.policyOptions, .estimator = options.estimator, .lag = lag + window })
    , random(options.seed)
    , start(std::chrono::hours(1))
    , now(start)
    , tasksOn(workerCount)
{
    this->declare();
    this->setUpRunners();
}

InterferenceSimulationResult InterferenceSimulation::run()
{
    while (this->now - this->start < this->options.length) {
        this->now += step;
        this->arrive();
        if (isDue(this->now - this->start, runnerMoveInterval))
            this->moveRunner();
        this->place();
        this->progress();
        this->serve();
        this->measure();
        this->apply(this->interference.handle(InterferenceTick {}, this->now));
    }
    const auto summary = std::get<InterferenceSummary>(this->interference.ask(InterferenceSummaryQuery {}, this->now));
    auto p99 = this->latencies.begin() + static_cast<std::ptrdiff_t>(this->latencies.size() * 99 / 100);
    std::nth_element(this->latencies.begin(), p99, this->latencies.end());
    return { .p99Milliseconds = *p99, .workPerHour = this->finishedWork / toSeconds(this->options.length), .evictions = summary.evictions, .throttles = summary.throttles };
}

void InterferenceSimulation::declare()
{
    Declaration declaration;
    declaration.objective = this->options.objective;
    for (const char* name : serviceNames)
        declaration.services.push_back({ .name = ServiceName(name) });
    this->interference.handle(ChangeConfiguration { { 1, std::make_shared<Declaration>(declaration) } }, this->now);
}

void InterferenceSimulation::setUpRunners()
{
    for (std::size_t i = 0; i < runnerCount; ++i) {
        this->runners.push_back({ .service = i % 3 == 2 ? 1U : 0U, .worker = i, .since = this->now, .pending = {} });
        this->interference.handle(RunnerPlaced { workerName(i), ServiceName(serviceNames[this->runners[i].service]) }, this->now);
    }
}

void InterferenceSimulation::arrive()
{
    std::poisson_distribution<int> arrivals(arrivalsPerSecond);
    for (int i = arrivals(this->random); i > 0; --i)
        this->submit(this->random() % classCount, this->uniform() < urgentShare);
    if (!isDue(this->now - this->start, waveInterval))
        return;
    const std::size_t noisy = this->random() % classCount;
    for (int i = 0; i < waveSize; ++i)
        this->submit(noisy, this->uniform() < urgentShare);
}

void InterferenceSimulation::submit(std::size_t batchClass, bool isUrgent)
{
    if (this->queue.size() >= queueLimit)
        return;
    const JobId job("j" + std::to_string(++this->submitted));
    std::exponential_distribution<double> work(1 / meanWork);
    this->tasks[job] = { .batchClass = batchClass, .isUrgent = isUrgent, .work = 30 + work(this->random), .worker = {}, .stopAt = {} };
    if (isUrgent)
        this->queue.push_front(job);
    else
        this->queue.push_back(job);
}

// place() goes once through the queue; a class that found no worker is not tried again in this pass.
void InterferenceSimulation::place()
{
    std::array<bool, classCount> isStuck {};
    std::deque<JobId> left;
    for (const JobId& job : this->queue) {
        Task& task = this->tasks.at(job);
        if ((isStuck[task.batchClass] && !task.isUrgent) || !this->placeOne(job, task)) {
            isStuck[task.batchClass] = true;
            left.push_back(job);
        }
    }
    this->queue = std::move(left);
}

bool InterferenceSimulation::placeOne(const JobId& job, Task& task)
{
    auto worker = this->chooseWorker(task);
    if (!worker)
        return false;
    task.worker = worker;
    task.share = 1;
    ++task.attempt;
    this->tasksOn[*worker].push_back(job);
    this->interference.handle(TaskPlaced { workerName(*worker), job, task.attempt, BatchClassName(classNames[task.batchClass]), Duration::zero() }, this->now);
    return true;
}

// chooseWorker() takes the lowest penalty; urgent work goes to an avoided worker rather than wait.
std::optional<std::size_t> InterferenceSimulation::chooseWorker(const Task& task)
{
    std::optional<std::size_t> best;
    double bestCost = 0;
    const std::size_t offset = this->random() % workerCount;
    for (std::size_t i = 0; i < workerCount; ++i) {
        const std::size_t worker = (i + offset) % workerCount;
        if (this->roomOf(worker) == 0)
            continue;
        const PlacementCost penalty = this->penaltyOf(worker, task.batchClass);
        if (penalty.isAvoided && !task.isUrgent)
            continue;
        const double cost = penalty.cost + (penalty.isAvoided ? 100 : 0);
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

std::size_t InterferenceSimulation::roomOf(std::size_t worker) const
{
    const std::size_t slots = slotsOfWorker - (this->hasRunner(worker) ? slotsOfRunner : 0);
    return slots - std::min(slots, this->tasksOn[worker].size());
}

bool InterferenceSimulation::hasRunner(std::size_t worker) const
{
    return std::any_of(this->runners.begin(), this->runners.end(), [&](const Runner& runner) { return runner.worker == worker; });
}

// moveRunner() replaces the host of a random runner by one with room for it.
void InterferenceSimulation::moveRunner()
{
    Runner& runner = this->runners[this->random() % this->runners.size()];
    const std::size_t offset = this->random() % workerCount;
    for (std::size_t i = 0; i < workerCount; ++i) {
        const std::size_t worker = (i + offset) % workerCount;
        if (this->hasRunner(worker) || this->roomOf(worker) < slotsOfRunner)
            continue;
        const ServiceName service(serviceNames[runner.service]);
        this->interference.handle(RunnerRemoved { workerName(runner.worker), service }, this->now);
        this->interference.handle(RunnerPlaced { workerName(worker), service }, this->now);
        runner.worker = worker;
        runner.since = this->now;
        return;
    }
}

void InterferenceSimulation::progress()
{
    for (auto entry = this->tasks.begin(); entry != this->tasks.end();) {
        auto& [job, task] = *entry;
        const bool isFinished = task.worker && !task.stopAt && task.done >= task.work;
        if (isFinished)
            this->finishedWork += task.work;
        if (isFinished || (task.stopAt && *task.stopAt <= this->now))
            this->stop(job, task);
        if (isFinished) {
            entry = this->tasks.erase(entry);
            continue;
        }
        if (task.worker && !task.stopAt) {
            task.done += task.share * toSeconds(step);
            if (task.done - task.checkpointed >= checkpointInterval)
                task.checkpointed = task.done;
            const Duration cost = std::chrono::milliseconds(static_cast<int>((task.done - task.checkpointed) * 1000));
            if (isDue(this->now - this->start, window))
                this->interference.handle(TaskPlaced { workerName(*task.worker), job, task.attempt, BatchClassName(classNames[task.batchClass]), cost }, this->now);
        }
        ++entry;
    }
}

void InterferenceSimulation::stop(const JobId& job, Task& task)
{
    std::erase(this->tasksOn[*task.worker], job);
    this->interference.handle(TaskRemoved { workerName(*task.worker), job }, this->now);
    if (task.stopAt) {
        const bool isSaved = this->uniform() >= checkpointFailure;
        task.done = (isSaved ? task.done : task.checkpointed) - restartWork;
        task.checkpointed = task.done;
        this->queue.push_front(job);
    }
    task.worker.reset();
    task.stopAt.reset();
}

// serve() lets every runner answer some requests, more under load.
void InterferenceSimulation::serve()
{
    for (Runner& runner : this->runners) {
        const double load = this->loadOf(runner.service);
        const double slowdown = this->slowdownOf(runner);
        runner.slowdownSum += slowdown;
        if (runner.service != quickChecks)
            continue;
        const int requests = 1 + static_cast<int>(load * 4);
        for (int i = 0; i < requests; ++i)
            this->latencies.push_back(idleMilliseconds * std::exp(load + slowdown + this->normal(requestDeviation)));
    }
}

void InterferenceSimulation::measure()
{
    for (Runner& runner : this->runners) {
        while (!runner.pending.empty() && runner.pending.front().windowEnd + lag <= this->now) {
            this->apply(this->interference.handle(runner.pending.front(), this->now));
            runner.pending.pop_front();
        }
        if (!isDue(this->now - this->start, window))
            continue;
        const double load = this->loadOf(runner.service);
        const double logLatency = std::log(idleMilliseconds) + load + tailOfRequests + runner.slowdownSum / toSeconds(window) + this->normal(measuredDeviation);
        runner.slowdownSum = 0;
        if (runner.since > this->now - window)
            continue;
        runner.pending.push_back({
            .service = ServiceName(serviceNames[runner.service]),
            .worker = workerName(runner.worker),
            .windowStart = this->now - window,
            .windowEnd = this->now,
            .p99 = std::chrono::microseconds(static_cast<long>(std::exp(logLatency) * 1000)),
            .count = static_cast<std::uint64_t>(requestsOfWindow * load) + 1,
            .load = load,
        });
    }
}

void InterferenceSimulation::apply(const InterferenceEffects& effects)
{
    for (const InterferenceEffect& effect : effects) {
        if (const auto* throttle = std::get_if<ThrottleTask>(&effect))
            this->tasks.at(throttle->job).share = throttle->share;
        if (const auto* evict = std::get_if<EvictTask>(&effect))
            this->tasks.at(evict->job).stopAt = this->now + stopTime;
    }
}

double InterferenceSimulation::loadOf(std::size_t service) const
{
    const double turns = toSeconds(this->now - this->start) / toSeconds(loadPeriod) + 0.4 * static_cast<double>(service);
    return 0.5 + 0.4 * std::sin(2 * std::numbers::pi * turns);
}

// effectOf() is the truth: half way through, "pack" and "scan" change places for the quick checks.
double InterferenceSimulation::effectOf(std::size_t service, std::size_t batchClass) const
{
    const bool isShifted = this->now - this->start > this->options.length / 2;
    const std::size_t shifted = isShifted && (batchClass == 1 || batchClass == 2) ? 3 - batchClass : batchClass;
    const HiddenEffect& effect = hiddenEffects[service][shifted];
    return effect.middle + effect.slope * (this->loadOf(service) - 0.5);
}

double InterferenceSimulation::slowdownOf(const Runner& runner) const
{
    double sum = 0;
    for (const JobId& job : this->tasksOn[runner.worker]) {
        const Task& task = this->tasks.at(job);
        sum += task.share * std::max(this->effectOf(runner.service, task.batchClass), 0.0);
    }
    return sum;
}

} // namespace dragonflytray
