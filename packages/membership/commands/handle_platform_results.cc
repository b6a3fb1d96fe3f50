#include "membership/membership.h"

#include <algorithm>

namespace dragonflytray {

void Membership::objectWritten(const MembershipCommand& command, Instant now, MembershipEffects& effects)
{
    // Applies with equal texts share one object, so that one result counts for all of them.
    const auto& written = std::get<ObjectWritten>(command);
    const ConfigurationVersion highest = std::max(this->version, this->row.value.version);
    for (PendingApply& apply : this->applies) {
        if (apply.isEnded || apply.stage != ApplyStage::WritingObject || apply.objectKey != written.key)
            continue;
        if (!written.isWritten)
            this->endApply(apply, ApplyStatus::Unavailable, effects);
        else if (highest > apply.command.baseVersion)
            this->rejectApply(apply, highest, now, effects);
        else
            this->writeRow(apply, now, effects);
    }
}

void Membership::transactionEnded(const MembershipCommand& command, Instant now, MembershipEffects& effects)
{
    const auto& result = std::get<TransactionResult>(command);
    PendingApply* apply = this->findApply(result.id);
    if (!apply || apply->stage == ApplyStage::AwaitingWinner)
        return;
    switch (result.status) {
    case TransactionStatus::Committed:
        if (result.revision > this->row.revision)
            this->row = { std::get<ConfigurationRow>(apply->transaction.writes.front().value), result.revision, result.id };
        return this->completeApply(*apply, now, effects);
    case TransactionStatus::Conflict:
        return this->resolveConflict(*apply, result, now, effects);
    case TransactionStatus::Unavailable:
        if (!apply->mayHaveCommitted)
            return this->endApply(*apply, ApplyStatus::Unavailable, effects);
        break;
    case TransactionStatus::Ambiguous:
        apply->mayHaveCommitted = true;
        apply->stage = ApplyStage::ResolvingOutcome;
        break;
    }
    apply->nextSend = now + this->options.resendInterval;
}

void Membership::rowsRead(const MembershipCommand& command, Instant now, MembershipEffects& effects)
{
    const auto& read = std::get<RowsRead>(command);
    if (!read.isRead)
        return;
    this->lastTableReadAt = now;
    for (const RowChange& change : read.rows)
        this->applyRow(change, now, effects);
}

void Membership::objectRead(const MembershipCommand& command, Instant now, MembershipEffects& effects)
{
    const auto& read = std::get<ObjectRead>(command);
    if (!read.value)
        return;
    if (read.key == this->row.value.objectKey)
        this->activateDeclaration(this->row.value.version, read.key, *read.value, now, effects);
    this->cacheText(read.key, *read.value);
    ConfigurationVersion claimed = 0;
    for (const auto& [name, peer] : this->peers) {
        if (peer.heartbeat.objectKey == read.key && this->isClaimTrusted(peer.heartbeat, now))
            claimed = std::max(claimed, peer.heartbeat.version);
    }
    this->activateDeclaration(claimed, read.key, *read.value, now, effects);
}

} // namespace dragonflytray
