#include "interference/interference.h"

namespace dragonflytray {

void Interference::runnerPlaced(const InterferenceCommand& command, Instant now, InterferenceEffects&)
{
    const auto& placed = std::get<RunnerPlaced>(command);
    this->findOrAddWorker(placed.worker).runners.try_emplace(placed.service, Runner { .placedAt = now });
}

void Interference::runnerRemoved(const InterferenceCommand& command, Instant, InterferenceEffects&)
{
    const auto& removed = std::get<RunnerRemoved>(command);
    auto worker = this->workers.find(removed.worker);
    if (worker != this->workers.end())
        worker->second.runners.erase(removed.service);
}

} // namespace dragonflytray
