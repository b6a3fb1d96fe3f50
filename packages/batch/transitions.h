#pragma once

// The allowed state transitions of a job. Every writer checks against this table.
//
// Example:
//
//     bool canStart = isAllowed(JobState::Queued, JobState::Starting);

#include "model/model.h"

namespace dragonflytray {

// isAllowed() says whether a job may change from state `from` to state `to`. Staying in a state is no transition and
// is not allowed. Constant time; safe to call from any thread.
bool isAllowed(JobState from, JobState to);

} // namespace dragonflytray
