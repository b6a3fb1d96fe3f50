#include "shares/shares_simulation.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    constexpr Duration stepTime = std::chrono::milliseconds(100);
    constexpr Duration lease = std::chrono::seconds(3);
    constexpr Duration leaseMargin = std::chrono::seconds(1);
    constexpr Duration unlistAfter = std::chrono::seconds(2); // the platform drops what it can't reach
    constexpr std::uint64_t lossOneIn = 30;
    constexpr std::uint64_t lateOneIn = 100;
    constexpr std::uint64_t longRequestOneIn = 20;
    const DataCentreName dataCentre { "dc1" };

    // Shorter than in production, so that a run meets more of each.
    constexpr Shares::Timing timing {
        .isolationLimit = std::chrono::seconds(3),
        .pauseMargin = std::chrono::seconds(1),
        .listLag = std::chrono::seconds(2),
        .longestRequest = std::chrono::seconds(4),
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
    std::uint16_t& port = this->portOf[host];
    // A process comes back on its machine, or under its name on another one.
    if (port == 0 || this->chance(2))
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
        .guardedSettle = std::chrono::seconds(2),
    });
    this->processes.push_back(std::move(process));
    this->give(*this->processes.back(), ChangeConfiguration { declarationWith(this->options.hasGuards) });
}

void SharesSimulation::kill(Process& process)
{
    process.isAlive = false;
}

void SharesSimulation::cut(const HostName& a, const HostName& b)
{
    this->cuts.insert(std::minmax(a, b));
}

bool SharesSimulation::isCut(const HostName& a, const HostName& b) const
{
    return this->cuts.contains(std::minmax(a, b));
}

void SharesSimulation::unlist(const HostName& host)
{
    this->unlisted.insert(host);
    this->publishList();
}

void SharesSimulation::publishList()
{
    Listing listing { this->now, {} };
    for (const HostName& host : this->hostNames) {
        if (!this->unlisted.contains(host))
            listing.hosts.push_back(entryHost(host, this->portOf.at(host)));
    }
    for (const HostName& runner : this->runners)
        listing.hosts.push_back(runnerHost(runner, this->options.slots));
    if (this->listings.empty() || this->listings.back().hosts != listing.hosts)
        this->listings.push_back(std::move(listing));
    // Older ones than the longest lag are never read, but for the one then in force.
    while (this->listings.size() > 1 && this->listings[1].at + timing.listLag < this->now)
        this->listings.erase(this->listings.begin());
}

void SharesSimulation::maintainList()
{
    bool isChanged = this->chance(10); // picks up other changes
    for (const HostName& host : this->hostNames) {
        Process& latest = this->process(host);
        const bool isReachable = latest.isAlive && !this->isFrozen(latest) && !this->platformCuts.contains(host);
        if (!isReachable && this->chance(static_cast<std::uint64_t>(unlistAfter / stepTime)))
            isChanged |= this->unlisted.insert(host).second;
        else if (isReachable && this->unlisted.contains(host) && this->chance(100))
            isChanged |= this->unlisted.erase(host) > 0;
    }
    if (isChanged)
        this->publishList();
}

void SharesSimulation::maintainLeader()
{
    for (Process* process : this->living()) {
        if (this->isFrozen(*process))
            continue;
        const bool canWrite = !this->isTableDown && !this->platformCuts.contains(process->host);
        const bool isHolder = process->incarnation == this->leaderIncarnation;
        if (canWrite && isHolder && this->now < this->leaseEnd)
            this->leaseEnd = this->now + lease;
        const bool isVacant = this->now > this->leaseEnd + leaseMargin;
        if (canWrite && isVacant && this->chance(20)) {
            ++this->leaderEpoch;
            this->leaderIncarnation = process->incarnation;
            this->leaderName = process->host;
            this->leaseEnd = this->now + lease;
        }
        if (process->incarnation == this->leaderIncarnation) {
            process->ledEpoch = this->leaderEpoch;
            process->leaseEnd = this->leaseEnd;
        }
        if (!this->chance(5))
            continue;
        // A host that can't read the table still knows when its own lease ends.
        if (canWrite && this->leaderEpoch > 0)
            process->inbox.emplace_back(this->now, LeaderChanged { this->leaderName, this->leaderEpoch, process->ledEpoch == this->leaderEpoch && this->now < process->leaseEnd, this->local(*process) });
        else if (process->ledEpoch > 0)
            process->inbox.emplace_back(this->now, LeaderChanged { process->host, process->ledEpoch, this->now < process->leaseEnd, this->local(*process) });
    }
}

