#pragma once

// A simulation of several entry hosts, the platform's table and workers on one clock, with random faults. Runs with the
// same options are identical.
//
// Example:
//
//     SimulatedFleet fleet({ .seed = 7 });
//     fleet.submit(0, job);
//     fleet.injectFault();
//     fleet.advance();

#include "batch/simulation/simulated_table.h"
#include "batch/simulation/simulated_workers.h"
#include <deque>
#include <functional>
#include <memory>
#include <random>

namespace dragonflytray {

// SimulatedEntryHost is a `Batch` with the injected faults of its host. Its clock is offset from the simulated clock.
struct SimulatedEntryHost {
    Batch::Options options;
    Duration clockOffset { 0 };
    std::unique_ptr<Batch> batch;
    std::uint64_t incarnation { 0 };
    Instant pausedUntil; // the process does not run
    Instant partitionedUntil; // the table is unreachable
    std::deque<BatchCommand> inbox;
};

// SimulatedFleet advances all hosts in steps of one tick. Not thread-safe.
class SimulatedFleet {
public:
    struct Options {
        std::uint64_t seed { 1 };
        int workersInDataCentre { 4 };
        int entryHostsInDataCentre { 3 };
        Capacity capacity { 8, 16, 0 };
    };

    static constexpr Duration step = std::chrono::milliseconds(50);
    static constexpr Duration messageTimeout = std::chrono::seconds(2);

    explicit SimulatedFleet(Options options);

    // advance() runs one step: it delivers the messages that are due, then ticks every entry host that is not paused.
    void advance();

    // injectFault() injects one random fault.
    void injectFault();

    // clearFaults() ends all faults, and sends every entry host the complete host list.
    void clearFaults();

    void submit(std::size_t host, Job job);
    void cancel(std::size_t host, const JobId& job);

    // sendHostList() sends the host list to one entry host. Without `isComplete` a random host is missing.
    void sendHostList(SimulatedEntryHost& host, bool isComplete);

    // randomIndex() returns a random number below `count`.
    std::size_t randomIndex(std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->random); }

    // shouldHappen() returns true with the given probability.
    bool shouldHappen(double probability) { return std::uniform_real_distribution<double>(0, 1)(this->random) < probability; }

    Options options;
    std::mt19937_64 random;
    Instant now { std::chrono::seconds(1000) };
    SimulatedTable table;
    SimulatedWorkers workers;
    std::vector<SimulatedEntryHost> hosts;
    std::vector<Host> hostList;
    DeclarationInForce inForce;
    std::set<JobId> accepted;
    std::set<JobId> refused;
    std::map<JobId, Instant> submittedAt;
    Instant tableDownUntil;
    Instant tableSlowUntil;
    Instant tableAnswersLostUntil;

    // deliver() queues a command for an entry host, unless it has restarted since `incarnation`.
    void deliver(std::size_t host, std::uint64_t incarnation, BatchCommand command);

    // restart() replaces an entry host's `Batch` by a new one, which knows the configuration and the host list only.
    void restart(SimulatedEntryHost& host);

private:
    using Action = std::function<void()>;

    void schedule(Duration delay, Action action) { this->scheduledActions.emplace(this->now + delay, std::move(action)); }
    Duration randomDelay(Duration minimum);
    void handle(std::size_t host, const BatchCommand& command);
    void execute(std::size_t host, const WriteTransaction& effect);
    void execute(std::size_t host, const ReadRows& effect);
    void execute(std::size_t host, const ContactWorker& effect);
    void execute(std::size_t host, const ReplyToSubmitter& effect);

    std::multimap<Instant, Action> scheduledActions;
};

} // namespace dragonflytray
