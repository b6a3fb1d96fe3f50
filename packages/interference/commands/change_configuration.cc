#include "interference/interference.h"

namespace dragonflytray {

void Interference::changeConfiguration(const InterferenceCommand& command, Instant, InterferenceEffects&)
{
    const DeclarationInForce& inForce = std::get<ChangeConfiguration>(command).inForce;
    if (inForce.version <= this->version)
        return;
    this->version = inForce.version;
    this->objective = inForce.declaration->objective;
    // What was learned about services that are declared no longer would keep others out.
    std::erase_if(this->estimators, [&](const auto& entry) { return !inForce.declaration->findService(entry.first); });
}

} // namespace dragonflytray
