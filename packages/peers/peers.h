#pragma once

// The public header of the `peers` library: gRPC between entry hosts. No gRPC header is needed by its
// users.

#include "peers/peer_exchange.h"
