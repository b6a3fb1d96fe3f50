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

// ReplyToCaller ends one request.
struct ReplyToCaller {
    ReplyToken token {};
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

using RoutingEffect = std::variant<SendToRunner, ReplyToCaller, StartWatch>;
using RoutingEffects = std::vector<RoutingEffect>;

} // namespace dragonflytray
