#pragma once

// The public header of the `telemetry` library: logs and metrics.

#include "telemetry/log.h"
#include "telemetry/metrics.h"
