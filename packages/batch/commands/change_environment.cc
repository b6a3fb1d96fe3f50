#include "batch/batch.h"

namespace dragonflytray {

void Batch::changeHosts(const BatchCommand& command, Instant, BatchEffects&)
{
    std::map<HostName, Worker> next;
    for (const Host& host : std::get<ChangeHosts>(command).hosts) {
        if (host.kind != HostKind::Worker || host.dataCentre != this->options.dataCentre)
            continue;
        auto known = this->workers.find(host.name);
        Worker worker = known == this->workers.end() ? Worker {} : known->second;
        worker.host = host;
        this->ledger.setWorker(host.name, host.capacity);
        next.emplace(host.name, std::move(worker));
    }
    this->workers = std::move(next);
}

void Batch::changeConfiguration(const BatchCommand& command, Instant, BatchEffects&)
{
    const DeclarationInForce& next = std::get<ChangeConfiguration>(command).inForce;
    if (next.version > this->inForce.version)
        this->inForce = next;
}

} // namespace dragonflytray
