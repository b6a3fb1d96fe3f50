#include "membership/membership.h"

#include "membership/object_key.h"
#include <algorithm>

namespace dragonflytray {

namespace {

    // While the table can't be read, peers are trusted about a version only if two agree: a single one may be wrong.
    constexpr auto requiredAgreeingPeers = 2;

} // namespace

void Membership::applyRow(const RowChange& change, Instant now, MembershipEffects& effects)
{
    const auto* value = change.value ? std::get_if<ConfigurationRow>(&*change.value) : nullptr;
    if (!value || change.version <= this->row.revision)
        return;
    this->row = { *value, change.version, change.writer };
    for (PendingApply& apply : this->applies) {
        if (apply.stage == ApplyStage::ResolvingOutcome)
            this->resolveByRow(apply, this->row, now, effects);
    }
    this->readNewerTexts(now, effects);
}

void Membership::readNewerTexts(Instant now, MembershipEffects& effects)
{
    if (this->row.value.version > this->version)
        effects.push_back(ReadObject { this->row.value.objectKey });
    std::set<std::string> keys;
    for (const auto& [name, peer] : this->peers) {
        if (this->isClaimTrusted(peer.heartbeat, now) && keys.insert(peer.heartbeat.objectKey).second)
            effects.push_back(ReadObject { peer.heartbeat.objectKey });
    }
}

void Membership::readHistoryTexts(MembershipEffects& effects)
{
    if (this->version != this->row.value.version || this->historyReadRevision == this->row.revision)
        return;
    this->historyReadRevision = this->row.revision; // requested only once, since these texts are needed only for queries
    for (const ConfigurationRecord& record : this->row.value.history) {
        if (!this->cachedTexts.contains(record.version))
            effects.push_back(ReadObject { record.objectKey });
    }
}

void Membership::cacheText(const std::string& key, const std::string& earlier)
{
    for (const ConfigurationRecord& record : this->row.value.history) {
        if (record.objectKey == key && objectKeyOf(earlier) == key)
            this->cachedTexts[record.version] = earlier;
    }
}

bool Membership::isClaimTrusted(const PeerHeartbeat& claim, Instant now) const
{
    const bool isTableSilent = this->lastTableReadAt && now - *this->lastTableReadAt > this->options.tableTimeout;
    if (!isTableSilent || claim.version <= std::max(this->version, this->row.value.version))
        return false;
    const auto agreeing = std::count_if(this->peers.begin(), this->peers.end(), [&](const auto& peer) {
        return peer.second.heartbeat.version == claim.version && peer.second.heartbeat.objectKey == claim.objectKey;
    });
    return agreeing >= requiredAgreeingPeers;
}

void Membership::activateDeclaration(ConfigurationVersion newVersion, const std::string& key, const std::string& newText, Instant now, MembershipEffects& effects)
{
    if (newVersion <= this->version || objectKeyOf(newText) != key)
        return;
    auto declaration = parseDeclaration(newText, key);
    if (!declaration)
        return; // a newer release may have written keys that this one doesn't know; keep the version in force
    this->version = newVersion;
    this->objectKey = key;
    this->text = newText;
    this->cachedTexts[newVersion] = newText;
    this->declaration = std::make_shared<const Declaration>(std::move(*declaration));
    effects.push_back(PublishConfiguration { { newVersion, this->declaration } });
    this->sendHeartbeats(effects);
    for (PendingApply& apply : this->applies) {
        if (apply.stage == ApplyStage::AwaitingWinner)
            this->rejectApply(apply, apply.winningVersion, now, effects);
    }
}

} // namespace dragonflytray
