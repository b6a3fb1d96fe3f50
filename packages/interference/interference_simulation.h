#pragma once

// InterferenceSimulation drives Interference against a small seeded fake: workers whose services suffer from batch
// tasks by hidden pair effects that shift with load and time, measurements that are noisy and lag, and
// waves of tasks. For the tests and the benchmark of this package only.
//
// Example:
//
//     InterferenceSimulationResult result = InterferenceSimulation({ .policy = InterferencePolicyKind::PairModel, .seed = 3 }).run();

#include "interference/interference.h"
#include <deque>
#include <random>

namespace dragonflytray {

// InterferenceSimulationResult is what one run measured.
struct InterferenceSimulationResult {
    double p99Milliseconds { 0 }; // of the quick checks, over the whole run
    double workPerHour { 0 }; // task hours finished in an hour
    std::uint64_t evictions { 0 };
    std::uint64_t throttles { 0 };
};

// InterferenceSimulation is one run in simulated time. Deterministic for its options.
class InterferenceSimulation {
public:
    struct Options {
        InterferencePolicyKind policy { InterferencePolicyKind::PairModel };
        InterferencePolicyOptions policyOptions {};
        SlowdownEstimator::Options estimator {};
        Objective objective { .tailLatency = 0.7, .throughput = 0.2, .evictions = 0.1 };
        std::uint64_t seed { 1 };
        Duration length { std::chrono::hours(2) };
    };

    explicit InterferenceSimulation(Options options);

    // run() carries the trial through to its end. Call it once.
    InterferenceSimulationResult run();

private:
    struct Task {
        std::size_t batchClass { 0 };
        bool isUrgent { false };
        std::uint32_t attempt { 0 };
        double work { 0 }; // seconds at full share
        double done { 0 };
        double checkpointed { 0 };
        double share { 1 };
        std::optional<std::size_t> worker;
        std::optional<Instant> stopAt; // of an eviction under way
    };
    struct Runner {
        std::size_t service { 0 };
        std::size_t worker { 0 };
        Instant since;
        double slowdownSum { 0 }; // log-slowdown over the present window
        std::deque<LatencyMeasured> pending; // measurements on their way
    };

    void declare();
    void setUpRunners();
    void arrive();
    void submit(std::size_t batchClass, bool isUrgent);
    void place();
    bool placeOne(const JobId& job, Task& task);
    std::optional<std::size_t> chooseWorker(const Task& task);
    PlacementCost penaltyOf(std::size_t worker, std::size_t batchClass) const;
    std::size_t roomOf(std::size_t worker) const;
    bool hasRunner(std::size_t worker) const;
    void moveRunner();
    void progress();
    void stop(const JobId& job, Task& task);
    void serve();
    void measure();
    void apply(const InterferenceEffects& effects);
    double loadOf(std::size_t service) const;
    double effectOf(std::size_t service, std::size_t batchClass) const;
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
    std::vector<std::vector<JobId>> tasksOn; // of each worker
    std::uint64_t submitted { 0 };
    double finishedWork { 0 };
    std::vector<double> latencies;
};

} // namespace dragonflytray
