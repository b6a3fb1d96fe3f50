#pragma once

// The protocol towards runners: one POST for a request, one GET for a watch. All functions are pure.

#include "routing/routing.h"
#include "transport/transport.h"

namespace dragonflytray {

// encodeAttempt() is the HTTP request of one attempt.
HttpRequest encodeAttempt(const SendToRunner& attempt);

// decodeAttempt() is the routing command that an answer or a failure amounts to. An answer that does not
// carry the attempt's own number counts as crossed, and so as lost.
RoutingCommand decodeAttempt(AttemptId attempt, tl::expected<HttpResponse, SendFailure> answer);

// encodeWatch() is the HTTP request of one watch.
HttpRequest encodeWatch(const StartWatch& watch);

} // namespace dragonflytray
