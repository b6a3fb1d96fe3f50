#include "membership/membership.h"

namespace dragonflytray {

// In the order of MembershipCommandKind.
const std::array<Membership::Handler, membershipCommandNames.size()> Membership::handlers {
    &Membership::heartbeatReceived,
    &Membership::applyDeclaration,
    &Membership::transactionEnded,
    &Membership::rowsRead,
    &Membership::objectRead,
    &Membership::objectWritten,
    &Membership::hostListRead,
    &Membership::stopMembership,
    &Membership::tick,
};

Membership::Membership(Options options)
    : options(std::move(options))
{
}

MembershipEffects Membership::handle(const MembershipCommand& command, Instant now)
{
    MembershipEffects effects;
    const ConfigurationVersion before = this->version;
    (this->*handlers[command.index()])(command, now, effects);
    std::erase_if(this->applies, [](const PendingApply& apply) { return apply.isEnded; });
    require(this->version >= before, "Membership: the version in force decreased");
    return effects;
}

MembershipView Membership::ask(const MembershipQuery& query, Instant now) const
{
    using Query = MembershipView (Membership::*)(const MembershipQuery&, Instant) const;
    static constexpr std::array<Query, std::variant_size_v<MembershipQuery>> queries { &Membership::status, &Membership::configuration };
    return (this->*queries[query.index()])(query, now);
}

PeerHeartbeat Membership::makeHeartbeat() const
{
    return { this->options.self, this->options.dataCentre, this->version, this->objectKey, this->isStopping };
}

void Membership::sendHeartbeats(MembershipEffects& effects)
{
    for (const Host& host : this->listedHosts) {
        if (host.kind == HostKind::EntryHost && host.name != this->options.self)
            effects.push_back(SendHeartbeat { host.name, host.peerEndpoint, this->makeHeartbeat() });
    }
}

} // namespace dragonflytray
