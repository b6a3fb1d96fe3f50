#pragma once

// Simulated time, callers and runners around one `Routing`: for tests and the benchmark.
//
// Example:
//
//     RoutingSimulation simulation({ .routing = { .self = HostName("e1"), .dataCentre = DataCentreName("dc1") } });
//     simulation.run(std::chrono::seconds(10), { { .priority = Priority::Urgent, .requestsPerSecond = 100 } });

#include "routing/routing.h"
#include <queue>

namespace dragonflytray {

// SimulatedLoad is a stream of requests of one team and class with random arrivals, and what became of it.
struct SimulatedLoad {
    Priority priority { Priority::Normal };
    double requestsPerSecond { 1 };
    std::uint64_t sent { 0 };
    std::uint64_t answered { 0 };
    std::uint64_t answeredBeforeEnd { 0 }; // before the loads stopped
    std::vector<double> latencies {}; // seconds, of answered requests
};

// RoutingSimulation plays requests against fake runners in simulated time. Deterministic for its seed.
class RoutingSimulation {
public:
    struct Options {
        Routing::Options routing;
        int runners { 8 };
        int slots { 8 }; // of each runner
        double meanAnswerSeconds { 0.05 }; // mean; half to one and a half times as long
        double slowFraction { 0 }; // of the runners
        double slowFactor { 4 }; // times as long for an answer of a slow runner
        double failingFraction { 0 }; // of the runners; they refuse everything at once
        std::uint64_t seed { 1 };
    };

    explicit RoutingSimulation(Options options);

    // run() plays the loads for `length` and lets what is open end; returns what became of each load.
    std::vector<SimulatedLoad> run(Duration duration, std::vector<SimulatedLoad> loads);

    // capacity() is how many answers a second the runners give.
    double capacity() const { return this->options.runners * this->options.slots / this->options.meanAnswerSeconds; }

    // sentAttempts() is the number of attempts so far.
    std::uint64_t sentAttempts() const { return this->sentAttemptCount; }

    // summary() is what the routing counted.
    RoutingSummary summary() const { return std::get<RoutingSummary>(this->routing.ask(RoutingSummaryQuery {})); }

private:
    struct OpenRequest {
        std::size_t load { 0 };
        Instant submittedAt;
    };
    struct Event {
        Instant at;
        std::size_t load { 0 }; // an arrival of this load, unless `completion` is set
        std::optional<RoutingCommand> completion;

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
