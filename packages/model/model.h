#pragma once

// The public header of the `model` library: the nouns of the system as value types, without
// behaviour, clocks or encodings. Every decision package and every front end speaks in these types.

#include "model/batch_types.h"
#include "model/host.h"
#include "model/ids.h"
#include "model/outcome.h"
#include "model/platform_work.h"
#include "model/priority.h"
#include "model/request.h"
#include "model/slot_share.h"
#include "model/table.h"
