#include "shares/share_allocator.h"

#include <algorithm>

#include "shares/apportionment.h"

namespace dragonflytray {

namespace {

    constexpr double idleHolderWeight = 1; // in slots of demand, so that a host without demand gets a share too
    constexpr double maxTieBreak = 0.01; // slots; spreads the remainders of several runners over different hosts

    int slotsOf(const std::map<HostName, int>& shares, const HostName& runner)
    {
        auto found = shares.find(runner);
        return found == shares.end() ? 0 : found->second;
    }

    std::map<HostName, int> toMap(const std::vector<SlotShare>& shares)
    {
        std::map<HostName, int> map;
        for (const SlotShare& share : shares) {
            if (share.slots > 0)
                map[share.runner] += share.slots;
        }
        return map;
    }

    double tieBreakOf(const HostName& runner, const HostName& host)
    {
        constexpr std::uint64_t steps = 1024;
        std::uint64_t hash = 14695981039346656037ULL; // FNV-1a, since std::hash may differ between hosts
        for (const std::string* text : { &runner.value(), &host.value() }) {
            for (unsigned char byte : *text)
                hash = (hash ^ byte) * 1099511628211ULL;
        }
        return maxTieBreak * static_cast<double>((hash >> 32) % steps) / steps;
    }

} // namespace

int ShareAllocator::Holder::maxHeldSlots(const HostName& runner) const
{
    return std::max(slotsOf(this->held, runner), this->isAcknowledged ? 0 : slotsOf(this->granted, runner));
}

ShareAllocator::ShareAllocator(Options options, Instant now)
    : options(options)
    , recoveryStartedAt(now)
{
}

void ShareAllocator::changeHosts(const std::map<HostName, Endpoint>& nextHosts, const std::map<HostName, int>& nextRunners, Instant now)
{
    for (const auto& [host, endpoint] : this->entryHosts)
        this->delistedAt[{ host, endpoint }] = now;
    for (const auto& [host, endpoint] : nextHosts)
        this->delistedAt.erase({ host, endpoint });
    this->entryHosts = nextHosts;
    this->runners = nextRunners;
}

void ShareAllocator::restartTimeouts(Instant now)
{
    this->recoveryStartedAt = now;
    for (auto& [id, holder] : this->holders)
        holder.lastReportAt = now;
    for (auto& [address, since] : this->delistedAt)
        since = now;
}

ShareAllocator::Holder* ShareAllocator::applyReport(const ShareReport& report, Instant now)
{
    const HolderId id { report.host, report.incarnation };
    auto [entry, isNew] = this->holders.try_emplace(id);
    Holder& holder = entry->second;
    if (!isNew && report.sequence <= holder.reportSequence)
        return nullptr;
    holder.id = id;
    holder.endpoint = report.endpoint;
    holder.lastReportAt = now;
    holder.reportSequence = report.sequence;
    holder.isLeaving = report.isLeaving;
    holder.held = toMap(report.held);
    if (report.grantSequence >= holder.grantSequence)
        holder.isAcknowledged = true;
    const std::map<HostName, int> wanted = toMap(report.wanted);
    for (const auto& [runner, slots] : this->runners) {
        double& demand = holder.demand[runner];
        demand += this->options.demandSmoothing * (slotsOf(wanted, runner) - demand);
    }
    if (!isNew)
        return &holder;
    holder.desired = holder.held;
    for (auto& [runner, slots] : this->reserved)
        slots = std::max(0, slots - slotsOf(holder.held, runner));
    return &holder;
}

ShareAllocator::Address ShareAllocator::addressOf(const Holder& holder) const
{
    if (holder.endpoint.port != 0)
        return { holder.id.host, holder.endpoint };
    auto listed = this->entryHosts.find(holder.id.host);
    return { holder.id.host, listed == this->entryHosts.end() ? Endpoint {} : listed->second };
}

const ShareAllocator::Holder* ShareAllocator::latestHolderAt(const Address& address) const
{
    const Holder* latest = nullptr;
    for (const auto& [id, holder] : this->holders) {
        if (this->addressOf(holder) == address && (!latest || holder.lastReportAt > latest->lastReportAt))
            latest = &holder;
    }
    return latest;
}

bool ShareAllocator::isListed(const Holder& holder) const
{
    auto listed = this->entryHosts.find(holder.id.host);
    return listed != this->entryHosts.end() && this->addressOf(holder).second == listed->second;
}

bool ShareAllocator::isActive(const Holder& holder, Instant now) const
{
    return !holder.isLeaving && now - holder.lastReportAt <= this->options.reportTimeout && this->isListed(holder)
        && this->latestHolderAt(this->addressOf(holder)) == &holder;
}

bool ShareAllocator::isDelisted(const Holder& holder, Instant now) const
{
    if (this->isListed(holder))
        return false;
    auto delisted = this->delistedAt.find(this->addressOf(holder));
    return delisted == this->delistedAt.end() || now - delisted->second > this->options.reportTimeout;
}

bool ShareAllocator::isReleasable(const Holder& holder, Instant now) const
{
    if (now - holder.lastReportAt <= this->options.releaseTimeout)
        return false;
    const Address address = this->addressOf(holder);
    if (this->latestHolderAt(address) != &holder)
        return true; // another process reports from this address, so this one has ended
    if (this->isListed(holder))
        return false;
    auto delisted = this->delistedAt.find(address);
    return delisted == this->delistedAt.end() || now - delisted->second > this->options.releaseTimeout;
}

void ShareAllocator::releaseExpired(Instant now, bool isListFresh)
{
    if (!isListFresh)
        return;
    for (auto entry = this->holders.begin(); entry != this->holders.end();)
        entry = this->isReleasable(entry->second, now) ? this->holders.erase(entry) : std::next(entry);
    const bool isAwaited = std::any_of(this->delistedAt.begin(), this->delistedAt.end(), [&](const auto& entry) {
        return now - entry.second <= this->options.recoveryTimeout && !this->latestHolderAt(entry.first);
    });
    if (!isAwaited && now - this->recoveryStartedAt > this->options.recoveryTimeout && this->unreportedHosts().empty())
        this->finishRecovery();
}

void ShareAllocator::finishRecovery()
{
    this->hasRecovered = true;
    this->reserved.clear();
}

std::vector<HostName> ShareAllocator::unreportedHosts() const
{
    std::vector<HostName> names;
    for (const auto& [host, endpoint] : this->entryHosts) {
        if (!this->latestHolderAt({ host, endpoint }))
            names.push_back(host);
    }
    return names;
}

std::vector<ShareAllocator::Holder*> ShareAllocator::rebalance(Instant now)
{
    this->eraseRemovedRunners();
    for (const auto& [runner, slots] : this->runners)
        this->rebalanceRunner(runner, slots, now);
    std::vector<Holder*> changed;
    for (auto& [id, holder] : this->holders) {
        std::erase_if(holder.desired, [](const auto& entry) { return entry.second == 0; });
        // Only one grant to a holder is unacknowledged at a time. With two, the leader would not know which of them a
        // holder that stops reporting has applied.
        if (!holder.isAcknowledged || holder.desired == holder.granted)
            continue;
        holder.granted = holder.desired;
        holder.grantSequence = ++this->lastGrantSequence;
        holder.isAcknowledged = false;
        changed.push_back(&holder);
    }
    return changed;
}

void ShareAllocator::eraseRemovedRunners()
{
    for (auto& [id, holder] : this->holders) {
        std::erase_if(holder.desired, [&](const auto& entry) { return !this->runners.contains(entry.first); });
        std::erase_if(holder.demand, [&](const auto& entry) { return !this->runners.contains(entry.first); });
    }
    std::erase_if(this->lastMoveAt, [&](const auto& entry) { return !this->runners.contains(entry.first); });
}

int ShareAllocator::committedSlots(const HostName& runner) const
{
    int sum = 0;
    for (const auto& [id, holder] : this->holders)
        sum += std::max(holder.maxHeldSlots(runner), slotsOf(holder.desired, runner));
    return sum;
}

int ShareAllocator::reservedSlots(const HostName& runner, int slots)
{
    if (this->hasRecovered)
        return 0;
    auto [entry, isNew] = this->reserved.try_emplace(runner, 0);
    if (isNew)
        entry->second = std::max(0, slots - this->committedSlots(runner));
    return entry->second;
}

void ShareAllocator::rebalanceRunner(const HostName& runner, int slots, Instant now)
{
    std::vector<ActiveHolder> activeHolders;
    std::vector<double> weights;
    int available = slots - this->reservedSlots(runner, slots);
    for (auto& [id, holder] : this->holders) {
        if (!this->isActive(holder, now)) {
            if (holder.isLeaving || this->isDelisted(holder, now))
                holder.desired[runner] = 0;
            available -= std::max(holder.maxHeldSlots(runner), slotsOf(holder.desired, runner));
            continue;
        }
        activeHolders.push_back({ &holder });
        weights.push_back(idleHolderWeight + holder.demand[runner]);
    }
    if (activeHolders.empty())
        return;
    const std::vector<double> targets = apportion(std::max(0, available), weights);
    int desired = 0;
    for (std::size_t i = 0; i < activeHolders.size(); ++i) {
        activeHolders[i].target = targets[i] + tieBreakOf(runner, activeHolders[i].holder->id.host);
        desired += slotsOf(activeHolders[i].holder->desired, runner);
    }
    this->reduceAllocations(runner, activeHolders, desired - std::max(0, available));
    this->distributeFreeSlots(runner, activeHolders, slots - this->reservedSlots(runner, slots) - this->committedSlots(runner));
    this->startMove(runner, activeHolders, now);
}

namespace {

