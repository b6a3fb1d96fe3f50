#include "shares/shares.h"

namespace dragonflytray {

void Shares::reportReceived(const SharesCommand& command, Instant now, SharesEffects& effects)
{
    const ShareReport& report = std::get<ShareReportReceived>(command).report;
    if (report.epoch > this->epoch)
        this->adoptEpoch(HostName(), report.epoch); // another leads, who will say so
    if (!this->isLeading) {
        // A leader whose lease is in doubt answers nobody, but the silence of a holder counts on from what it hears.
        if (report.epoch == this->epoch && this->hasCurrentAllocator())
            this->allocator->applyReport(report, now);
        return;
    }
    if (report.epoch < this->epoch) {
        // The holder may still take a grant of the leader before; its next report will be under this epoch.
        ShareAllocator::Holder stranger;
        stranger.id = { report.host, report.incarnation };
        stranger.endpoint = report.endpoint;
        return this->sendGrant(stranger, false, now, effects);
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
