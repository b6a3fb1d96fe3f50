#include "shares/shares_simulation.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    constexpr Duration stepDuration = std::chrono::milliseconds(100);
    constexpr Duration leaseDuration = std::chrono::seconds(3);
    constexpr Duration leaseMargin = std::chrono::seconds(1); // from the end of a lease until another process may take it
    constexpr Duration meanDelistDelay = std::chrono::seconds(2); // until the platform delists an unreachable host
    constexpr std::uint64_t messagesPerLoss = 30; // on average one message in this many is lost
    constexpr std::uint64_t messagesPerLateArrival = 100; // on average one message in this many is delayed for long
    constexpr std::uint64_t requestsPerLongRequest = 20; // on average one request in this many may take the maximum duration
    const DataCentreName dataCentre { "dc1" };

    // These are shorter than in production, so that a run contains more timeouts of each kind.
    constexpr Shares::Timing timing {
        .isolationTimeout = std::chrono::seconds(3),
        .pauseMargin = std::chrono::seconds(1),
        .maxListLag = std::chrono::seconds(2),
        .maxRequestDuration = std::chrono::seconds(4),
    };

    DeclarationInForce declarationWith(bool hasGuards)
    {
        auto declaration = std::make_shared<Declaration>();
        declaration->workers.push_back({ dataCentre, hasGuards });
        return { 1, declaration };
    }

    Host entryHost(const HostName& name, std::uint16_t port)
    {
        Host host;
        host.name = name;
        host.kind = HostKind::EntryHost;
        host.dataCentre = dataCentre;
        host.peerEndpoint = { "10.0.0.1", port };
        return host;
    }

    Host runnerHost(const HostName& name, int slots)
    {
        Host host;
        host.name = name;
        host.kind = HostKind::Runner;
        host.dataCentre = dataCentre;
        host.slots = slots;
        return host;
    }

} // namespace

SharesSimulation::SharesSimulation(Options options)
    : options(options)
    , generator(options.seed)
    , now(std::chrono::hours(1))
{
    for (int i = 1; i <= options.runners; ++i)
        this->runners.emplace_back("r" + std::to_string(i));
    for (int i = 1; i <= options.entryHosts; ++i)
        this->start(HostName("e" + std::to_string(++this->lastHost)));
    this->publishList();
}

void SharesSimulation::start(const HostName& host)
{
    this->hostNames.insert(host);
    std::uint16_t& port = this->ports[host];
    // A process restarts on the same machine (same port), or on another one under the same name.
    if (port == 0 || this->isOneIn(2))
        port = ++this->lastPort;
    auto process = std::make_unique<Process>();
    process->host = host;
    process->endpoint = { "10.0.0.1", port };
    process->incarnation = ++this->lastIncarnation;
    process->clockOffset = std::chrono::seconds(this->random(1000));
    process->shares = std::make_unique<Shares>(Shares::Options {
        .self = host,
        .dataCentre = dataCentre,
        .peerEndpoint = process->endpoint,
        .incarnation = process->incarnation,
        .timing = timing,
        .reportInterval = std::chrono::milliseconds(500),
        .guardedRecoveryTimeout = std::chrono::seconds(2),
    });
    this->processes.push_back(std::move(process));
    this->deliver(*this->processes.back(), ChangeConfiguration { declarationWith(this->options.hasGuards) });
}

void SharesSimulation::kill(Process& process)
{
    process.isAlive = false;
}

void SharesSimulation::disconnect(const HostName& a, const HostName& b)
{
    this->disconnectedPairs.insert(std::minmax(a, b));
}

bool SharesSimulation::isDisconnected(const HostName& a, const HostName& b) const
{
    return this->disconnectedPairs.contains(std::minmax(a, b));
}

void SharesSimulation::delist(const HostName& host)
{
    this->delisted.insert(host);
    this->publishList();
}

void SharesSimulation::publishList()
{
    HostListSnapshot snapshot { this->now, {} };
    for (const HostName& host : this->hostNames) {
        if (!this->delisted.contains(host))
            snapshot.hosts.push_back(entryHost(host, this->ports.at(host)));
    }
    for (const HostName& runner : this->runners)
        snapshot.hosts.push_back(runnerHost(runner, this->options.slots));
    if (this->snapshots.empty() || this->snapshots.back().hosts != snapshot.hosts)
        this->snapshots.push_back(std::move(snapshot));
    // Keep the snapshots of the last `maxListLag`, and the one that was in force at its start.
    while (this->snapshots.size() > 1 && this->snapshots[1].at + timing.maxListLag < this->now)
        this->snapshots.erase(this->snapshots.begin());
}

