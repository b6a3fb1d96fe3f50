#pragma once

// Ledger keeps the reservations of processors, memory and accelerators. It never lets the sum of
// reservations on a worker pass what the worker holds; it aborts if that invariant breaks.
//
// Example:
//
//     Ledger ledger;
//     ledger.setWorker(HostName("w1"), { .processors = 64, .memoryGigabytes = 250 });
//     bool isReserved = ledger.reserve(HostName("w1"), JobId("j1"), { .processors = 4, .memoryGigabytes = 8 });

#include "model/model.h"
#include <optional>
#include <unordered_map>
#include <vector>

namespace dragonflytray {

// fits() says whether `need` is within `free` in every dimension.
bool fits(const Capacity& need, const Capacity& free);

// Ledger is a pure value. Not thread-safe. Operations cost constant time.
class Ledger {
public:
    // Commands.

    // setWorker() adds a worker or changes what it holds. Reservations stay, even when they no longer fit:
    // the worker then takes nothing new.
    void setWorker(const HostName& worker, const Capacity& capacity);

    // removeWorker() forgets a worker and its reservations. Linear in all reservations.
    void removeWorker(const HostName& worker);

    // reserve() takes `need` on `worker` for `job`; false when it does not fit, the worker is unknown, or
    // the job already holds a reservation anywhere.
    bool reserve(const HostName& worker, const JobId& job, const Capacity& need);

    // adopt() records a reservation that is already in force, whether it fits or not.
    void adopt(const HostName& worker, const JobId& job, const Capacity& need);

    // release() gives back the reservation of `job`, if any.
    void release(const JobId& job);

    // Queries.

    // free() is what is left on a worker; nothing for an unknown worker.
    std::optional<Capacity> free(const HostName& worker) const;

    // holder() is the worker on which `job` holds a reservation.
    std::optional<HostName> holder(const JobId& job) const;

    // isIdle() says whether nothing is reserved on a worker.
    bool isIdle(const HostName& worker) const;

    // size() is the number of reservations.
    std::size_t size() const { return this->reservations.size(); }

private:
    struct WorkerAccount {
        Capacity capacity;
        Capacity reserved;
        std::size_t reservations { 0 };
    };
    struct Reservation {
        HostName worker;
        Capacity need;
    };

    std::unordered_map<HostName, WorkerAccount> workers;
    std::unordered_map<JobId, Reservation> reservations;
};

} // namespace dragonflytray
