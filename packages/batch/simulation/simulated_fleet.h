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
    Instant cutUntil; // from the table
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

    // heal() ends every fault.
    void heal();

    void submit(std::size_t host, Job job);
    void cancel(std::size_t host, const JobId& job);

    // withdraw() changes the lists of hosts of one entry host only.
    void listHosts(SimulatedEntryHost& host, bool isWhole);

    // pick() is a number below `count`.
    std::size_t pick(std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->random); }
    bool isChance(double share) { return std::uniform_real_distribution<double>(0, 1)(this->random) < share; }

    Options options;
    std::mt19937_64 random;
    Instant now { std::chrono::seconds(1000) };
    SimulatedTable table;
    SimulatedWorkers fleet;
    std::vector<SimulatedEntryHost> hosts;
    std::vector<Host> listed;
    DeclarationInForce inForce;
    std::set<JobId> accepted;
    std::set<JobId> refused;
    std::map<JobId, Instant> submittedAt;
    Instant tableDownUntil;
    Instant tableSlowUntil;
    Instant answersLostUntil;

    void deliver(std::size_t host, std::uint64_t incarnation, BatchCommand command);
    void restart(SimulatedEntryHost& host);

private:
    using Action = std::function<void()>;

    void after(Duration delay, Action action) { this->due.emplace(this->now + delay, std::move(action)); }
    Duration delay(Duration usual);
    void handle(std::size_t host, const BatchCommand& command);
    void carryOut(std::size_t host, const WriteTransaction& effect);
    void carryOut(std::size_t host, const ReadRows& effect);
    void carryOut(std::size_t host, const ContactWorker& effect);
    void carryOut(std::size_t host, const ReplyToSubmitter& effect);

    std::multimap<Instant, Action> due;
};

} // namespace dragonflytray