void SharesSimulation::updateHostList()
{
    bool isChanged = this->isOneIn(10); // publishes changes made elsewhere, such as hosts that started or ended
    for (const HostName& host : this->hostNames) {
        Process& latest = this->process(host);
        const bool isReachable = latest.isAlive && !this->isPaused(latest) && !this->hostsWithoutPlatform.contains(host);
        if (!isReachable && this->isOneIn(static_cast<std::uint64_t>(meanDelistDelay / stepDuration)))
            isChanged |= this->delisted.insert(host).second;
        else if (isReachable && this->delisted.contains(host) && this->isOneIn(100))
            isChanged |= this->delisted.erase(host) > 0;
    }
    if (isChanged)
        this->publishList();
}

void SharesSimulation::updateLeader()
{
    for (Process* process : this->liveProcesses()) {
        if (this->isPaused(*process))
            continue;
        const bool canWrite = !this->isTableDown && !this->hostsWithoutPlatform.contains(process->host);
        const bool isLeaseHolder = process->incarnation == this->leaderIncarnation;
        if (canWrite && isLeaseHolder && this->now < this->leaseEnd)
            this->leaseEnd = this->now + leaseDuration;
        const bool isVacant = this->now > this->leaseEnd + leaseMargin;
        if (canWrite && isVacant && this->isOneIn(20)) {
            ++this->leaderEpoch;
            this->leaderIncarnation = process->incarnation;
            this->leaderName = process->host;
            this->leaseEnd = this->now + leaseDuration;
        }
        if (process->incarnation == this->leaderIncarnation) {
            process->lastLedEpoch = this->leaderEpoch;
            process->leaseEnd = this->leaseEnd;
        }
        if (!this->isOneIn(5))
            continue;
        // A host that can't access the table still knows when its own lease ends.
        if (canWrite && this->leaderEpoch > 0)
            process->inbox.emplace_back(this->now, LeaderChanged { this->leaderName, this->leaderEpoch, process->lastLedEpoch == this->leaderEpoch && this->now < process->leaseEnd, this->localTime(*process) });
        else if (process->lastLedEpoch > 0)
            process->inbox.emplace_back(this->now, LeaderChanged { process->host, process->lastLedEpoch, this->now < process->leaseEnd, this->localTime(*process) });
    }
}

void SharesSimulation::step()
{
    this->now += stepDuration;
    for (auto restart = this->restartAt.begin(); restart != this->restartAt.end();) {
        if (restart->second > this->now) {
            ++restart;
            continue;
        }
        Process& previous = this->process(restart->first);
        if (previous.isAlive)
            this->kill(previous);
        this->start(restart->first);
        restart = this->restartAt.erase(restart);
    }
    this->updateHostList();
    this->updateLeader();
    for (std::size_t i = 0; i < this->processes.size(); ++i)
        this->runProcess(*this->processes[i]);
    for (Process* process : this->liveProcesses()) {
        if (&this->process(process->host) != process && this->isOneIn(3000))
            this->kill(*process);
    }
    std::erase_if(this->processes, [&](const auto& process) {
        return !process->isAlive && process->inFlight.empty() && &this->process(process->host) != process.get();
    });
}

void SharesSimulation::runSteps(int count)
{
    for (int i = 0; i < count; ++i)
        this->step();
}

void SharesSimulation::runProcess(Process& process)
{
    for (auto attempts = process.inFlight.begin(); attempts != process.inFlight.end();) {
        std::erase_if(attempts->second, [&](Instant end) { return end <= this->now; });
        attempts = attempts->second.empty() ? process.inFlight.erase(attempts) : std::next(attempts);
    }
    if (!process.isAlive || this->isPaused(process))
        return;
    std::vector<SharesCommand> due;
    std::erase_if(process.inbox, [&](auto& entry) {
        if (entry.first > this->now)
            return false;
        due.push_back(std::move(entry.second));
        return true;
    });
    // Routing has its own thread, so it may run before or after the messages.
    const bool isRoutingFirst = this->isOneIn(2);
    if (isRoutingFirst)
        this->simulateRouting(process);
    for (const SharesCommand& command : due)
        this->deliver(process, command);
    if (this->isOneIn(5))
        this->readList(process);
    this->deliver(process, SharesTick {});
    if (!isRoutingFirst)
        this->simulateRouting(process);
}

