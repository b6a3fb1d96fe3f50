#pragma once

// A request from its submission until its outcome.
//
// Example:
//
//     PendingRequest pending { .token = ReplyToken(1), .request = request, .arrivedAt = now };

#include "model/model.h"

namespace dragonflytray {

// PendingRequest is one request without an outcome, with the state of its attempts so far.
struct PendingRequest {
    ReplyToken token {};
    Request request;
    Instant arrivedAt;
    Instant queuedAt; // last time that it entered the queue
    int retries { 0 }; // attempts after the first
    HostName lastTarget; // runner or peer of the last attempt; avoided by a retry
    bool mayHaveRun { false }; // a runner may have run it, so that its outcome must not be NotRun
    RowVersion claimVersion { 0 }; // version of the table row that claims its id; 0: no row
};

} // namespace dragonflytray
