#pragma once

// The public header of the `scheduling` library: jobs of steps of tasks, decided by one leader a cell.
//
// Example: see scheduling/scheduler.h.

#include "scheduling/scheduler.h"
