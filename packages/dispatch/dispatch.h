#pragma once

// How orders reach workers: how much may be under way, and in which order it is sent.

#include "dispatch/call_lane.h"
#include "dispatch/delivery_window.h"
