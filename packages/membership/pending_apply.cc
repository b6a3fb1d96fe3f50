#include "membership/membership.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    constexpr std::size_t historyLimit = 16; // earlier versions kept in the row
    const RowKey configurationKey { RowKind::Configuration, "current" };

    // In the order of ApplyStage: what an operator is told when time is up.
    constexpr std::array<ApplyStatus, applyStageNames.size()> statusAtDeadline {
        ApplyStatus::Unavailable,
        ApplyStatus::Unknown,
        ApplyStatus::Unknown,
        ApplyStatus::Conflict,
    };

    // writerOf() is the transaction that wrote `version`, as far as the row remembers.
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
    if (next.history.size() > historyLimit)
        next.history.resize(historyLimit);
    apply.stage = ApplyStage::WritingRow;
    apply.transaction.conditions = { { configurationKey, this->row.revision } };
    apply.transaction.writes = { { configurationKey, next } };
    effects.push_back(WriteTransaction { apply.transaction });
}

void Membership::resolveByRow(PendingApply& apply, const KnownRow& known, Instant now, MembershipEffects& effects)
{
    if (apply.transaction.id.isEmpty() || known.revision <= apply.transaction.conditions.front().version)
        return;
    // The revision on which the transaction depends is gone: it took effect by now or never will.
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
        // A peer told the base before the table did: the same apply goes on from the right revision.
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
    require(!apply.isEnded, "Membership: an operator is told twice");
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
            apply.nextSend = apply.deadline; // unless an answer comes first
            effects.push_back(WriteTransaction { apply.transaction });
        }
    }
}

} // namespace dragonflytray
