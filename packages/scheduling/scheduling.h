#pragma once

// The public header of the `scheduling` library. It schedules jobs, which consist of steps of tasks, on the workers of
// cells. Each cell has one leader.
//
// Example: see scheduling/scheduler.h.

#include "scheduling/scheduler.h"