void SharesSimulation::step()
{
    this->now += stepTime;
    for (auto restart = this->restartAt.begin(); restart != this->restartAt.end();) {
        if (restart->second > this->now) {
            ++restart;
            continue;
        }
        Process& before = this->process(restart->first);
        if (before.isAlive)
            this->kill(before);
        this->start(restart->first);
        restart = this->restartAt.erase(restart);
    }
    this->maintainList();
    this->maintainLeader();
    for (std::size_t i = 0; i < this->processes.size(); ++i)
        this->run(*this->processes[i]);
    for (Process* process : this->living()) {
        if (&this->process(process->host) != process && this->chance(3000))
            this->kill(*process);
    }
    std::erase_if(this->processes, [&](const auto& process) {
        return !process->isAlive && process->inFlight.empty() && &this->process(process->host) != process.get();
    });
}

void SharesSimulation::steps(int count)
{
    for (int i = 0; i < count; ++i)
        this->step();
}

void SharesSimulation::run(Process& process)
{
    for (auto attempts = process.inFlight.begin(); attempts != process.inFlight.end();) {
        std::erase_if(attempts->second, [&](Instant end) { return end <= this->now; });
        attempts = attempts->second.empty() ? process.inFlight.erase(attempts) : std::next(attempts);
    }
    if (!process.isAlive || this->isFrozen(process))
        return;
    std::vector<SharesCommand> due;
    std::erase_if(process.inbox, [&](auto& entry) {
        if (entry.first > this->now)
            return false;
        due.push_back(std::move(entry.second));
        return true;
    });
    // Routing runs on its own thread: before or after the messages.
    const bool isRoutingFirst = this->chance(2);
    if (isRoutingFirst)
        this->route(process);
    for (const SharesCommand& command : due)
        this->give(process, command);
    if (this->chance(5))
        this->readList(process);
    this->give(process, SharesTick {});
    if (!isRoutingFirst)
        this->route(process);
}

void SharesSimulation::readList(Process& process)
{
    if (this->isListDown || this->platformCuts.contains(process.host))
        return;
    // Each read may be served by another replica, so that views go forth and back.
    const Instant readAt = this->now - stepTime * static_cast<long>(this->random(timing.listLag / stepTime));
    const Listing* seen = &this->listings.front();
    for (const Listing& listing : this->listings) {
        if (listing.at <= readAt)
            seen = &listing;
    }
    const Instant arrival = this->now + stepTime * static_cast<long>(this->random(3));
    if (process.seenHosts != seen->hosts) {
        process.seenHosts = seen->hosts;
        process.inbox.emplace_back(arrival, ChangeHosts { seen->hosts });
    }
    process.inbox.emplace_back(arrival, ListConfirmed { this->local(process) });
}

void SharesSimulation::give(Process& process, const SharesCommand& command)
{
    this->carryOut(process, process.shares->handle(command, this->local(process)));
}

void SharesSimulation::carryOut(Process& process, SharesEffects effects)
{
    for (SharesEffect& effect : effects) {
        if (auto* change = std::get_if<ChangeShares>(&effect))
            process.changes.emplace_back(this->now + stepTime * static_cast<long>(this->random(2)), std::move(*change));
        else if (auto* report = std::get_if<SendShareReport>(&effect))
            this->send(process, report->endpoint, ShareReportReceived { std::move(report->report) });
        else if (auto* grant = std::get_if<SendShareGrant>(&effect))
            this->send(process, grant->endpoint, ShareGrantReceived { std::move(grant->grant) });
    }
}

void SharesSimulation::send(const Process& from, const Endpoint& to, SharesCommand command)
{
    for (auto& process : this->processes) {
        if (!process->isAlive || process->endpoint != to || this->isCut(from.host, process->host) || this->chance(lossOneIn))
            continue;
        const auto delaySteps = this->chance(lateOneIn) ? this->random(60) : this->random(3);
        process->inbox.emplace_back(this->now + stepTime * static_cast<long>(delaySteps), command);
    }
}

void SharesSimulation::takeChanges(Process& process)
{
    auto due = process.changes.begin();
    for (; due != process.changes.end() && due->first <= this->now; ++due) {
        process.allowed.clear();
        for (const SlotShare& share : due->second.shares)
            process.allowed[share.runner] = share.slots;
        process.revision = due->second.revision;
        const Instant until = due->second.validUntil;
        process.validUntil = until == Instant::max() || until == Instant::min() ? until : until - process.clockOffset;
    }
    process.changes.erase(process.changes.begin(), due);
}

