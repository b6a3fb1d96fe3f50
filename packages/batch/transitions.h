#pragma once

// The one table of job transitions; everything that is not in it is rejected.

#include "model/model.h"

namespace dragonflytray {

// isAllowed() says whether a job may go from `from` to `to`. Constant time.
bool isAllowed(JobState from, JobState to);

} // namespace dragonflytray
