#pragma once

// InterferenceSimulation runs Interference in simulated time on a seeded model of a data centre: batch tasks slow the
// services on their worker by true effects that Interference does not see and that change with load and time,
// measurements are noisy and delayed, and tasks arrive in bursts. Only for the tests and the benchmark of this package.
//
// Example:
//
//     InterferenceSimulationResult result = InterferenceSimulation({ .policy = InterferencePolicyKind::PairModel, .seed = 3 }).run();

#include "interference/interference.h"
#include <deque>
#include <random>

namespace dragonflytray {

// InterferenceSimulationResult is the outcome of one run.
struct InterferenceSimulationResult {
    double p99Milliseconds { 0 }; // of the service "quick-checks" over the whole run
    double workPerHour { 0 }; // finished work: task hours for each simulated hour
    std::uint64_t evictions { 0 };
    std::uint64_t throttles { 0 };
};

// InterferenceSimulation is one run. Deterministic for its options.
class InterferenceSimulation {
public:
    struct Options {
        InterferencePolicyKind policy { InterferencePolicyKind::PairModel };
        InterferencePolicyOptions policyOptions {};
        SlowdownEstimator::Options estimator {};
        Objective objective { .tailLatency = 0.7, .throughput = 0.2, .evictions = 0.1 };
        std::uint64_t seed { 1 };
        Duration duration { std::chrono::hours(2) };
    };

    explicit InterferenceSimulation(Options options);

    // run() simulates the whole duration. Call it once.
    InterferenceSimulationResult run();

private:
    struct Task {
        std::size_t batchClass { 0 };
        bool isUrgent { false };
        std::uint32_t attempt { 0 };
        double work { 0 }; // seconds on all declared processors
        double done { 0 }; // part of `work` that is finished
        double checkpointed { 0 }; // part of `done` in the last checkpoint
        double cpuShare { 1 };
        std::optional<std::size_t> worker;
        std::optional<Instant> stopAt; // when the eviction in progress ends
    };
    struct Runner {
        std::size_t service { 0 };
        std::size_t worker { 0 };
        Instant placedAt;
        double slowdownSum { 0 }; // sum of the log-slowdowns at each tick of the current window
        std::deque<LatencyMeasured> pendingMeasurements; // not yet delivered, oldest first
    };

    void configure();
    void placeRunners();
    void submitArrivals();
    void submit(std::size_t batchClass, bool isUrgent);
    void placeQueuedTasks();
    bool placeTask(const JobId& job, Task& task);
    std::optional<std::size_t> chooseWorker(const Task& task);
    PlacementCost penaltyOf(std::size_t worker, std::size_t batchClass) const;
    std::size_t freeSlots(std::size_t worker) const;
    bool hasRunner(std::size_t worker) const;
    void moveRunner();
    void advanceTasks();
    void stopTask(const JobId& job, Task& task);
    void answerRequests();
    void recordAndDeliverMeasurements();
    void apply(const InterferenceEffects& effects);
    double loadOf(std::size_t service) const;
    double trueEffect(std::size_t service, std::size_t batchClass) const;
    double slowdownOf(const Runner& runner) const;
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
    double normal(double deviation) { return std::normal_distribution<double>(0, deviation)(this->random); }

    Options options;
    Interference interference;
    std::mt19937_64 random;
    Instant start;
    Instant now;
    std::map<JobId, Task> tasks;
    std::deque<JobId> queue;
    std::vector<Runner> runners;
    std::vector<std::vector<JobId>> tasksOfWorker; // by number of the worker
    std::uint64_t submittedCount { 0 };
    double finishedWork { 0 }; // seconds
    std::vector<double> latencies; // of "quick-checks", milliseconds
};

} // namespace dragonflytray