    // surplusOf() returns the slots by which the holder's allocation exceeds its target; negative if it is below.
    double surplusOf(const ShareAllocator::Holder& holder, double target, const HostName& runner)
    {
        return slotsOf(holder.desired, runner) - target;
    }

} // namespace

void ShareAllocator::reduceAllocations(const HostName& runner, std::vector<ActiveHolder>& activeHolders, int excess)
{
    for (; excess > 0; --excess) {
        ActiveHolder* most = nullptr;
        for (ActiveHolder& active : activeHolders) {
            const bool hasAny = slotsOf(active.holder->desired, runner) > 0;
            if (hasAny && (!most || surplusOf(*active.holder, active.target, runner) > surplusOf(*most->holder, most->target, runner)))
                most = &active;
        }
        if (!most)
            return;
        --most->holder->desired[runner];
    }
}

void ShareAllocator::distributeFreeSlots(const HostName& runner, std::vector<ActiveHolder>& activeHolders, int free)
{
    for (; free > 0; --free) {
        auto least = std::min_element(activeHolders.begin(), activeHolders.end(), [&](const ActiveHolder& a, const ActiveHolder& b) {
            return surplusOf(*a.holder, a.target, runner) < surplusOf(*b.holder, b.target, runner);
        });
        ++least->holder->desired[runner];
    }
}

void ShareAllocator::startMove(const HostName& runner, std::vector<ActiveHolder>& activeHolders, Instant now)
{
    auto [lastMoveAt, isNew] = this->lastMoveAt.try_emplace(runner, now);
    if (now - lastMoveAt->second < this->options.moveInterval)
        return;
    const bool isMoving = std::any_of(activeHolders.begin(), activeHolders.end(), [&](const ActiveHolder& active) {
        return active.holder->maxHeldSlots(runner) != slotsOf(active.holder->desired, runner);
    });
    if (isMoving)
        return;
    auto [least, most] = std::minmax_element(activeHolders.begin(), activeHolders.end(), [&](const ActiveHolder& a, const ActiveHolder& b) {
        return surplusOf(*a.holder, a.target, runner) < surplusOf(*b.holder, b.target, runner);
    });
    if (surplusOf(*most->holder, most->target, runner) < this->options.moveThreshold || -surplusOf(*least->holder, least->target, runner) < this->options.moveThreshold)
        return;
    --most->holder->desired[runner];
    lastMoveAt->second = now;
}

} // namespace dragonflytray
