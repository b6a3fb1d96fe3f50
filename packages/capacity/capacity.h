#pragma once

// The public header of the `capacity` library: who has reserved what on which worker.

#include "capacity/ledger.h"
