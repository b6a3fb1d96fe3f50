#pragma once

// A discrete-event simulation of callers and runners around one `Routing`, for tests and the benchmark.
//
// Example:
//
//     RoutingSimulation simulation({ .routing = { .self = HostName("e1"), .dataCentre = DataCentreName("dc1") } });
//     simulation.run(std::chrono::seconds(10), { { .priority = Priority::Urgent, .requestsPerSecond = 100 } });

#include "routing/routing.h"
#include <queue>

namespace dragonflytray {

// SimulatedLoad is a stream of requests of one priority class with Poisson arrivals, and its results.
struct SimulatedLoad {
    Priority priority { Priority::Normal };
    double requestsPerSecond { 1 };
    std::uint64_t sent { 0 };
    std::uint64_t answered { 0 };
    std::uint64_t answeredBeforeEnd { 0 }; // answered before the arrivals stopped
    std::vector<double> latencies {}; // of answered requests, in seconds
};

// RoutingSimulation runs loads against fake runners in simulated time. Deterministic for its seed. Not thread-safe.
class RoutingSimulation {
public:
    struct Options {
        Routing::Options routing;
        int runners { 8 };
        int slots { 8 }; // of each runner
        double meanAnswerSeconds { 0.05 }; // answers take 0.5 to 1.5 times as long
        double slowFraction { 0 }; // of the runners
        double slowFactor { 4 }; // a slow runner's answers take this many times as long
        double failingFraction { 0 }; // of the runners; they refuse every request
        std::uint64_t seed { 1 };
    };

    explicit RoutingSimulation(Options options);

    // run() generates the loads for `duration`, waits until every request has ended, and returns the results.
    std::vector<SimulatedLoad> run(Duration duration, std::vector<SimulatedLoad> loads);

    // capacity() returns the answers per second of all runners, if none is slow or fails.
    double capacity() const { return this->options.runners * this->options.slots / this->options.meanAnswerSeconds; }

    // sentAttempts() returns the number of attempts so far.
    std::uint64_t sentAttempts() const { return this->sentAttemptCount; }

    // summary() returns the counters of the routing.
    RoutingSummary summary() const { return std::get<RoutingSummary>(this->routing.ask(RoutingSummaryQuery {})); }

private:
    struct OpenRequest {
        std::size_t load { 0 };
        Instant submittedAt;
    };
    struct Event {
        Instant at;
        std::size_t load { 0 }; // index of the load whose next request arrives; ignored if `completion` is set
        std::optional<RoutingCommand> completion; // end of an attempt

        bool operator>(const Event& other) const { return this->at > other.at; }
    };

    void execute(const RoutingEffects& effects);
    void scheduleAnswer(const SendToRunner& send);
    void recordOutcome(const ReplyToCaller& reply);
    void submit(std::size_t load);
    void scheduleArrival(std::size_t load);
    void tickAt(Instant at);
    double uniform() { return static_cast<double>(this->random() >> 11) * 0x1.0p-53; }

    Options options;
    Routing routing;
    std::mt19937_64 random;
    Instant now { std::chrono::seconds(100) };
    Instant nextTick { this->now };
    Instant endsAt;
    std::uint64_t lastToken { 0 };
    std::uint64_t sentAttemptCount { 0 };
    std::vector<SimulatedLoad> loads;
    std::unordered_map<std::uint64_t, OpenRequest> openRequests;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
};

} // namespace dragonflytray
