#pragma once

// A simulated data centre for the tests of `Shares`: entry hosts with a model of routing, a network with delays, message
// loss and partitions, a stale host list and a leader lease. It runs in simulated time, with randomness from one seed.
//
// Example:
//
//     SharesSimulation simulation({ .seed = 1, .entryHosts = 3 });
//     simulation.injectFault();
//     simulation.runSteps(100);
//     CHECK(simulation.maxUsableSlots() <= simulation.slotsPerRunner());

#include "shares/shares.h"
#include <functional>
#include <memory>
#include <random>
#include <set>

namespace dragonflytray {

// SimulatedShareSource says where the simulated routing takes its slots from.
enum class SimulatedShareSource {
    Shares, // from `Shares`
    EvenSplit, // each host takes an equal part, by the number of entry hosts on the list that it last read
};

inline constexpr NameTable simulatedShareSourceNames { std::to_array<NameEntry<SimulatedShareSource>>({
    { SimulatedShareSource::Shares, "shares" },
    { SimulatedShareSource::EvenSplit, "even-split" },
}) };
static_assert(simulatedShareSourceNames.isWhole(SimulatedShareSource::EvenSplit));

// SharesSimulation simulates one data centre. Not thread-safe. Its course is determined by its options and calls.
class SharesSimulation {
public:
    struct Options {
        std::uint64_t seed { 1 };
        int entryHosts { 5 };
        int runners { 4 };
        int slots { 8 };
        bool hasGuards { false };
        SimulatedShareSource source { SimulatedShareSource::Shares };
    };

    // Process is one process of a daemon on one entry host.
    struct Process {
        HostName host;
        Endpoint endpoint;
        Incarnation incarnation { 0 };
        std::unique_ptr<Shares> shares;
        Duration clockOffset { 0 }; // of its clock, relative to the simulation's
        bool isAlive { true };
        Instant pausedUntil;
        Epoch lastLedEpoch { 0 }; // the last epoch in which it was the leader
        Instant leaseEnd; // of that epoch, as far as the process knows
        std::vector<std::pair<Instant, SharesCommand>> inbox; // with times of arrival
        std::vector<std::pair<Instant, ChangeShares>> pendingChanges; // on their way to routing, with times of arrival
        std::map<HostName, int> allowed; // slots of each runner that routing may use
        std::uint64_t revision { 0 };
        Instant validUntil { Instant::min() }; // of `allowed`, on the simulation's clock
        std::map<HostName, std::vector<Instant>> inFlight; // times at which the attempts on each runner end
        std::map<HostName, int> demand; // slots of each runner that routing would use
        std::vector<Host> listedHosts; // as last read
    };

    explicit SharesSimulation(Options options);

    // step() advances the simulation by 100 ms.
    void step();
    void runSteps(int count);

    // injectFault() starts or ends one random fault.
    void injectFault();

    // heal() ends every fault.
    void heal();

    // The following functions cause single faults.
    void pause(Process& process, Duration duration) { process.pausedUntil = this->now + duration; }
    void kill(Process& process);
    void start(const HostName& host);
    void disconnect(const HostName& a, const HostName& b);
    void disconnectFromPlatform(const HostName& host) { this->hostsWithoutPlatform.insert(host); }
    void delist(const HostName& host);
    void setTableDown(bool isDown) { this->isTableDown = isDown; }
    void setListDown(bool isDown) { this->isListDown = isDown; }

    // maxUsableSlots() returns the largest number of slots of one runner that all processes together use or may use
    // now. Above slotsPerRunner(), the runner is overcommitted.
    int maxUsableSlots() const;
    // idleSlots() returns the number of slots of all runners that no process may use.
    int idleSlots() const;
    int slotsPerRunner() const { return this->options.slots; }
    // usableSlots() returns the slots of `runner` that the live process of `host` may use.
    int usableSlots(const HostName& host, const HostName& runner) const;
    // process() returns the latest process of `host`, which must exist.
    Process& process(const HostName& host);
    // leader() returns a live process that acts as leader, or nullptr.
    Process* leader();
    std::vector<Process*> liveProcesses();
    const std::vector<HostName>& runnerNames() const { return this->runners; }
    Instant time() const { return this->now; }
    // startedAttempts() and leaderChanges() count events since the start of the simulation.
    std::uint64_t startedAttempts() const { return this->startedAttemptCount; }
    std::uint64_t leaderChanges() const { return this->leaderEpoch; }

private:
    // HostListSnapshot is the host list as the platform had it from `at` on.
    struct HostListSnapshot {
        Instant at;
        std::vector<Host> hosts;
    };

    // random() returns a number below `bound`.
    std::uint64_t random(std::uint64_t bound) { return this->generator() % bound; }
    // isOneIn() draws true with a probability of one in `count`.
    bool isOneIn(std::uint64_t count) { return this->random(count) == 0; }
    Instant localTime(const Process& process) const { return this->now + process.clockOffset; }
    bool isPaused(const Process& process) const { return this->now < process.pausedUntil; }
    bool isDisconnected(const HostName& a, const HostName& b) const;
    void publishList();
    // updateHostList() lets the platform delist unreachable hosts and list reachable ones again, each after a random time.
    void updateHostList();
    // updateLeader() renews the lease, lets another process take an expired one, and sends LeaderChanged.
    void updateLeader();
    void runProcess(Process& process);
    void readList(Process& process);
    void deliver(Process& process, const SharesCommand& command);
    void carryOut(Process& process, SharesEffects effects);
    void send(const Process& from, const Endpoint& to, SharesCommand command);
    void simulateRouting(Process& process);
    void applyShareChanges(Process& process);
    void splitEvenly(Process& process);
    void sendHeldReport(Process& process);

    Options options;
    std::mt19937_64 generator;
    Instant now;
    std::vector<HostName> runners;
    std::vector<std::unique_ptr<Process>> processes;
    std::set<HostName> hostNames;
    std::map<HostName, std::uint16_t> ports; // of the latest process of each host
    std::set<HostName> delisted;
    std::set<std::pair<HostName, HostName>> disconnectedPairs;
    std::set<HostName> hostsWithoutPlatform;
    std::map<HostName, Instant> restartAt;
    std::vector<HostListSnapshot> snapshots;
    bool isTableDown { false };
    bool isListDown { false };
    Incarnation lastIncarnation { 0 };
    std::uint16_t lastPort { 1000 };
    int lastHost { 0 };
    Epoch leaderEpoch { 0 };
    Incarnation leaderIncarnation { 0 };
    HostName leaderName;
    Instant leaseEnd;
    std::uint64_t startedAttemptCount { 0 };
};

} // namespace dragonflytray
