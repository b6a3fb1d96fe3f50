#pragma once

// What a leader expects of the capacity of its cell, for hosts that accept jobs for it.

#include "model/model.h"
#include <map>
#include <vector>

namespace dragonflytray {

// PrecedingWork is work that waits for workers and comes before work of less urgent priorities for a while: until its objective ends.
struct PrecedingWork {
    int priority { 0 }; // 0 is the most urgent
    std::int64_t precedesMilliseconds { 0 }; // for which it does at least, from the forecast on
    std::int64_t coreMilliseconds { 0 }; // by expected run times
    std::int64_t maxMillicores { 0 }; // that one of its tasks needs; smaller tasks may find room before it
    std::int64_t maxMegabytes { 0 }; // the same

    bool operator==(const PrecedingWork&) const = default;
};

// WaitingTasks are equal tasks of a job that wait for any worker with room.
struct WaitingTasks {
    int priority { 0 };
    Duration untilObjective { 0 }; // of the job
    std::uint32_t count { 0 };
    std::int64_t millicores { 0 }; // that each needs
    std::int64_t megabytes { 0 };
    Duration expectedRunTime { 0 }; // of each
};

// ServiceForecast is the forecast for the workers of one service.
struct ServiceForecast {
    std::int64_t millicores { 0 }; // capacity of the workers that accept tasks
    std::int64_t longestTaskMilliseconds { 0 }; // expected run time, of the tasks in `preceding`
    std::vector<PrecedingWork> preceding {}; // one for each priority and doubling of the time, in this order

    bool operator==(const ServiceForecast&) const = default;
};

// Forecast is what a leader publishes with the report that renews its lease. Its numbers are whole, so that it is read back as written.
// Work of about equal times is one entry with the least of them, so that its size does not depend on the number of jobs.
struct Forecast {
    Epoch epoch { 0 }; // of the leader
    std::int64_t composedAt { 0 }; // milliseconds since the Unix epoch, on the leader's clock
    std::map<ServiceName, ServiceForecast> services {};

    // addCapacity() adds a worker. `share` is the part of its capacity that it is expected to provide: less than 1 if it does not perform
    // as reported.
    void addCapacity(const ServiceName& service, std::int64_t millicores, double share = 1);

    // addWork() adds tasks to the preceding work. Tasks whose objective ends too soon to delay anything are left out. Linear in the
    // entries of the service.
    void addWork(const ServiceName& service, const WaitingTasks& tasks);

    bool operator==(const Forecast&) const = default;
};

} // namespace dragonflytray
