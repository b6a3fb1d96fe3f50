#pragma once

// The public header of the `base` library: value types, error reporting and concurrency primitives that
// all other packages use. It depends on the standard library and `tl::expected` only.
//
// Example:
//
//     BoundedRing<Message> inbox({ .capacity = 1024, .reserved = 64 });
//     DutyThread duty({ .name = "routing" }, [&] { runRouting(inbox); });

#include "base/boot_clock.h"
#include "base/bounded_ring.h"
#include "base/duty_thread.h"
#include "base/findings.h"
#include "base/latency_histogram.h"
#include "base/name_table.h"
#include "base/precondition.h"
#include "base/strong_id.h"
