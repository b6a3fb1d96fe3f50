#include "membership/membership.h"

#include "membership/object_key.h"
#include <algorithm>

namespace dragonflytray {

namespace {

    // A single peer may be wrong about a version; while the table is silent two have to agree.
    constexpr auto peersThatMustAgree = 2;

} // namespace

void Membership::noteRow(const RowChange& change, Instant now, MembershipEffects& effects)
{
    const auto* value = change.value ? std::get_if<ConfigurationRow>(&*change.value) : nullptr;
    if (!value || change.version <= this->row.revision)
        return;
    this->row = { *value, change.version, change.writer };
    for (PendingApply& apply : this->applies) {
        if (apply.stage == ApplyStage::ReadingBack)
            this->compareWithRow(apply, this->row, now, effects);
    }
    this->follow(now, effects);
}

void Membership::follow(Instant now, MembershipEffects& effects)
{
    if (this->row.value.version > this->version)
        effects.push_back(ReadObject { this->row.value.objectKey });
    std::set<std::string> keys;
    for (const auto& [name, peer] : this->peers) {
        if (this->isClaimBelieved(peer.heartbeat, now) && keys.insert(peer.heartbeat.objectKey).second)
            effects.push_back(ReadObject { peer.heartbeat.objectKey });
    }
}

bool Membership::isClaimBelieved(const PeerHeartbeat& claim, Instant now) const
{
    const bool isTableSilent = this->tableReadAt && now - *this->tableReadAt > this->options.tableSilence;
    if (!isTableSilent || claim.version <= std::max(this->version, this->row.value.version))
        return false;
    const auto agreeing = std::count_if(this->peers.begin(), this->peers.end(), [&](const auto& peer) {
        return peer.second.heartbeat.version == claim.version && peer.second.heartbeat.objectKey == claim.objectKey;
    });
    return agreeing >= peersThatMustAgree;
}

void Membership::putInForce(ConfigurationVersion newVersion, const std::string& key, const std::string& newText, Instant now, MembershipEffects& effects)
{
    if (newVersion <= this->version || objectKeyOf(newText) != key)
        return;
    auto declaration = parseDeclaration(newText, key);
    if (!declaration)
        return; // written by a release that knows more keys; the version in force stays
    this->version = newVersion;
    this->objectKey = key;
    this->text = newText;
    effects.push_back(PublishConfiguration { { newVersion, std::make_shared<const Declaration>(std::move(*declaration)) } });
    this->sendHeartbeats(effects);
    for (PendingApply& apply : this->applies) {
        if (apply.stage == ApplyStage::AwaitingWinner)
            this->lose(apply, apply.winner, now, effects);
    }
}

} // namespace dragonflytray
