#pragma once

// A request between its admission and its outcome.

#include "model/model.h"

namespace dragonflytray {

// PendingRequest is one accepted request with what is known of its attempts so far.
struct PendingRequest {
    ReplyToken token {};
    Request request;
    Instant arrivedAt;
    Instant queuedAt;
    int retries { 0 };
    HostName lastTarget; // runner or peer of the last attempt; avoided by a retry
    bool mayHaveRun { false }; // an attempt may have been run: the outcome can't be NotRun any more
    RowVersion claimVersion { 0 }; // version of this request's row; 0: it has none
};

} // namespace dragonflytray
