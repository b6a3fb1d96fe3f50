#pragma once

// The public header of the `gateway` library: HTTP and JSON on one side, typed commands, queries and
// effects on the other. It decides nothing.

#include "gateway/caller_decoding.h"
#include "gateway/reply_encoding.h"
#include "gateway/runner_encoding.h"
#include "gateway/worker_encoding.h"
