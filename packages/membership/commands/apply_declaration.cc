#include "membership/membership.h"

#include "membership/object_key.h"

namespace dragonflytray {

void Membership::applyDeclaration(const MembershipCommand& command, Instant now, MembershipEffects& effects)
{
    const auto& apply = std::get<ApplyDeclaration>(command);
    auto declaration = parseDeclaration(apply.text, apply.file);
    if (!declaration) {
        ++this->counts.applies[ApplyStatus::Invalid];
        effects.push_back(ReplyToOperator { apply.token, ApplyStatus::Invalid, this->version, declaration.error() });
        return;
    }
    PendingApply& pending = this->applies.emplace_back(PendingApply { apply, objectKeyOf(apply.text), ApplyStage::WritingObject, now + this->options.applyTimeout, {} });
    const ConfigurationVersion highest = std::max(this->version, this->row.value.version);
    if (apply.baseVersion != highest)
        this->rejectApply(pending, highest, now, effects);
    else
        effects.push_back(WriteObject { pending.objectKey, apply.text });
}

} // namespace dragonflytray