void SharesSimulation::readList(Process& process)
{
    if (this->isListDown || this->hostsWithoutPlatform.contains(process.host))
        return;
    // Each read may be served by another replica, so that a later read may return an older list.
    const Instant readAt = this->now - stepDuration * static_cast<long>(this->random(timing.maxListLag / stepDuration));
    const HostListSnapshot* seen = &this->snapshots.front();
    for (const HostListSnapshot& snapshot : this->snapshots) {
        if (snapshot.at <= readAt)
            seen = &snapshot;
    }
    const Instant arrival = this->now + stepDuration * static_cast<long>(this->random(3));
    if (process.listedHosts != seen->hosts) {
        process.listedHosts = seen->hosts;
        process.inbox.emplace_back(arrival, ChangeHosts { seen->hosts });
    }
    process.inbox.emplace_back(arrival, HostListConfirmed { this->localTime(process) });
}

void SharesSimulation::deliver(Process& process, const SharesCommand& command)
{
    this->carryOut(process, process.shares->handle(command, this->localTime(process)));
}

void SharesSimulation::carryOut(Process& process, SharesEffects effects)
{
    for (SharesEffect& effect : effects) {
        if (auto* change = std::get_if<ChangeShares>(&effect))
            process.pendingChanges.emplace_back(this->now + stepDuration * static_cast<long>(this->random(2)), std::move(*change));
        else if (auto* report = std::get_if<SendShareReport>(&effect))
            this->send(process, report->endpoint, ShareReportReceived { std::move(report->report) });
        else if (auto* grant = std::get_if<SendShareGrant>(&effect))
            this->send(process, grant->endpoint, ShareGrantReceived { std::move(grant->grant) });
    }
}

void SharesSimulation::send(const Process& from, const Endpoint& to, SharesCommand command)
{
    for (auto& process : this->processes) {
        if (!process->isAlive || process->endpoint != to || this->isDisconnected(from.host, process->host) || this->isOneIn(messagesPerLoss))
            continue;
        const auto delaySteps = this->isOneIn(messagesPerLateArrival) ? this->random(60) : this->random(3);
        process->inbox.emplace_back(this->now + stepDuration * static_cast<long>(delaySteps), command);
    }
}

void SharesSimulation::applyShareChanges(Process& process)
{
    auto due = process.pendingChanges.begin();
    for (; due != process.pendingChanges.end() && due->first <= this->now; ++due) {
        process.allowed.clear();
        for (const SlotShare& share : due->second.shares)
            process.allowed[share.runner] = share.slots;
        process.revision = due->second.revision;
        const Instant until = due->second.validUntil;
        process.validUntil = until == Instant::max() || until == Instant::min() ? until : until - process.clockOffset;
    }
    process.pendingChanges.erase(process.pendingChanges.begin(), due);
}

void SharesSimulation::splitEvenly(Process& process)
{
    const auto hosts = std::count_if(process.listedHosts.begin(), process.listedHosts.end(), [](const Host& host) { return host.kind == HostKind::EntryHost; });
    for (const HostName& runner : this->runners)
        process.allowed[runner] = hosts == 0 ? 0 : std::max(1, this->options.slots / static_cast<int>(hosts));
    process.validUntil = Instant::max();
}

void SharesSimulation::simulateRouting(Process& process)
{
    if (this->options.source == SimulatedShareSource::Shares)
        this->applyShareChanges(process);
    else
        this->splitEvenly(process);
    for (const HostName& runner : this->runners) {
        if (this->isOneIn(100))
            process.demand[runner] = static_cast<int>(this->random(12));
        const int allowed = this->now < process.validUntil ? std::min(process.allowed[runner], process.demand[runner]) : 0;
        while (static_cast<int>(process.inFlight[runner].size()) < allowed) {
            const Duration longest = this->isOneIn(requestsPerLongRequest) ? timing.maxRequestDuration : Duration(std::chrono::milliseconds(500));
            process.inFlight[runner].push_back(this->now + stepDuration * static_cast<long>(1 + this->random(longest / stepDuration)));
            ++this->startedAttemptCount;
        }
    }
    if (this->isOneIn(2))
        this->sendHeldReport(process);
}

void SharesSimulation::sendHeldReport(Process& process)
{
    SharesHeld report { process.revision, {}, {} };
    for (const HostName& runner : this->runners) {
        report.held.push_back({ runner, std::max(process.allowed[runner], static_cast<int>(process.inFlight[runner].size())) });
        report.wanted.push_back({ runner, process.demand[runner] });
    }
    process.inbox.emplace_back(this->now, std::move(report));
}

