#pragma once

// Messages between entry hosts to and from their protobuf forms. Private to `peers`. Pure.

#include "membership/membership.h"
#include "peers.pb.h"
#include "shares/shares.h"

namespace dragonflytray {

// The encode functions cost time linear in the message; they can't fail.
wire::Heartbeat encode(const PeerHeartbeat& heartbeat);
wire::ShareReport encode(const ShareReport& report);
wire::ShareGrant encode(const ShareGrant& grant);

// The decode functions take any message: missing fields are empty or 0.
PeerHeartbeat decode(const wire::Heartbeat& message);
ShareReport decode(const wire::ShareReport& message);
ShareGrant decode(const wire::ShareGrant& message);

} // namespace dragonflytray
