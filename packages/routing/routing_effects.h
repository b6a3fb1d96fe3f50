#pragma once

// The effects of `Routing`: the actions that its owner has to execute, in order.
//
// Example:
//
//     for (const RoutingEffect& effect : routing.handle(command, now)) {
//         if (const auto* send = std::get_if<SendToRunner>(&effect))
//             connections.send(send->endpoint, send->request);
//     }

#include "model/model.h"
#include <variant>
#include <vector>

namespace dragonflytray {

// SendToRunner starts one attempt on a runner. The owner reports its end by exactly one RunnerAnswered or
// RunnerFailed.
struct SendToRunner {
    AttemptId attempt {};
    HostName runner;
    Endpoint endpoint;
    Request request;
    Duration timeout { 0 }; // of this attempt; at most the time until the request's deadline
};

// ForwardToPeer starts one attempt through an entry host of another data centre. The owner reports its end by
// exactly one RunnerAnswered or RunnerFailed, as for SendToRunner.
struct ForwardToPeer {
    AttemptId attempt {};
    HostName peer;
    Endpoint endpoint; // of the peer's gRPC service
    Request request;
    Duration timeout { 0 }; // of this attempt; at most the time until the request's deadline
};

// ReplyToCaller delivers the outcome of one request, or the refusal of a watch (with an empty `request`).
struct ReplyToCaller {
    ReplyToken token {};
    RequestSource source { RequestSource::Caller };
    RequestId request;
    Outcome outcome;
};

// StartWatch relays the message stream of a runner to a caller.
struct StartWatch {
    ReplyToken token {};
    Endpoint endpoint;
    ServiceName service;
    std::string cursor;
};

// RoutingEffect is any effect. SharesHeld and WriteTransaction are declared in `model`.
using RoutingEffect = std::variant<SendToRunner, ForwardToPeer, ReplyToCaller, StartWatch, SharesHeld, WriteTransaction>;
using RoutingEffects = std::vector<RoutingEffect>;

} // namespace dragonflytray
