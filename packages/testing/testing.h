#pragma once

// The public header of the stand-ins: the platform, runners and workers, as small fakes that speak the
// real protocols and can be told to misbehave.

#include "testing/faults.h"
#include "testing/platform_standin.h"
#include "testing/runner_standin.h"
#include "testing/worker_standin.h"
