#pragma once

// The public header of the `interference` library: what each batch class does to the latency of each
// service, learned from lagged measurements, and what follows from it for running tasks and placement.
//
// Interference is pure: it knows no clock, thread, socket or encoding.
//
// Example:
//
//     Interference interference({ .lag = std::chrono::seconds(30), .hysteresis = std::chrono::seconds(60) });
//     interference.handle(TaskPlaced { worker, job, 1, batchClass, cost }, now);
//     InterferenceEffects effects = interference.handle(InterferenceTick {}, now);
//     InterferenceView view = interference.ask(PlacementPenaltyQuery { worker, batchClass }, now);

#include "interference/interference_commands.h"
#include "interference/interference_effects.h"
#include "interference/interference_queries.h"
#include "interference/interference_state.h"
#include "interference/policy.h"
#include "interference/slowdown_estimator.h"
