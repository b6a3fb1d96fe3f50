#pragma once

// The effects of `Interference`: the actions that its owner has to carry out, in order.

#include "model/model.h"
#include <variant>
#include <vector>

namespace dragonflytray {

// ThrottleTask sets the fraction of its declared processors that a task may use; 1 lifts the throttle.
struct ThrottleTask {
    HostName worker;
    JobId job;
    std::uint32_t attempt { 0 };
    double cpuShare { 1 };
};

// EvictTask asks to checkpoint and stop a task and to queue it for another worker. Sent once for each attempt; answer
// with TaskRemoved once the attempt has ended.
struct EvictTask {
    HostName worker;
    JobId job;
    std::uint32_t attempt { 0 };
    bool shouldCheckpoint { true };
};

using InterferenceEffect = std::variant<ThrottleTask, EvictTask>;
using InterferenceEffects = std::vector<InterferenceEffect>;

} // namespace dragonflytray
