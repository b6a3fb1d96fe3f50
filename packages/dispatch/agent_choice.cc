#include "dispatch/agent_choice.h"

#include <algorithm>
#include <functional>

namespace dragonflytray {

AgentChoice::AgentChoice(Options options)
    : options(std::move(options))
{
}

void AgentChoice::hostChanged(const HostName& host, const AgentCandidate* candidate)
{
    if (host == this->options.self)
        return;
    this->isChoiceDue = true;
    if (!candidate) {
        this->candidates.erase(host);
        return;
    }
    Candidate& known = this->candidates[host];
    if (known.host == *candidate)
        return;
    known = Candidate();
    known.host = *candidate;
}

void AgentChoice::workersCounted(std::map<DataCentreName, std::size_t> counts)
{
    this->isChoiceDue = this->isChoiceDue || counts != this->workers;
    this->workers = std::move(counts);
}

void AgentChoice::agentFailed(const Endpoint& endpoint, Instant now)
{
    for (auto& [name, candidate] : this->candidates) {
        if (candidate.host.endpoint != endpoint || now < candidate.excludedUntil)
            continue;
        if (candidate.failedSince == Instant())
            candidate.failedSince = now;
        candidate.nextCooldown = std::clamp(2 * candidate.nextCooldown, this->options.cooldown, this->options.maxCooldown);
        candidate.excludedUntil = now + candidate.nextCooldown;
        this->isChoiceDue = true;
    }
}

void AgentChoice::agentAnswered(const Endpoint& endpoint)
{
    for (auto& [name, candidate] : this->candidates) {
        if (candidate.host.endpoint != endpoint || candidate.failedSince == Instant())
            continue;
        candidate.failedSince = {};
        candidate.nextCooldown = Duration(0);
    }
}

bool AgentChoice::isDelegating() const
{
    std::size_t count = 0;
    for (const auto& [dataCentre, workers] : this->workers)
        count += workers;
    const auto all = static_cast<double>(count);
    return this->options.linkMegabits > 0 && (this->options.linkMegabits < all * this->options.minLinkPerWorker || this->options.processorShare < all * this->options.minProcessorPerWorker);
}

void AgentChoice::choose(Instant now)
{
    this->isChoiceDue = false;
    this->nextChoiceAt = Instant::max();
    this->chosen.clear();
    if (!this->isDelegating())
        return;
    for (const auto& [name, candidate] : this->candidates) {
        if (now < candidate.excludedUntil)
            this->nextChoiceAt = std::min(this->nextChoiceAt, candidate.excludedUntil);
        else
            this->chosen[candidate.host.dataCentre].push_back(&candidate);
    }
    for (auto& [dataCentre, agents] : this->chosen) {
        std::sort(agents.begin(), agents.end(), [](const Candidate* a, const Candidate* b) {
            return std::tie(b->host.linkMegabits, b->host.processorShare, a->host.host) < std::tie(a->host.linkMegabits, a->host.processorShare, b->host.host);
        });
        const auto found = this->workers.find(dataCentre);
        const std::size_t count = found == this->workers.end() ? 0 : found->second;
        agents.resize(std::min(agents.size(), (count + this->options.workersPerAgent - 1) / this->options.workersPerAgent));
    }
}

const AgentCandidate* AgentChoice::agentFor(const DataCentreName& dataCentre, const std::string& worker, Instant now)
{
    if (this->isChoiceDue || now >= this->nextChoiceAt)
        this->choose(now);
    const auto agents = this->chosen.find(dataCentre);
    if (agents == this->chosen.end())
        return nullptr;
    // The highest hash of worker and host: a host that is lost moves only its own workers.
    const Candidate* best = nullptr;
    std::size_t bestHash = 0;
    for (const Candidate* agent : agents->second) {
        const std::size_t hash = std::hash<std::string>()(worker + '@' + agent->host.host.value());
        if (best && hash <= bestHash)
            continue;
        best = agent;
        bestHash = hash;
    }
    return best ? &best->host : nullptr;
}

std::vector<HostName> AgentChoice::failedSince(Instant time) const
{
    std::vector<HostName> hosts;
    for (const auto& [name, candidate] : this->candidates) {
        if (candidate.failedSince != Instant() && candidate.failedSince <= time)
            hosts.push_back(name);
    }
    return hosts;
}

} // namespace dragonflytray
