#pragma once

// The effects of `Interference`: what its owner has to carry out, in order.

#include "model/model.h"
#include <variant>
#include <vector>

namespace dragonflytray {

// ThrottleTask sets the share of its declared processors that a task may use. 1 lifts the throttle.
struct ThrottleTask {
    HostName worker;
    JobId job;
    std::uint32_t attempt { 0 };
    double share { 1 };
};

// EvictTask asks for a checkpoint and stop of a task, which stays queued for another worker. Sent once
// for each attempt; answer with TaskRemoved once the attempt has ended.
struct EvictTask {
    HostName worker;
    JobId job;
    std::uint32_t attempt { 0 };
    bool shouldCheckpoint { true };
};

using InterferenceEffect = std::variant<ThrottleTask, EvictTask>;
using InterferenceEffects = std::vector<InterferenceEffect>;

} // namespace dragonflytray
