#pragma once

// The public header of the `capacity` library: which job has reserved which capacity on which worker.

#include "capacity/capacity_reservations.h"
