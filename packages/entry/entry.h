#pragma once

// The public header of the `entry` library: the scheduler daemon of one entry host.
//
// Example: see entry/scheduler_daemon.h.

#include "entry/entry_settings.h"
#include "entry/protocols.h"
#include "entry/scheduler_daemon.h"