int SharesSimulation::idleSlots() const
{
    int idle = 0;
    for (const HostName& runner : this->runners) {
        idle += this->options.slots;
        for (const auto& process : this->processes) {
            auto allowed = process->allowed.find(runner);
            if (process->isAlive && this->now < process->validUntil && allowed != process->allowed.end())
                idle -= allowed->second;
        }
    }
    return idle;
}

int SharesSimulation::maxUsableSlots() const
{
    int maxSum = 0;
    for (const HostName& runner : this->runners) {
        int sum = 0;
        for (const auto& process : this->processes) {
            auto attempts = process->inFlight.find(runner);
            auto allowed = process->allowed.find(runner);
            const int inFlight = attempts == process->inFlight.end() ? 0 : static_cast<int>(attempts->second.size());
            const bool mayStart = process->isAlive && this->now < process->validUntil && allowed != process->allowed.end();
            sum += std::max(inFlight, mayStart ? allowed->second : 0);
        }
        maxSum = std::max(maxSum, sum);
    }
    return maxSum;
}

int SharesSimulation::usableSlots(const HostName& host, const HostName& runner) const
{
    int allowed = 0;
    for (const auto& process : this->processes) {
        if (process->host == host && process->isAlive && this->now < process->validUntil && process->allowed.contains(runner))
            allowed = process->allowed.at(runner);
    }
    return allowed;
}

SharesSimulation::Process& SharesSimulation::process(const HostName& host)
{
    auto found = std::find_if(this->processes.rbegin(), this->processes.rend(), [&](const auto& process) { return process->host == host; });
    require(found != this->processes.rend(), "SharesSimulation: no process of this host");
    return **found;
}

SharesSimulation::Process* SharesSimulation::leader()
{
    for (Process* process : this->liveProcesses()) {
        if (std::get<SharesSummary>(process->shares->ask(SharesSummaryQuery {}, this->localTime(*process))).isLeading)
            return process;
    }
    return nullptr;
}

std::vector<SharesSimulation::Process*> SharesSimulation::liveProcesses()
{
    std::vector<Process*> found;
    for (auto& process : this->processes) {
        if (process->isAlive)
            found.push_back(process.get());
    }
    return found;
}

void SharesSimulation::heal()
{
    this->disconnectedPairs.clear();
    this->hostsWithoutPlatform.clear();
    this->delisted.clear();
    this->isTableDown = false;
    this->isListDown = false;
    for (Process* process : this->liveProcesses())
        process->pausedUntil = this->now;
    for (const HostName& host : this->hostNames) {
        if (!this->process(host).isAlive)
            this->restartAt.try_emplace(host, this->now);
    }
}

void SharesSimulation::injectFault()
{
    std::vector<HostName> hosts(this->hostNames.begin(), this->hostNames.end());
    const HostName host = hosts[this->random(hosts.size())];
    const HostName other = hosts[this->random(hosts.size())];
    Process& process = this->process(host);
    const std::vector<std::function<void()>> faults {
        [&] { this->disconnect(host, other); },
        [&] { this->disconnectedPairs.clear(); },
        [&] { this->disconnectFromPlatform(host); },
        [&] { this->hostsWithoutPlatform.clear(); },
        [&] { this->pause(process, stepDuration * static_cast<long>(this->random(300))); },
        [&] { this->kill(process); this->restartAt[host] = this->now + stepDuration * static_cast<long>(this->random(100)); },
        // The old process stays alive but paused, while another one on another machine takes its name.
        [&] { this->pause(process, stepDuration * static_cast<long>(this->random(200))); this->ports[host] = 0; this->start(host); },
        [&] { this->delist(host); },
        [&] { this->isTableDown = this->isOneIn(2); },
        [&] { this->isListDown = this->isOneIn(2); },
        // The leader is paused, or killed and restarted.
        [&] {
            for (Process* leader : this->liveProcesses()) {
                if (leader->incarnation != this->leaderIncarnation)
                    continue;
                if (this->isOneIn(2))
                    return this->pause(*leader, stepDuration * static_cast<long>(this->random(300)));
                this->kill(*leader);
                this->restartAt[leader->host] = this->now + stepDuration * static_cast<long>(this->random(300));
            }
        },
        // A host with another name replaces this one, which is delisted and may go on, disconnected from all others.
        [&] {
            if (this->isOneIn(2))
                this->kill(process);
            for (const HostName& each : hosts)
                this->disconnect(host, each);
            this->disconnectFromPlatform(host);
            this->delist(host);
            this->start(HostName("e" + std::to_string(++this->lastHost)));
            this->hostNames.erase(host);
            this->restartAt.erase(host);
        },
    };
    faults[this->random(faults.size())]();
}

} // namespace dragonflytray
