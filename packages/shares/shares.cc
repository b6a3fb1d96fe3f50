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
    this->detectPause(now);
    this->expireIfIsolated(now);
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

void Shares::detectPause(Instant now)
{
    if (now - this->leadershipCheckedAt > this->options.timing.pauseMargin)
        this->isLeading = false;
    const bool isPaused = this->hasHandledCommand && now - this->lastCommandAt > this->options.timing.pauseMargin;
    this->hasHandledCommand = true;
    this->lastCommandAt = now;
    if (!isPaused)
        return;
    ++this->pauses;
    // Messages that wait in the rings may be from before the pause. Another host may lead by now, and the leader may
    // have released the slots of this one, so only evidence from now on counts.
    this->isLeading = false;
    this->isSuspended = true;
    this->evidenceRequiredSince = now;
}

void Shares::adoptEpoch(const HostName& nextLeader, Epoch nextEpoch)
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
    if (!this->lastEvidenceAt || this->isSuspended)
        return Instant::min();
    return *this->lastEvidenceAt + this->options.timing.isolationTimeout;
}

void Shares::recordEvidence(Instant evidenceAt)
{
    this->lastEvidenceAt = std::max(this->lastEvidenceAt.value_or(evidenceAt), evidenceAt);
    if (evidenceAt >= this->evidenceRequiredSince)
        this->isSuspended = false;
}

void Shares::expireIfIsolated(Instant now)
{
    if (this->shares.empty() || (this->hasGuards && !this->isDelistedTooLong()))
        return;
    if (this->lastEvidenceAt && now < *this->lastEvidenceAt + this->options.timing.isolationTimeout)
        return;
    // From now on the leader may release these slots, so that they can only come back by a new grant.
    this->setShares({});
    ++this->expirations;
}

bool Shares::isDelistedTooLong() const
{
    return this->delistedSince && this->listRequestedAt - *this->delistedSince >= this->options.timing.isolationTimeout;
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
        this->held[runner] = std::max(this->held[runner], slots);
}

void Shares::publish(SharesEffects& effects)
{
    const Instant until = this->validUntil();
    if (this->publishedValidUntil == until && this->publishedRevision == this->revision)
        return;
    this->publishedValidUntil = until;
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
    // A listed host with this name but another endpoint is another process.
    return this->options.peerEndpoint.port == 0 || found->second.peerEndpoint == this->options.peerEndpoint;
}

} // namespace dragonflytray
