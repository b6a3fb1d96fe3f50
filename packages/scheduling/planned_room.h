#pragma once

// Room on workers that is allocated for tasks which are not started yet, while a decision searches for others.
//
// Example:
//
//     PlannedRoom plannedRoom(fleet);
//     plannedRoom.add(*worker, task, allocation);

#include "scheduling/fleet.h"

namespace dragonflytray {

// PlannedRoom allocates room, so that each search sees what the others leave. The destructor releases it. Workers must not be
// removed from the fleet meanwhile. Not thread-safe.
class PlannedRoom {
public:
    explicit PlannedRoom(Fleet& fleet)
        : fleet(fleet)
    {
    }

    ~PlannedRoom()
    {
        for (const auto& [task, worker] : this->workers)
            this->fleet.release(*worker, { task, 0 });
    }

    PlannedRoom(const PlannedRoom&) = delete;
    PlannedRoom& operator=(const PlannedRoom&) = delete;

    // add() allocates room for a task that has none yet. remove() releases it, if there is any.
    void add(FleetWorker& worker, const TaskId& task, const RunAllocation& allocation)
    {
        this->fleet.allocate(worker, { task, 0 }, allocation);
        this->workers.emplace(task, &worker);
    }

    void remove(const TaskId& task)
    {
        const auto found = this->workers.find(task);
        if (found == this->workers.end())
            return;
        this->fleet.release(*found->second, { task, 0 });
        this->workers.erase(found);
    }

private:
    Fleet& fleet;
    std::map<TaskId, FleetWorker*> workers;
};

} // namespace dragonflytray
