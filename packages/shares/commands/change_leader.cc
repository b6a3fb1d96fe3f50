#include "shares/shares.h"

namespace dragonflytray {

namespace {

    constexpr Epoch firstEpoch = 1; // nobody was leader before, so no process holds slots
    constexpr int missedReportsLimit = 4; // a holder that missed this many reports gets no more slots

} // namespace

void Shares::leaderChanged(const SharesCommand& command, Instant now, SharesEffects&)
{
    const auto& change = std::get<LeaderChanged>(command);
    if (change.epoch < this->epoch)
        return;
    if (change.leader != this->leader || change.epoch > this->epoch)
        this->adoptEpoch(change.leader, change.epoch);
    const bool isSelf = change.isSelf && now - change.checkedAt <= this->options.timing.pauseMargin;
    this->leadershipCheckedAt = change.checkedAt;
    if (isSelf && !this->isLeading)
        this->startLeading(now);
    if (!isSelf)
        this->isLeading = false;
}

void Shares::startLeading(Instant now)
{
    this->isLeading = true;
    this->leaderEndpoint = this->options.peerEndpoint;
    if (!this->hasCurrentAllocator())
        this->createAllocator(now);
    else if (this->allocatorPauses != this->pauses)
        this->allocator->restartTimeouts(now);
    this->allocatorPauses = this->pauses;
}

bool Shares::hasCurrentAllocator() const
{
    return this->allocator && this->allocatorEpoch == this->epoch;
}

void Shares::createAllocator(Instant now)
{
    const Duration releaseTimeout = this->options.timing.releaseTimeout();
    this->allocator.emplace(ShareAllocator::Options {
                                .releaseTimeout = releaseTimeout,
                                .recoveryTimeout = this->hasGuards ? this->options.guardedRecoveryTimeout : releaseTimeout,
                                .reportTimeout = this->options.reportInterval * missedReportsLimit,
                                .moveInterval = this->options.moveInterval,
                            },
        now);
    this->allocatorEpoch = this->epoch;
    this->updateAllocatorHosts(now);
    if (this->epoch == firstEpoch)
        this->allocator->finishRecovery();
}

} // namespace dragonflytray
