#include "membership/membership.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    const RowKey configurationKey { RowKind::Configuration, "current" };

    constexpr std::array<ApplyStatus, transactionStatusNames.size()> applyStatusOf {
        ApplyStatus::Applied,
        ApplyStatus::Conflict,
        ApplyStatus::Unavailable,
        ApplyStatus::Unknown,
    };

} // namespace

void Membership::objectWritten(const MembershipCommand& command, Instant now, MembershipEffects& effects)
{
    const auto& written = std::get<ObjectWritten>(command);
    auto pending = std::find_if(this->applies.begin(), this->applies.end(), [&](const PendingApply& apply) {
        return apply.transaction.isEmpty() && apply.objectKey == written.key;
    });
    if (pending == this->applies.end())
        return;
    if (!written.isWritten) {
        effects.push_back(ReplyToOperator { pending->command.token, ApplyStatus::Unavailable, this->version, {} });
        this->applies.erase(pending);
        return;
    }
    pending->transaction = TransactionId(this->options.self.value() + "/apply/" + std::to_string(now.time_since_epoch().count()) + "/" + std::to_string(++this->lastTransaction));
    const ConfigurationRow row { pending->command.base + 1, pending->objectKey };
    effects.push_back(WriteTransaction { { pending->transaction, { { configurationKey, this->configurationRowVersion } }, { { configurationKey, row } }, {} } });
}

void Membership::transactionEnded(const MembershipCommand& command, Instant, MembershipEffects& effects)
{
    const auto& result = std::get<TransactionResult>(command);
    auto found = std::find_if(this->applies.begin(), this->applies.end(), [&](const PendingApply& apply) { return apply.transaction == result.id; });
    if (found == this->applies.end())
        return;
    const PendingApply pending = std::move(*found);
    this->applies.erase(found);
    if (result.status == TransactionStatus::Committed) {
        this->configurationRowVersion = std::max(this->configurationRowVersion, result.revision);
        this->putInForce({ pending.command.base + 1, pending.objectKey }, pending.command.text, effects);
    }
    effects.push_back(ReplyToOperator { pending.command.token, applyStatusOf[indexOf(result.status)], this->version, {} });
}

void Membership::rowsRead(const MembershipCommand& command, Instant, MembershipEffects& effects)
{
    for (const RowChange& change : std::get<RowsRead>(command).rows) {
        if (change.key != configurationKey || !change.value)
            continue;
        this->configurationRowVersion = std::max(this->configurationRowVersion, change.version);
        this->follow(std::get<ConfigurationRow>(*change.value), effects);
    }
}

void Membership::objectRead(const MembershipCommand& command, Instant, MembershipEffects& effects)
{
    const auto& read = std::get<ObjectRead>(command);
    if (read.value && read.key == this->wanted.objectKey)
        this->putInForce(this->wanted, *read.value, effects);
}

} // namespace dragonflytray
