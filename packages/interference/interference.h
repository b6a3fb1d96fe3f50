#pragma once

// The public header of the `interference` library: it learns from delayed latency measurements how much each batch
// class slows each service that shares a worker with it, and decides from that which tasks to throttle or evict and
// where to place new ones.
//
// Interference reads no clock and uses no thread, socket or encoding.
//
// Example:
//
//     Interference interference({ .measurementLag = std::chrono::seconds(30), .mitigationCooldown = std::chrono::seconds(60) });
//     interference.handle(TaskPlaced { worker, job, 1, batchClass, cost }, now);
//     InterferenceEffects effects = interference.handle(InterferenceTick {}, now);
//     InterferenceView view = interference.ask(PlacementPenaltyQuery { worker, batchClass }, now);

#include "interference/exposure_history.h"
#include "interference/interference_commands.h"
#include "interference/interference_effects.h"
#include "interference/interference_queries.h"
#include "interference/interference_state.h"
#include "interference/policy.h"
#include "interference/slowdown_estimator.h"
