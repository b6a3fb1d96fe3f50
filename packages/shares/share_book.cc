#include "shares/share_book.h"

#include <algorithm>

#include "shares/apportionment.h"

namespace dragonflytray {

namespace {

    constexpr double baseWeight = 1; // of a host without demand
    constexpr double tieBreak = 0.01; // slots; spreads what can't be divided evenly over the hosts

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
        std::uint64_t hash = 14695981039346656037ULL; // FNV-1a, the same on every host
        for (const std::string* text : { &runner.value(), &host.value() }) {
            for (unsigned char byte : *text)
                hash = (hash ^ byte) * 1099511628211ULL;
        }
        return tieBreak * static_cast<double>((hash >> 32) % steps) / steps;
    }

} // namespace

int ShareBook::Holder::bound(const HostName& runner) const
{
    return std::max(slotsOf(this->held, runner), this->isAcknowledged ? 0 : slotsOf(this->granted, runner));
}

ShareBook::ShareBook(Options options, Instant now)
    : options(options)
    , beganAt(now)
{
}

void ShareBook::changeHosts(const std::map<HostName, Endpoint>& nextHosts, const std::map<HostName, int>& nextRunners, Instant now)
{
    for (const auto& [host, endpoint] : this->entryHosts)
        this->unlistedAt[{ host, endpoint }] = now;
    for (const auto& [host, endpoint] : nextHosts)
        this->unlistedAt.erase({ host, endpoint });
    this->entryHosts = nextHosts;
    this->runners = nextRunners;
}

void ShareBook::resume(Instant now)
{
    this->beganAt = now;
    for (auto& [id, holder] : this->holders)
        holder.heardAt = now;
    for (auto& [address, since] : this->unlistedAt)
        since = now;
}

ShareBook::Holder* ShareBook::takeReport(const ShareReport& report, Instant now)
{
    const HolderId id { report.host, report.incarnation };
    auto [entry, isNew] = this->holders.try_emplace(id);
    Holder& holder = entry->second;
    if (!isNew && report.sequence <= holder.reportSequence)
        return nullptr;
    holder.id = id;
    holder.endpoint = report.endpoint;
    holder.heardAt = now;
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
    for (auto& [runner, slots] : this->withheld)
        slots = std::max(0, slots - slotsOf(holder.held, runner));
    return &holder;
}

ShareBook::Address ShareBook::addressOf(const Holder& holder) const
{
    if (holder.endpoint.port != 0)
        return { holder.id.host, holder.endpoint };
    auto listed = this->entryHosts.find(holder.id.host);
    return { holder.id.host, listed == this->entryHosts.end() ? Endpoint {} : listed->second };
}

const ShareBook::Holder* ShareBook::latestAt(const Address& address) const
{
    const Holder* latest = nullptr;
    for (const auto& [id, holder] : this->holders) {
        if (this->addressOf(holder) == address && (!latest || holder.heardAt > latest->heardAt))
            latest = &holder;
    }
    return latest;
}

bool ShareBook::isListed(const Holder& holder) const
{
    auto listed = this->entryHosts.find(holder.id.host);
    return listed != this->entryHosts.end() && this->addressOf(holder).second == listed->second;
}

bool ShareBook::isCurrent(const Holder& holder, Instant now) const
{
    return !holder.isLeaving && now - holder.heardAt <= this->options.silentAfter && this->isListed(holder)
        && this->latestAt(this->addressOf(holder)) == &holder;
}

bool ShareBook::isDeparted(const Holder& holder, Instant now) const
{
    if (this->isListed(holder))
        return false;
    auto unlisted = this->unlistedAt.find(this->addressOf(holder));
    return unlisted == this->unlistedAt.end() || now - unlisted->second > this->options.silentAfter;
}

bool ShareBook::isReleasable(const Holder& holder, Instant now) const
{
    if (now - holder.heardAt <= this->options.releaseAfter)
        return false;
    const Address address = this->addressOf(holder);
    if (this->latestAt(address) != &holder)
        return true; // another process listens there, so this one has ended
    if (this->isListed(holder))
        return false;
    auto unlisted = this->unlistedAt.find(address);
    return unlisted == this->unlistedAt.end() || now - unlisted->second > this->options.releaseAfter;
}

void ShareBook::releaseSilent(Instant now, bool isListFresh)
{
    if (!isListFresh)
        return;
    for (auto entry = this->holders.begin(); entry != this->holders.end();)
        entry = this->isReleasable(entry->second, now) ? this->holders.erase(entry) : std::next(entry);
    const bool isAwaited = std::any_of(this->unlistedAt.begin(), this->unlistedAt.end(), [&](const auto& entry) {
        return now - entry.second <= this->options.settleAfter && !this->latestAt(entry.first);
    });
    if (!isAwaited && now - this->beganAt > this->options.settleAfter && this->unheard().empty())
        this->settle();
}

void ShareBook::settle()
{
    this->settled = true;
    this->withheld.clear();
}

std::vector<HostName> ShareBook::unheard() const
{
    std::vector<HostName> names;
    for (const auto& [host, endpoint] : this->entryHosts) {
        if (!this->latestAt({ host, endpoint }))
            names.push_back(host);
    }
    return names;
}

