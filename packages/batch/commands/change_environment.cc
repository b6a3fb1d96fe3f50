#include "batch/batch.h"

namespace dragonflytray {

void Batch::changeHosts(const BatchCommand& command, Instant, BatchEffects&)
{
    this->dataCentreChoice.changeHosts(std::get<ChangeHosts>(command).hosts);
    for (auto& [name, worker] : this->workers)
        worker.isListed = false;
    for (const Host& host : std::get<ChangeHosts>(command).hosts) {
        if (host.kind != HostKind::Worker || host.dataCentre != this->options.dataCentre)
            continue;
        Worker& worker = this->workers[host.name];
        this->heldJobsInRack[worker.host.rack] -= worker.heldJobs.size();
        worker.host = host;
        this->heldJobsInRack[host.rack] += worker.heldJobs.size();
        worker.isListed = true;
        this->capacityReservations.setWorker(host.name, host.capacity);
    }
    this->nextPlacement = Instant();
    // The list lags and may omit a worker that still runs tasks, so a worker is kept until its tasks have ended.
    std::erase_if(this->workers, [this](const auto& entry) {
        const bool isRemovable = !entry.second.isListed && entry.second.heldJobs.empty() && this->capacityReservations.isIdle(entry.first);
        if (isRemovable)
            this->capacityReservations.removeWorker(entry.first);
        return isRemovable;
    });
}

void Batch::changeConfiguration(const BatchCommand& command, Instant, BatchEffects&)
{
    const DeclarationInForce& next = std::get<ChangeConfiguration>(command).inForce;
    if (next.version > this->inForce.version)
        this->inForce = next;
}

} // namespace dragonflytray
