#include "interference/interference.h"

namespace dragonflytray {

void Interference::changeConfiguration(const InterferenceCommand& command, Instant, InterferenceEffects&)
{
    const DeclarationInForce& inForce = std::get<ChangeConfiguration>(command).inForce;
    if (inForce.version <= this->version)
        return;
    this->version = inForce.version;
    this->objective = inForce.declaration->objective;
    // Estimators of services that are no longer declared would count against maxServices.
    std::erase_if(this->estimators, [&](const auto& entry) { return !inForce.declaration->findService(entry.first); });
}

} // namespace dragonflytray
