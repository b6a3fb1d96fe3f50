#pragma once

// The public header of the `load` library: open-loop load against entry hosts, or straight against a
// runner for comparison, and reports of what came back.

#include "load/load_report.h"
#include "load/load_run.h"
#include "load/load_stream.h"
