#pragma once

// Claims of tasks to room on workers: what is freed on the worker of a claim goes to its task and to no other, also when it is
// freed in parts. An eviction claims the room of the runs that it stops, and a long-running task that moves the room for which it
// is stopped.
//
// Example:
//
//     RoomClaims claims;
//     claims.add({ .task = task, .worker = worker->entry.id, .until = now + timeout });
//     for (const auto& [task, claim] : claims.all()) { ... }

#include "scheduling/worker_types.h"
#include <map>
#include <set>

namespace dragonflytray {

// RoomClaim is the claim of one task to room on one worker.
struct RoomClaim {
    TaskId task;
    WorkerId worker;
    Instant until; // when it lapses, unless the room is complete
    bool isClearing { false }; // it waits for short runs to end, and none was stopped for it
};

// RoomClaims holds at most one claim for each task. Each operation is logarithmic in the claims. Not thread-safe.
class RoomClaims {
public:
    // Commands.

    // add() adds a claim, which replaces an earlier one of the task.
    void add(RoomClaim claim)
    {
        this->remove(claim.task);
        this->workers.insert(claim.worker);
        this->clearings += claim.isClearing ? 1 : 0;
        const TaskId task = claim.task;
        this->claims.emplace(task, std::move(claim));
    }

    void remove(const TaskId& task)
    {
        const auto found = this->claims.find(task);
        if (found == this->claims.end())
            return;
        this->workers.erase(this->workers.find(found->second.worker));
        this->clearings -= found->second.isClearing ? 1 : 0;
        this->claims.erase(found);
    }

    // Queries.

    bool contains(const TaskId& task) const { return this->claims.contains(task); }
    bool isClaimed(const WorkerId& worker) const { return this->workers.contains(worker); }
    std::size_t clearingCount() const { return this->clearings; }
    const std::map<TaskId, RoomClaim>& all() const { return this->claims; }

private:
    std::map<TaskId, RoomClaim> claims;
    std::multiset<WorkerId> workers; // of the claims
    std::size_t clearings { 0 };
};

} // namespace dragonflytray