void SharesSimulation::splitEvenly(Process& process)
{
    const auto hosts = std::count_if(process.seenHosts.begin(), process.seenHosts.end(), [](const Host& host) { return host.kind == HostKind::EntryHost; });
    for (const HostName& runner : this->runners)
        process.allowed[runner] = hosts == 0 ? 0 : std::max(1, this->options.slots / static_cast<int>(hosts));
    process.validUntil = Instant::max();
}

void SharesSimulation::route(Process& process)
{
    if (this->options.source == ShareSource::Shares)
        this->takeChanges(process);
    else
        this->splitEvenly(process);
    for (const HostName& runner : this->runners) {
        if (this->chance(100))
            process.demand[runner] = static_cast<int>(this->random(12));
        const int allowed = this->now < process.validUntil ? std::min(process.allowed[runner], process.demand[runner]) : 0;
        while (static_cast<int>(process.inFlight[runner].size()) < allowed) {
            const Duration longest = this->chance(longRequestOneIn) ? timing.longestRequest : Duration(std::chrono::milliseconds(500));
            process.inFlight[runner].push_back(this->now + stepTime * static_cast<long>(1 + this->random(longest / stepTime)));
            ++this->startedCount;
        }
    }
    if (this->chance(2))
        this->reportHeld(process);
}

void SharesSimulation::reportHeld(Process& process)
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

int SharesSimulation::worstSum() const
{
    int worst = 0;
    for (const HostName& runner : this->runners) {
        int sum = 0;
        for (const auto& process : this->processes) {
            auto attempts = process->inFlight.find(runner);
            auto allowed = process->allowed.find(runner);
            const int inFlight = attempts == process->inFlight.end() ? 0 : static_cast<int>(attempts->second.size());
            const bool mayStart = process->isAlive && this->now < process->validUntil && allowed != process->allowed.end();
            sum += std::max(inFlight, mayStart ? allowed->second : 0);
        }
        worst = std::max(worst, sum);
    }
    return worst;
}

int SharesSimulation::allowedOf(const HostName& host, const HostName& runner) const
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
    for (Process* process : this->living()) {
        if (std::get<SharesSummary>(process->shares->ask(SharesSummaryQuery {}, this->local(*process))).isLeading)
            return process;
    }
    return nullptr;
}

std::vector<SharesSimulation::Process*> SharesSimulation::living()
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
    this->cuts.clear();
    this->platformCuts.clear();
    this->unlisted.clear();
    this->isTableDown = false;
    this->isListDown = false;
    for (Process* process : this->living())
        process->frozenUntil = this->now;
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
        [&] { this->cut(host, other); },
        [&] { this->cuts.clear(); },
        [&] { this->cutFromPlatform(host); },
        [&] { this->platformCuts.clear(); },
        [&] { this->freeze(process, stepTime * static_cast<long>(this->random(300))); },
        [&] { this->kill(process); this->restartAt[host] = this->now + stepTime * static_cast<long>(this->random(100)); },
        // The old process lives on, frozen or cut off, while another takes its name.
        [&] { this->freeze(process, stepTime * static_cast<long>(this->random(200))); this->portOf[host] = 0; this->start(host); },
        [&] { this->unlist(host); },
        [&] { this->isTableDown = this->chance(2); },
        [&] { this->isListDown = this->chance(2); },
        // The leader goes, by death or by pause.
        [&] {
            for (Process* leader : this->living()) {
                if (leader->incarnation != this->leaderIncarnation)
                    continue;
                if (this->chance(2))
                    return this->freeze(*leader, stepTime * static_cast<long>(this->random(300)));
                this->kill(*leader);
                this->restartAt[leader->host] = this->now + stepTime * static_cast<long>(this->random(300));
            }
        },
        // Replaced by a host of another name; the old one is listed no more but may go on, cut off from all.
        [&] {
            if (this->chance(2))
                this->kill(process);
            for (const HostName& each : hosts)
                this->cut(host, each);
            this->cutFromPlatform(host);
            this->unlist(host);
            this->start(HostName("e" + std::to_string(++this->lastHost)));
            this->hostNames.erase(host);
            this->restartAt.erase(host);
        },
    };
    faults[this->random(faults.size())]();
}

} // namespace dragonflytray
