#include "shares/shares.h"

#include <algorithm>

namespace dragonflytray {

// In the order of SharesCommandKind.
const std::array<Shares::Handler, sharesCommandNames.size()> Shares::handlers {
    &Shares::changeHosts,
    &Shares::changeConfiguration,
    &Shares::leaderChanged,
    &Shares::listConfirmed,
    &Shares::sharesHeld,
    &Shares::reportReceived,
    &Shares::grantReceived,
    &Shares::stopShares,
    &Shares::tick,
};

Shares::Shares(Options options)
    : options(std::move(options))
{
    require(this->options.incarnation != 0, "Shares: an incarnation must not be 0");
}

SharesEffects Shares::handle(const SharesCommand& command, Instant now)
{
    SharesEffects effects;
    this->notePause(now);
    this->lapseIfIsolated(now);
    (this->*handlers[command.index()])(command, now, effects);
    this->publish(effects);
    return effects;
}

SharesView Shares::ask(const SharesQuery& query, Instant now) const
{
    using Query = SharesView (Shares::*)(const SharesQuery&, Instant) const;
    static constexpr std::array<Query, std::variant_size_v<SharesQuery>> queries { &Shares::summary };
    return (this->*queries[query.index()])(query, now);
}

void Shares::notePause(Instant now)
{
    if (now - this->leadingAsOf > this->options.timing.pauseMargin)
        this->isLeading = false;
    const bool isPaused = this->isBegun && now - this->lastHandled > this->options.timing.pauseMargin;
    this->isBegun = true;
    this->lastHandled = now;
    if (!isPaused)
        return;
    ++this->pauses;
    // What waits in the rings was said before the pause: another may lead by now, and this host may be given up.
    this->isLeading = false;
    this->isSuspended = true;
    this->evidenceAfter = now;
}

void Shares::followEpoch(const HostName& nextLeader, Epoch nextEpoch)
{
    if (nextEpoch > this->epoch) {
        this->grantSequence = 0;
        this->isLeading = false;
        this->leaderEndpoint = {};
    }
    this->epoch = nextEpoch;
    this->leader = nextLeader;
}

Endpoint Shares::endpointOf(const HostName& host) const
{
    auto found = this->entryHosts.find(host);
    return found == this->entryHosts.end() ? Endpoint {} : found->second.peerEndpoint;
}

Instant Shares::validUntil() const
{
    if (this->hasGuards)
        return Instant::max();
    if (!this->confirmedAt || this->isSuspended)
        return Instant::min();
    return *this->confirmedAt + this->options.timing.isolationLimit;
}

void Shares::confirm(Instant evidenceAt)
{
    this->confirmedAt = std::max(this->confirmedAt.value_or(evidenceAt), evidenceAt);
    if (evidenceAt >= this->evidenceAfter)
        this->isSuspended = false;
}

void Shares::lapseIfIsolated(Instant now)
{
    if (this->shares.empty() || (this->hasGuards && !this->isLeftOut()))
        return;
    if (this->confirmedAt && now < *this->confirmedAt + this->options.timing.isolationLimit)
        return;
    // The leader may free these slots from here on, so that they never come back by themselves.
    this->setShares({});
    ++this->lapses;
}

bool Shares::isLeftOut() const
{
    return this->leftOutSince && this->listAskedAt - *this->leftOutSince >= this->options.timing.isolationLimit;
}

void Shares::setShares(const std::vector<SlotShare>& next)
{
    std::map<HostName, int> nextShares;
    for (const SlotShare& share : next) {
        if (share.slots > 0)
            nextShares[share.runner] = share.slots;
    }
    if (nextShares == this->shares)
        return;
    this->shares = std::move(nextShares);
    ++this->revision;
    for (const auto& [runner, slots] : this->shares)
        this->used[runner] = std::max(this->used[runner], slots);
}

void Shares::publish(SharesEffects& effects)
{
    const Instant until = this->validUntil();
    if (this->published == until && this->publishedRevision == this->revision)
        return;
    this->published = until;
    this->publishedRevision = this->revision;
    ChangeShares change { {}, this->revision, until };
    for (const auto& [runner, slots] : this->shares)
        change.shares.push_back({ runner, slots });
    effects.push_back(std::move(change));
}

bool Shares::isListed() const
{
    auto found = this->entryHosts.find(this->options.self);
    if (found == this->entryHosts.end())
        return false;
    // Another process under this host's name is not this one.
    return this->options.peerEndpoint.port == 0 || found->second.peerEndpoint == this->options.peerEndpoint;
}

} // namespace dragonflytray
