#include "membership/membership.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    constexpr std::size_t maxHistoryVersions = 16; // earlier versions kept in the row
    const RowKey configurationKey { RowKind::Configuration, "current" };

    // The status reported when an apply reaches its deadline, in the order of ApplyStage.
    constexpr std::array<ApplyStatus, applyStageNames.size()> statusAtDeadline {
        ApplyStatus::Unavailable,
        ApplyStatus::Unknown,
        ApplyStatus::Unknown,
        ApplyStatus::Conflict,
    };

    // writerOf() returns the transaction that wrote `version`, or nullptr if the row's history no longer contains it.
    const TransactionId* writerOf(const ConfigurationRow& row, const TransactionId& lastWriter, ConfigurationVersion version)
    {
        if (row.version == version)
            return &lastWriter;
        for (const ConfigurationRecord& record : row.history) {
            if (record.version == version)
                return &record.writer;
        }
        return nullptr;
    }

} // namespace

Membership::PendingApply* Membership::findApply(const TransactionId& transaction)
{
    auto found = std::find_if(this->applies.begin(), this->applies.end(), [&](const PendingApply& apply) {
        return !apply.isEnded && apply.transaction.id == transaction;
    });
    return found == this->applies.end() ? nullptr : &*found;
}

void Membership::writeRow(PendingApply& apply, Instant now, MembershipEffects& effects)
{
    if (apply.transaction.id.isEmpty())
        apply.transaction.id = TransactionId(this->options.self.value() + "/apply/" + std::to_string(now.time_since_epoch().count()) + "/" + std::to_string(++this->transactionCount));
    ConfigurationRow next { apply.command.baseVersion + 1, apply.objectKey, this->row.value.history };
    if (this->row.revision > 0)
        next.history.insert(next.history.begin(), { this->row.value.version, this->row.value.objectKey, this->row.writer });
    if (next.history.size() > maxHistoryVersions)
        next.history.resize(maxHistoryVersions);
    apply.stage = ApplyStage::WritingRow;
    apply.transaction.conditions = { { configurationKey, this->row.revision } };
    apply.transaction.writes = { { configurationKey, next } };
    effects.push_back(WriteTransaction { apply.transaction });
}

void Membership::resolveByRow(PendingApply& apply, const KnownRow& known, Instant now, MembershipEffects& effects)
{
    if (apply.transaction.id.isEmpty() || known.revision <= apply.transaction.conditions.front().version)
        return;
    // The row has moved past the revision that the transaction requires, so it has committed already or never will.
    const TransactionId* writer = writerOf(known.value, known.writer, apply.command.baseVersion + 1);
    if (writer && *writer == apply.transaction.id)
        return this->completeApply(apply, now, effects);
    if (writer || !apply.mayHaveCommitted)
        return this->rejectApply(apply, known.value.version, now, effects);
    this->endApply(apply, ApplyStatus::Unknown, effects);
}

void Membership::resolveConflict(PendingApply& apply, const TransactionResult& result, Instant now, MembershipEffects& effects)
{
    const RowVersion expected = apply.transaction.conditions.front().version;
    for (const RowChange& change : result.conflicts) {
        if (change.key != configurationKey || !change.value || change.version <= expected)
            continue;
        const KnownRow known { std::get<ConfigurationRow>(*change.value), change.version, change.writer };
        this->applyRow(change, now, effects);
        if (apply.isEnded || apply.stage == ApplyStage::AwaitingWinner)
            return;
        // This host learned the base version from peers before it read the table, so the transaction required an old
        // revision. Send it again with the right one.
        if (known.value.version == apply.command.baseVersion && this->row.value.version == apply.command.baseVersion)
            return this->writeRow(apply, now, effects);
        return this->resolveByRow(apply, known, now, effects);
    }
    if (!apply.mayHaveCommitted)
        this->rejectApply(apply, this->version, now, effects);
}

void Membership::completeApply(PendingApply& apply, Instant now, MembershipEffects& effects)
{
    this->activateDeclaration(apply.command.baseVersion + 1, apply.objectKey, apply.command.text, now, effects);
    this->endApply(apply, ApplyStatus::Applied, effects);
}

void Membership::rejectApply(PendingApply& apply, ConfigurationVersion winningVersion, Instant now, MembershipEffects& effects)
{
    if (apply.isEnded)
        return;
    if (this->version >= winningVersion)
        return this->endApply(apply, ApplyStatus::Conflict, effects);
    if (apply.stage != ApplyStage::AwaitingWinner)
        apply.deadline = std::min(apply.deadline, now + this->options.winnerTimeout);
    apply.stage = ApplyStage::AwaitingWinner;
    apply.winningVersion = winningVersion;
}

void Membership::endApply(PendingApply& apply, ApplyStatus status, MembershipEffects& effects)
{
    require(!apply.isEnded, "Membership: an apply was answered twice");
    apply.isEnded = true;
    const ConfigurationVersion reportedVersion = status == ApplyStatus::Applied ? apply.command.baseVersion + 1 : std::max(this->version, apply.winningVersion);
    ++this->counts.applies[status];
    ReplyToOperator reply { apply.command.token, status, reportedVersion, {} };
    if (const auto wanted = parseDeclaration(apply.command.text, apply.command.file); wanted && this->declaration && status == ApplyStatus::Conflict)
        reply.changes = diffDeclarations(*this->declaration, *wanted);
    effects.push_back(std::move(reply));
}

void Membership::advanceApplies(Instant now, MembershipEffects& effects)
{
    for (PendingApply& apply : this->applies) {
        if (apply.isEnded)
            continue;
        if (now >= apply.deadline) {
            this->endApply(apply, statusAtDeadline[indexOf(apply.stage)], effects);
        } else if (apply.stage == ApplyStage::ResolvingOutcome && now >= apply.nextSend) {
            apply.nextSend = apply.deadline; // an earlier result schedules the next attempt
            effects.push_back(WriteTransaction { apply.transaction });
        }
    }
}

} // namespace dragonflytray
