#include "shares/shares.h"

namespace dragonflytray {

void Shares::tick(const SharesCommand&, Instant now, SharesEffects& effects)
{
    if (now >= this->nextReport)
        this->sendReport(now, effects);
    if (this->isLeading && now >= this->nextRebalance)
        this->rebalanceShares(now, effects);
}

ShareReport Shares::makeReport() const
{
    ShareReport report;
    report.host = this->options.self;
    report.endpoint = this->options.peerEndpoint;
    report.incarnation = this->options.incarnation;
    report.sequence = this->reportSequence;
    report.epoch = this->epoch;
    report.grantSequence = this->grantSequence;
    report.isLeaving = this->isStopping;
    for (const auto& [runner, slots] : this->held) {
        if (slots > 0)
            report.held.push_back({ runner, slots });
    }
    for (const SlotShare& share : this->wanted) {
        if (share.slots > 0)
            report.wanted.push_back(share);
    }
    return report;
}

void Shares::sendReport(Instant now, SharesEffects& effects)
{
    this->nextReport = now + this->options.reportInterval;
    if (this->leader.isEmpty())
        return;
    ++this->reportSequence;
    this->sentReports.push_back({ this->reportSequence, now });
    while (now - this->sentReports.front().sentAt > this->options.timing.isolationTimeout)
        this->sentReports.pop_front();
    if (this->isLeading)
        return this->reportReceived(ShareReportReceived { this->makeReport() }, now, effects);
    const Endpoint endpoint = this->leaderEndpoint.port != 0 ? this->leaderEndpoint : this->endpointOf(this->leader);
    // If the leader is another process with this host's name, the listed endpoint may be that of this process itself.
    if (endpoint.port != 0 && endpoint != this->options.peerEndpoint)
        effects.push_back(SendShareReport { this->leader, endpoint, this->makeReport() });
}

void Shares::rebalanceShares(Instant now, SharesEffects& effects)
{
    this->nextRebalance = now + this->options.rebalanceInterval;
    this->allocator->releaseExpired(now, now - this->listRequestedAt <= this->options.timing.pauseMargin);
    for (const ShareAllocator::Holder* holder : this->allocator->rebalance(now))
        this->sendGrant(*holder, true, now, effects);
    if (now < this->nextAnnouncement)
        return;
    this->nextAnnouncement = now + this->options.reportInterval;
    this->announceLeadership(effects);
}

void Shares::announceLeadership(SharesEffects& effects)
{
    for (const HostName& host : this->allocator->unreportedHosts()) {
        const Endpoint endpoint = this->endpointOf(host);
        if (endpoint == this->options.peerEndpoint || endpoint.port == 0)
            continue;
        ShareGrant grant;
        grant.leader = this->options.self;
        grant.endpoint = this->options.peerEndpoint;
        grant.epoch = this->epoch;
        grant.holder = host;
        effects.push_back(SendShareGrant { endpoint, std::move(grant) });
    }
}

} // namespace dragonflytray