std::vector<ShareBook::Holder*> ShareBook::rebalance(Instant now)
{
    this->forgetDeparted();
    for (const auto& [runner, slots] : this->runners)
        this->rebalanceRunner(runner, slots, now);
    std::vector<Holder*> changed;
    for (auto& [id, holder] : this->holders) {
        std::erase_if(holder.desired, [](const auto& entry) { return entry.second == 0; });
        // One grant at a time: only the answer to it shows which of two a silent holder has taken.
        if (!holder.isAcknowledged || holder.desired == holder.granted)
            continue;
        holder.granted = holder.desired;
        holder.grantSequence = ++this->lastGrant;
        holder.isAcknowledged = false;
        changed.push_back(&holder);
    }
    return changed;
}

void ShareBook::forgetDeparted()
{
    for (auto& [id, holder] : this->holders) {
        std::erase_if(holder.desired, [&](const auto& entry) { return !this->runners.contains(entry.first); });
        std::erase_if(holder.demand, [&](const auto& entry) { return !this->runners.contains(entry.first); });
    }
    std::erase_if(this->movedAt, [&](const auto& entry) { return !this->runners.contains(entry.first); });
}

int ShareBook::boundOfAll(const HostName& runner) const
{
    int sum = 0;
    for (const auto& [id, holder] : this->holders)
        sum += std::max(holder.bound(runner), slotsOf(holder.desired, runner));
    return sum;
}

int ShareBook::withheldOf(const HostName& runner, int slots)
{
    if (this->settled)
        return 0;
    auto [entry, isNew] = this->withheld.try_emplace(runner, 0);
    if (isNew)
        entry->second = std::max(0, slots - this->boundOfAll(runner));
    return entry->second;
}

void ShareBook::rebalanceRunner(const HostName& runner, int slots, Instant now)
{
    std::vector<Member> members;
    std::vector<double> weights;
    int available = slots - this->withheldOf(runner, slots);
    for (auto& [id, holder] : this->holders) {
        if (!this->isCurrent(holder, now)) {
            if (holder.isLeaving || this->isDeparted(holder, now))
                holder.desired[runner] = 0;
            available -= std::max(holder.bound(runner), slotsOf(holder.desired, runner));
            continue;
        }
        members.push_back({ &holder });
        weights.push_back(baseWeight + holder.demand[runner]);
    }
    if (members.empty())
        return;
    const std::vector<double> targets = apportion(std::max(0, available), weights);
    int desired = 0;
    for (std::size_t i = 0; i < members.size(); ++i) {
        members[i].target = targets[i] + tieBreakOf(runner, members[i].holder->id.host);
        desired += slotsOf(members[i].holder->desired, runner);
    }
    this->lowerSurplus(runner, members, desired - std::max(0, available));
    this->raiseDeficits(runner, members, slots - this->withheldOf(runner, slots) - this->boundOfAll(runner));
    this->moveOne(runner, members, now);
}

namespace {

    // surplusOf() is how far a holder is over its target.
    double surplusOf(const ShareBook::Holder& holder, double target, const HostName& runner)
    {
        return slotsOf(holder.desired, runner) - target;
    }

} // namespace

void ShareBook::lowerSurplus(const HostName& runner, std::vector<Member>& members, int excess)
{
    for (; excess > 0; --excess) {
        Member* most = nullptr;
        for (Member& member : members) {
            const bool hasAny = slotsOf(member.holder->desired, runner) > 0;
            if (hasAny && (!most || surplusOf(*member.holder, member.target, runner) > surplusOf(*most->holder, most->target, runner)))
                most = &member;
        }
        if (!most)
            return;
        --most->holder->desired[runner];
    }
}

void ShareBook::raiseDeficits(const HostName& runner, std::vector<Member>& members, int free)
{
    for (; free > 0; --free) {
        auto least = std::min_element(members.begin(), members.end(), [&](const Member& a, const Member& b) {
            return surplusOf(*a.holder, a.target, runner) < surplusOf(*b.holder, b.target, runner);
        });
        ++least->holder->desired[runner];
    }
}

void ShareBook::moveOne(const HostName& runner, std::vector<Member>& members, Instant now)
{
    auto [movedAt, isNew] = this->movedAt.try_emplace(runner, now);
    if (now - movedAt->second < this->options.moveInterval)
        return;
    const bool isMoving = std::any_of(members.begin(), members.end(), [&](const Member& member) {
        return member.holder->bound(runner) != slotsOf(member.holder->desired, runner);
    });
    if (isMoving)
        return;
    auto [least, most] = std::minmax_element(members.begin(), members.end(), [&](const Member& a, const Member& b) {
        return surplusOf(*a.holder, a.target, runner) < surplusOf(*b.holder, b.target, runner);
    });
    if (surplusOf(*most->holder, most->target, runner) < this->options.moveThreshold || -surplusOf(*least->holder, least->target, runner) < this->options.moveThreshold)
        return;
    --most->holder->desired[runner];
    movedAt->second = now;
}

} // namespace dragonflytray
