#include "interference/interference.h"

namespace dragonflytray {

void Interference::runnerPlaced(const InterferenceCommand& command, Instant now, InterferenceEffects&)
{
    const auto& placed = std::get<RunnerPlaced>(command);
    this->workerOf(placed.worker).runners.try_emplace(placed.service, Runner { .since = now });
}

void Interference::runnerRemoved(const InterferenceCommand& command, Instant, InterferenceEffects&)
{
    const auto& gone = std::get<RunnerRemoved>(command);
    auto worker = this->workers.find(gone.worker);
    if (worker != this->workers.end())
        worker->second.runners.erase(gone.service);
}

} // namespace dragonflytray
