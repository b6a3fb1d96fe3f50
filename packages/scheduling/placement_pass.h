#pragma once

// The state of one placement pass of the dispatcher, and the urgency of jobs; private to its sources.
//
// Example:
//
//     PlacementPass pass(this->fleet);
//     this->placeClaimants(pass, context);

#include "scheduling/dispatcher.h"

#include <algorithm>

namespace dragonflytray {

// UrgencyClass says how a job stands against its objective.
enum class UrgencyClass {
    OnTime,
    LongRunning,
    Late, // past its objective: completion counts for less
    Expired, // completion counts for nothing
};

// urgencyOf() returns how `job` stands at `now`.
UrgencyClass urgencyOf(const JobExecution& job, Instant now);

// hasBestEffortStep() returns true if some step of the job runs on processors that other tasks leave idle.
bool hasBestEffortStep(const JobExecution& job);

// PlacementPass records the needs for which a pass found no room, so that it does not search for equal or larger ones.
struct Dispatcher::PlacementPass {
    struct UnplacedTask {
        const CellName* cell;
        const ServiceName* service;
        const StepDefinition* step;
        bool needsNearLabel { false }; // StepDefinition::nearLabel is required, not only preferred
        int minSpeedPercent { 100 }; // of a best-effort task
        bool mayProbe { false }; // PlacementRequest::mayProbe

        // includes() says whether each worker with room for `other` would have room for this task, as far as the steps say.
        bool includes(const UnplacedTask& other) const
        {
            const bool isSameKind = this->step->isBestEffort == other.step->isBestEffort && (!other.step->isBestEffort || this->step->image == other.step->image);
            const bool hasRequiredLabel = this->step->requiredLabel.empty() || this->step->requiredLabel == other.step->requiredLabel;
            const bool hasNearLabel = !this->needsNearLabel || (other.needsNearLabel && this->step->nearLabel == other.step->nearLabel);
            return isSameKind && this->mayProbe >= other.mayProbe && this->minSpeedPercent <= other.minSpeedPercent && hasRequiredLabel && hasNearLabel && *this->cell == *other.cell && *this->service == *other.service && this->step->need.fitsIn(other.step->need);
        }
    };

    explicit PlacementPass(Fleet& fleet)
        : heldRoom(fleet)
    {
    }

    std::vector<UnplacedTask> unplacedTasks;
    std::size_t unplacedCount { 0 };
    std::size_t evictionSearches { 0 };
    std::size_t searches { 0 };
    PlannedRoom heldRoom; // the free part of claimed room

    bool hasNoRoomFor(const UnplacedTask& task) const
    {
        return std::any_of(this->unplacedTasks.begin(), this->unplacedTasks.end(), [&](const UnplacedTask& unplaced) { return unplaced.includes(task); });
    }
};

} // namespace dragonflytray
