#pragma once

// What one command may use while it is handled: the time, and the list of effects it adds to.

#include "scheduling/scheduling_effects.h"
#include "scheduling/stage_times.h"

namespace dragonflytray {

// CommandContext lasts for one command.
struct CommandContext {
    Instant now;
    WallTime wallTime { 0 };
    std::uint64_t& nextWrite; // numbers the writes of this process
    SchedulerEffects& effects;
    StageTimes& stageTimes;

    // add() appends one effect.
    void add(SchedulerEffect effect) { this->effects.push_back(std::move(effect)); }
};

// formatRun() names a run in logs: job.occurrence.step.index#run.
std::string formatRun(const TaskRunId& run);

} // namespace dragonflytray
