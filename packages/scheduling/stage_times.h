#pragma once

// Histograms of the time that jobs and tasks spend in each stage of their processing.
//
// Example:
//
//     StageTimes times;
//     times[Stage::Wait].record(now - waitingSince);

#include "base/base.h"

namespace dragonflytray {

// Stage is a part of the processing of a job or a task.
enum class Stage {
    Accept, // from the submission of a job to the reply
    Wait, // from the time at which a task may start to its start
    Start, // from the call that starts a run to the worker's answer
    Run, // from that answer until the leader has handled the end of the run
    Record, // from there until the store contains the end
    Show, // from the end of a job until this host has read it back from the store
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

// StageTimes contains one histogram for each stage, since the start of the process.
using StageTimes = EnumArray<Stage, LatencyHistogram, stageNames.size()>;

} // namespace dragonflytray
