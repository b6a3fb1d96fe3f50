#pragma once

// A fake data centre for the long runs and the tests of `Shares`: entry hosts with a model of routing, a network
// that delays, loses and cuts, a lagging host list and a leader lease, all in simulated time from one seed.

#include "shares/shares.h"
#include <functional>
#include <memory>
#include <random>
#include <set>

namespace dragonflytray {

// SimulatedShareSource says what the simulated routing obeys.
enum class SimulatedShareSource {
    Shares,
    EvenSplit, // slots divided by the entry hosts on the host's own view of the list
};

inline constexpr NameTable simulatedShareSourceNames { std::to_array<NameEntry<SimulatedShareSource>>({
    { SimulatedShareSource::Shares, "shares" },
    { SimulatedShareSource::EvenSplit, "even-split" },
}) };
static_assert(simulatedShareSourceNames.isWhole(SimulatedShareSource::EvenSplit));

// SharesSimulation owns the whole data centre. Not thread-safe. Deterministic for its options.
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

    // Process is one run of a daemon on one entry host.
    struct Process {
        HostName host;
        Endpoint endpoint;
        Incarnation incarnation { 0 };
        std::unique_ptr<Shares> shares;
        Duration clockOffset { 0 };
        bool isAlive { true };
        Instant pausedUntil;
        Epoch lastLedEpoch { 0 }; // the last that it led
        Instant leaseEnd; // of that epoch, as it knows itself
        std::vector<std::pair<Instant, SharesCommand>> inbox;
        std::vector<std::pair<Instant, ChangeShares>> pendingChanges; // on their way to routing
        std::map<HostName, int> allowed;
        std::uint64_t revision { 0 };
        Instant validUntil { Instant::min() }; // on the simulation's clock
        std::map<HostName, std::vector<Instant>> inFlight; // when each attempt ends
        std::map<HostName, int> demand;
        std::vector<Host> listedHosts;
    };

    explicit SharesSimulation(Options options);

    // step() lets 100 ms pass.
    void step();
    void runSteps(int count);

    // injectFault() lets one random thing go wrong, or come right again.
    void injectFault();

    // heal() ends every fault.
    void heal();

    // Single faults, for tests.
    void pause(Process& process, Duration duration) { process.pausedUntil = this->now + duration; }
    void kill(Process& process);
    void start(const HostName& host);
    void disconnect(const HostName& a, const HostName& b);
    void disconnectFromPlatform(const HostName& host) { this->hostsWithoutPlatform.insert(host); }
    void delist(const HostName& host);
    void setTableDown(bool isDown) { this->isTableDown = isDown; }
    void setListDown(bool isDown) { this->isListDown = isDown; }

    // maxUsableSlots() is the largest sum that any runner's processes may use now; slotsPerRunner() is its slots.
    int maxUsableSlots() const;
    // idleSlots() counts the slots of all runners that no process may use.
    int idleSlots() const;
    int slotsPerRunner() const { return this->options.slots; }
    int usableSlots(const HostName& host, const HostName& runner) const;
    Process& process(const HostName& host);
    Process* leader();
    std::vector<Process*> liveProcesses();
    const std::vector<HostName>& runnerNames() const { return this->runners; }
    Instant time() const { return this->now; }
    std::uint64_t startedAttempts() const { return this->startedAttemptCount; }
    std::uint64_t leaderChanges() const { return this->leaderEpoch; }

private:
    struct HostListSnapshot {
        Instant at;
        std::vector<Host> hosts;
    };

    std::uint64_t random(std::uint64_t bound) { return this->generator() % bound; }
    bool isOneIn(std::uint64_t count) { return this->random(count) == 0; }
    Instant localTime(const Process& process) const { return this->now + process.clockOffset; }
    bool isPaused(const Process& process) const { return this->now < process.pausedUntil; }
    bool isDisconnected(const HostName& a, const HostName& b) const;
    void publishList();
    void updateHostList();
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
    std::map<HostName, std::uint16_t> ports;
    std::set<HostName> delisted;
    std::set<std::pair<HostName, HostName>> disconnectedHosts;
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
