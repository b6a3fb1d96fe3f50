#include "shares/shares.h"

#include <algorithm>

namespace dragonflytray {

void Shares::grantReceived(const SharesCommand& command, Instant now, SharesEffects&)
{
    const ShareGrant& grant = std::get<ShareGrantReceived>(command).grant;
    if (grant.epoch < this->epoch)
        return;
    if (grant.epoch > this->epoch || this->leader != grant.leader) {
        this->adoptEpoch(grant.leader, grant.epoch);
        this->nextReport = now;
    }
    this->leaderEndpoint = grant.endpoint;
    if (grant.holder != this->options.self || grant.incarnation != this->options.incarnation)
        return;
    auto answered = std::find_if(this->sentReports.begin(), this->sentReports.end(), [&](const SentReport& sent) { return sent.sequence == grant.reportSequence; });
    // If the answered report is unknown or older than the isolation timeout, the leader may have released this host's
    // slots since.
    if (answered == this->sentReports.end() || now - answered->sentAt >= this->options.timing.isolationTimeout)
        return;
    this->recordEvidence(answered->sentAt);
    if (grant.sequence > this->grantSequence)
        this->applyGrant(grant);
}

void Shares::applyGrant(const ShareGrant& grant)
{
    this->grantSequence = grant.sequence;
    this->setShares(this->isStopping ? std::vector<SlotShare> {} : grant.shares);
    this->nextReport = this->lastCommandAt; // report at once: the leader waits for the slots that were withdrawn
}

} // namespace dragonflytray
