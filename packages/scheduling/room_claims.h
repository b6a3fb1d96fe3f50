#pragma once

// Claims of tasks to room on workers: what is freed on the worker of a claim goes to its task and to no other, also when it is
// freed in parts. An eviction claims the room of the runs that it stops, and a long-running task that moves the room for which it
// is stopped.
//
// Example:
//
//     RoomClaims claims;
//     claims.add({ .task = task, .worker = worker->entry.id, .until = now + timeout });
//     for (const RoomClaim& claim : claims.all()) { ... }

#include "scheduling/worker_types.h"
#include <algorithm>
#include <vector>

namespace dragonflytray {

// RoomClaim is the claim of one task to room on one worker.
struct RoomClaim {
    TaskId task;
    WorkerId worker;
    Instant until; // when it lapses, unless the room is complete
    bool isClearing { false }; // it waits for short runs to end, and none was stopped for it
};

// RoomClaims holds at most one claim for each task, in the order in which they were added. Each operation is linear in the
// claims. Not thread-safe.
class RoomClaims {
public:
    // Commands.

    // add() adds a claim, which replaces an earlier one of the task.
    void add(RoomClaim claim)
    {
        this->remove(claim.task);
        this->claims.push_back(std::move(claim));
    }

    void remove(const TaskId& task)
    {
        std::erase_if(this->claims, [&](const RoomClaim& claim) { return claim.task == task; });
    }

    // Queries.

    bool contains(const TaskId& task) const
    {
        return std::any_of(this->claims.begin(), this->claims.end(), [&](const RoomClaim& claim) { return claim.task == task; });
    }

    bool isClaimed(const WorkerId& worker) const
    {
        return std::any_of(this->claims.begin(), this->claims.end(), [&](const RoomClaim& claim) { return claim.worker == worker; });
    }

    std::size_t clearingCount() const
    {
        return static_cast<std::size_t>(std::count_if(this->claims.begin(), this->claims.end(), [](const RoomClaim& claim) { return claim.isClearing; }));
    }

    const std::vector<RoomClaim>& all() const { return this->claims; }

private:
    std::vector<RoomClaim> claims;
};

} // namespace dragonflytray
