#pragma once

// The context in which one command is handled: the time, and the list of effects that the handler appends to.
//
// Example:
//
//     CommandContext context { now, wallTime, nextWrite, effects, stageTimes };
//     context.add(FollowWorkers { true });

#include "scheduling/scheduling_effects.h"
#include "scheduling/stage_times.h"

namespace dragonflytray {

// CommandContext exists while one command is handled. Not thread-safe.
struct CommandContext {
    Instant now;
    WallTime wallTime { 0 }; // as of the last tick
    std::uint64_t& nextWrite; // number of the next write of this process
    SchedulerEffects& effects;
    StageTimes& stageTimes;

    // add() appends an effect to the list that the scheduler returns.
    void add(SchedulerEffect effect) { this->effects.push_back(std::move(effect)); }
};

// formatRun() returns the name of a run for logs: job.occurrence.step.index#run.
std::string formatRun(const TaskRunId& run);

} // namespace dragonflytray
