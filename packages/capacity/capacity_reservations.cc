#include "capacity/capacity_reservations.h"

namespace dragonflytray {

namespace {

    constexpr double tolerance = 1e-6; // cores or gigabytes; absorbs rounding errors of sums

    Capacity minus(const Capacity& left, const Capacity& right)
    {
        return { left.processors - right.processors, left.memoryGigabytes - right.memoryGigabytes, left.accelerators - right.accelerators };
    }

    Capacity plus(const Capacity& left, const Capacity& right)
    {
        return { left.processors + right.processors, left.memoryGigabytes + right.memoryGigabytes, left.accelerators + right.accelerators };
    }

} // namespace

bool fits(const Capacity& need, const Capacity& free)
{
    return need.processors <= free.processors + tolerance
        && need.memoryGigabytes <= free.memoryGigabytes + tolerance
        && need.accelerators <= free.accelerators;
}

void CapacityReservations::setWorker(const HostName& worker, const Capacity& capacity)
{
    this->workers[worker].capacity = capacity;
}

void CapacityReservations::removeWorker(const HostName& worker)
{
    this->workers.erase(worker);
    std::erase_if(this->reservations, [&](const auto& entry) { return entry.second.worker == worker; });
}

bool CapacityReservations::reserve(const HostName& worker, const JobId& job, const Capacity& need)
{
    auto account = this->workers.find(worker);
    if (account == this->workers.end() || this->reservations.contains(job))
        return false;
    if (!fits(need, minus(account->second.capacity, account->second.reserved)))
        return false;
    this->forceReserve(worker, job, need);
    require(fits(account->second.reserved, account->second.capacity), "CapacityReservations: a worker is over its capacity");
    return true;
}

void CapacityReservations::forceReserve(const HostName& worker, const JobId& job, const Capacity& need)
{
    this->release(job);
    WorkerAccount& account = this->workers[worker];
    account.reserved = plus(account.reserved, need);
    ++account.reservations;
    this->reservations[job] = { worker, need };
}

void CapacityReservations::release(const JobId& job)
{
    auto reservation = this->reservations.find(job);
    if (reservation == this->reservations.end())
        return;
    auto account = this->workers.find(reservation->second.worker);
    if (account != this->workers.end()) {
        account->second.reserved = minus(account->second.reserved, reservation->second.need);
        --account->second.reservations;
    }
    this->reservations.erase(reservation);
}

std::optional<Capacity> CapacityReservations::freeCapacity(const HostName& worker) const
{
    auto account = this->workers.find(worker);
    if (account == this->workers.end())
        return std::nullopt;
    return minus(account->second.capacity, account->second.reserved);
}

bool CapacityReservations::isIdle(const HostName& worker) const
{
    auto account = this->workers.find(worker);
    return account == this->workers.end() || account->second.reservations == 0;
}

std::optional<HostName> CapacityReservations::workerOf(const JobId& job) const
{
    auto reservation = this->reservations.find(job);
    if (reservation == this->reservations.end())
        return std::nullopt;
    return reservation->second.worker;
}

} // namespace dragonflytray
