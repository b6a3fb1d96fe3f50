#include "membership/membership.h"

namespace dragonflytray {

// In the order of MembershipCommandKind.
const std::array<Membership::Handler, membershipCommandNames.size()> Membership::handlers {
    &Membership::peerHeard,
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
    require(this->version >= before, "Membership: the configuration in force reverted");
    return effects;
}

MembershipView Membership::ask(const MembershipQuery& query, Instant now) const
{
    using Query = MembershipView (Membership::*)(const MembershipQuery&, Instant) const;
    static constexpr std::array<Query, std::variant_size_v<MembershipQuery>> queries { &Membership::status, &Membership::configuration };
    return (this->*queries[query.index()])(query, now);
}

PeerHeartbeat Membership::ownHeartbeat() const
{
    return { this->options.self, this->options.dataCentre, this->version, this->objectKey, this->isStopping };
}

void Membership::sendHeartbeats(MembershipEffects& effects)
{
    for (const Host& host : this->hosts) {
        if (host.kind == HostKind::EntryHost && host.name != this->options.self)
            effects.push_back(SendHeartbeat { host.name, host.peerEndpoint, this->ownHeartbeat() });
    }
}

void Membership::follow(const ConfigurationRow& row, MembershipEffects& effects)
{
    if (row.version <= this->wanted.version && row.version <= this->version)
        return;
    if (row.version > this->wanted.version)
        this->wanted = row;
    effects.push_back(ReadObject { this->wanted.objectKey });
}

void Membership::putInForce(const ConfigurationRow& row, const std::string& newText, MembershipEffects& effects)
{
    if (row.version <= this->version)
        return;
    auto declaration = parseDeclaration(newText, row.objectKey);
    if (!declaration)
        return; // only checked texts are applied, so this is an object that was damaged
    this->version = row.version;
    this->objectKey = row.objectKey;
    this->text = newText;
    if (row.version > this->wanted.version)
        this->wanted = row;
    effects.push_back(PublishConfiguration { { row.version, std::make_shared<const Declaration>(std::move(*declaration)) } });
    this->sendHeartbeats(effects);
}

} // namespace dragonflytray
