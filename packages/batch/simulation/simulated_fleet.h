#pragma once

// Several entry hosts, the table and the workers on one simulated clock, with faults from a seed.

#include "batch/simulation/simulated_table.h"
#include "batch/simulation/simulated_workers.h"
#include <deque>
#include <functional>
#include <memory>
#include <random>

namespace dragonflytray {

// SimulatedEntryHost is one `Batch` and the switches of its host. Its clock has its own origin.
struct SimulatedEntryHost {
    Batch::Options options;
    Duration clockOffset { 0 };
    std::unique_ptr<Batch> batch;
    std::uint64_t incarnation { 0 };
    Instant pausedUntil;
    Instant partitionedUntil; // from the table
    std::deque<BatchCommand> inbox;
};

// SimulatedFleet runs everything in steps of one tick. Not thread-safe.
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

    // advance() is one step: due messages, then one tick of every entry host that is not paused.
    void advance();

    // injectFault() makes one random thing go wrong.
    void injectFault();

    // clearFaults() ends every fault.
    void clearFaults();

    void submit(std::size_t host, Job job);
    void cancel(std::size_t host, const JobId& job);

    // withdraw() changes the lists of hosts of one entry host only.
    void sendHostList(SimulatedEntryHost& host, bool isComplete);

    // randomIndex() is a number below `count`.
    std::size_t randomIndex(std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->random); }
    bool shouldHappen(double share) { return std::uniform_real_distribution<double>(0, 1)(this->random) < share; }

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

    void deliver(std::size_t host, std::uint64_t incarnation, BatchCommand command);
    void restart(SimulatedEntryHost& host);

private:
    using Action = std::function<void()>;

    void schedule(Duration delay, Action action) { this->scheduledActions.emplace(this->now + delay, std::move(action)); }
    Duration randomDelay(Duration usual);
    void handle(std::size_t host, const BatchCommand& command);
    void execute(std::size_t host, const WriteTransaction& effect);
    void execute(std::size_t host, const ReadRows& effect);
    void execute(std::size_t host, const ContactWorker& effect);
    void execute(std::size_t host, const ReplyToSubmitter& effect);

    std::multimap<Instant, Action> scheduledActions;
};

} // namespace dragonflytray
