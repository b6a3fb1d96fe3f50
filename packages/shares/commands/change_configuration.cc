#include "shares/shares.h"

namespace dragonflytray {

void Shares::changeConfiguration(const SharesCommand& command, Instant, SharesEffects&)
{
    const DeclarationInForce& next = std::get<ChangeConfiguration>(command).inForce;
    if (next.version <= this->version)
        return;
    this->version = next.version;
    this->hasGuards = WorkersDeclaration {}.hasGuards;
    for (const WorkersDeclaration& workers : next.declaration->workers) {
        if (workers.dataCentre == this->options.dataCentre)
            this->hasGuards = workers.hasGuards;
    }
}

} // namespace dragonflytray
