#include "shares/shares.h"

namespace dragonflytray {

namespace {

    constexpr Epoch firstEpoch = 1; // nobody led before, so nobody holds anything
    constexpr int reportsMissed = 4; // after which a holder gets no more slots

} // namespace

void Shares::leaderChanged(const SharesCommand& command, Instant now, SharesEffects&)
{
    const auto& change = std::get<LeaderChanged>(command);
    if (change.epoch < this->epoch)
        return;
    if (change.leader != this->leader || change.epoch > this->epoch)
        this->followEpoch(change.leader, change.epoch);
    const bool isSelf = change.isSelf && now - change.asOf <= this->options.timing.pauseMargin;
    this->leadingAsOf = change.asOf;
    if (isSelf && !this->isLeading)
        this->lead(now);
    if (!isSelf)
        this->isLeading = false;
}

void Shares::lead(Instant now)
{
    this->isLeading = true;
    this->leaderEndpoint = this->options.peerEndpoint;
    if (!this->hasOwnBook())
        this->beginBook(now);
    else if (this->bookPauses != this->pauses)
        this->book->resume(now);
    this->bookPauses = this->pauses;
}

bool Shares::hasOwnBook() const
{
    return this->book && this->bookEpoch == this->epoch;
}

void Shares::beginBook(Instant now)
{
    const Duration releaseAfter = this->options.timing.releaseAfter();
    this->book.emplace(ShareBook::Options {
                           .releaseAfter = releaseAfter,
                           .settleAfter = this->hasGuards ? this->options.guardedSettle : releaseAfter,
                           .silentAfter = this->options.reportInterval * reportsMissed,
                           .moveInterval = this->options.moveInterval,
                       },
        now);
    this->bookEpoch = this->epoch;
    this->refreshBook(now);
    if (this->epoch == firstEpoch)
        this->book->settle();
}

} // namespace dragonflytray
