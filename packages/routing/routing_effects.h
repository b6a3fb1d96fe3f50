#pragma once

// The effects of `Routing`: what its owner has to carry out, in order.

#include "model/model.h"
#include <variant>
#include <vector>

namespace dragonflytray {

// SendToRunner starts one attempt. Answer it with RunnerAnswered or RunnerFailed, exactly once.
struct SendToRunner {
    AttemptId attempt {};
    HostName runner;
    Endpoint endpoint;
    Request request;
    Duration timeout { 0 }; // what is left until the deadline
};

// ForwardToPeer starts one attempt through an entry host of another data centre, or of this one that has
// free slots. Answer it with RunnerAnswered or RunnerFailed, exactly once, as for SendToRunner.
struct ForwardToPeer {
    AttemptId attempt {};
    HostName peer;
    Endpoint endpoint; // of the peer's gRPC service
    Request request;
    Duration timeout { 0 }; // what is left until the deadline
};

// ReplyToCaller ends one request.
struct ReplyToCaller {
    ReplyToken token {};
    RequestSource source { RequestSource::Caller };
    RequestId request;
    Outcome outcome;
};

// StartWatch relays a runner's stream to a caller.
struct StartWatch {
    ReplyToken token {};
    Endpoint endpoint;
    ServiceName service;
    std::string cursor;
};

using RoutingEffect = std::variant<SendToRunner, ForwardToPeer, ReplyToCaller, StartWatch, SharesHeld, WriteTransaction>;
using RoutingEffects = std::vector<RoutingEffect>;

} // namespace dragonflytray
