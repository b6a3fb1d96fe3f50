#pragma once

// CapacityReservations keeps the reservations of processors, memory and accelerators by jobs on workers. reserve()
// never lets the reservations on a worker exceed its capacity, and aborts if that invariant is broken.
//
// Example:
//
//     CapacityReservations reservations;
//     reservations.setWorker(HostName("w1"), { .processors = 64, .memoryGigabytes = 250 });
//     bool isReserved = reservations.reserve(HostName("w1"), JobId("j1"), { .processors = 4, .memoryGigabytes = 8 });

#include "model/model.h"
#include <optional>
#include <unordered_map>
#include <vector>

namespace dragonflytray {

// fits() says whether `need` is at most `free` in every dimension, with a small tolerance for rounding.
bool fits(const Capacity& need, const Capacity& free);

// CapacityReservations is a plain value type. A job has at most one reservation. Not thread-safe. Operations take
// constant time unless stated otherwise.
class CapacityReservations {
public:
    // Commands.

    // setWorker() adds a worker or changes its capacity. Its reservations stay, even if they no longer fit; then
    // reserve() refuses new ones until enough are released.
    void setWorker(const HostName& worker, const Capacity& capacity);

    // removeWorker() removes a worker and its reservations. Linear in the reservations of all workers.
    void removeWorker(const HostName& worker);

    // reserve() reserves `need` on `worker` for `job`. Returns false and changes nothing if `need` does not fit, the
    // worker is unknown, or the job already has a reservation on any worker.
    bool reserve(const HostName& worker, const JobId& job, const Capacity& need);

    // forceReserve() reserves without any check, for a job that already runs or whose need has grown. It replaces the
    // job's earlier reservation and adds an unknown worker with a capacity of zero.
    void forceReserve(const HostName& worker, const JobId& job, const Capacity& need);

    // release() removes the reservation of `job`, if any.
    void release(const JobId& job);

    // Queries.

    // freeCapacity() is the capacity of a worker that is not reserved, or nothing for an unknown worker. It is negative
    // where reservations exceed the capacity.
    std::optional<Capacity> freeCapacity(const HostName& worker) const;

    // workerOf() is the worker on which `job` has a reservation, or nothing.
    std::optional<HostName> workerOf(const JobId& job) const;

    // isIdle() says whether nothing is reserved on a worker; true for an unknown worker.
    bool isIdle(const HostName& worker) const;

    // size() is the number of reservations on all workers.
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
