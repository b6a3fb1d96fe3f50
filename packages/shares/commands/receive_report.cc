#include "shares/shares.h"

namespace dragonflytray {

void Shares::reportReceived(const SharesCommand& command, Instant now, SharesEffects& effects)
{
    const ShareReport& report = std::get<ShareReportReceived>(command).report;
    if (report.epoch > this->epoch)
        this->adoptEpoch(HostName(), report.epoch); // another host leads and will announce itself
    if (!this->isLeading) {
        // A leader that is unsure of its lease answers no reports, but still records that the holder is alive.
        if (report.epoch == this->epoch && this->hasCurrentAllocator())
            this->allocator->applyReport(report, now);
        return;
    }
    if (report.epoch < this->epoch) {
        // The holder may still apply a grant of the former leader, so this report is not applied. The answer makes the
        // holder adopt the present epoch, in which it reports next.
        ShareAllocator::Holder sender;
        sender.id = { report.host, report.incarnation };
        sender.endpoint = report.endpoint;
        return this->sendGrant(sender, false, now, effects);
    }
    if (const ShareAllocator::Holder* holder = this->allocator->applyReport(report, now))
        this->sendGrant(*holder, !holder->isAcknowledged, now, effects);
}

void Shares::sendGrant(const ShareAllocator::Holder& holder, bool withShares, Instant now, SharesEffects& effects)
{
    ShareGrant grant;
    grant.leader = this->options.self;
    grant.endpoint = this->options.peerEndpoint;
    grant.epoch = this->epoch;
    grant.holder = holder.id.host;
    grant.incarnation = holder.id.incarnation;
    grant.reportSequence = holder.reportSequence;
    if (withShares) {
        grant.sequence = holder.grantSequence;
        for (const auto& [runner, slots] : holder.granted)
            grant.shares.push_back({ runner, slots });
    }
    if (holder.id.host == this->options.self && holder.id.incarnation == this->options.incarnation)
        return this->grantReceived(ShareGrantReceived { std::move(grant) }, now, effects);
    const Endpoint endpoint = holder.endpoint.port != 0 ? holder.endpoint : this->endpointOf(holder.id.host);
    if (endpoint.port != 0)
        effects.push_back(SendShareGrant { endpoint, std::move(grant) });
}

} // namespace dragonflytray
