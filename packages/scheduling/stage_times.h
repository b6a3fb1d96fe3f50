#pragma once

// How long jobs and tasks spend in each stage on their way, as histograms.
//
// Example:
//
//     StageTimes times;
//     times[Stage::Wait].record(now - waitingSince);

#include "base/base.h"

namespace dragonflytray {

// Stage is a part of the way of a job or a task.
enum class Stage {
    Accept, // from a submission to its answer
    Wait, // of a task, from its turn to its start
    Start, // from the order to the worker's answer
    Run, // from there to the handled end
    Record, // from the handled end until the store has it
    Show, // from a job's end until every follower can see it
};

inline constexpr NameTable stageNames { std::to_array<NameEntry<Stage>>({
    { Stage::Accept, "accept" },
    { Stage::Wait, "wait" },
    { Stage::Start, "start" },
    { Stage::Run, "run" },
    { Stage::Record, "record" },
    { Stage::Show, "show" },
}) };
static_assert(stageNames.isWhole(Stage::Show));

// StageTimes holds one histogram for each stage, since the start of the process.
using StageTimes = EnumArray<Stage, LatencyHistogram, stageNames.size()>;

} // namespace dragonflytray
