#pragma once

// How orders reach workers: how much may be under way, and in which order it is sent.

#include "dispatch/agent_choice.h"
#include "dispatch/call_lane.h"
#include "dispatch/delivery_window.h"
