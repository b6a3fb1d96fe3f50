#pragma once

// From typed replies and views to HTTP responses with JSON bodies. All functions are pure.

#include "batch/batch.h"
#include "membership/membership.h"
#include "routing/routing.h"
#include "transport/transport.h"

namespace dragonflytray {

// encodeFault() is the response to a request that could not be read.
HttpResponse encodeFault(unsigned status, RefusalReason reason, const std::string& detail);

// encodeReply() is the response that ends a request, a submission or an apply.
HttpResponse encodeReply(const ReplyToCaller& reply);
HttpResponse encodeReply(const ReplyToSubmitter& reply);
HttpResponse encodeReply(const ReplyToOperator& reply);

// encodeView() is the response to a query.
HttpResponse encodeView(const RoutingView& view);
HttpResponse encodeView(const BatchView& view);
HttpResponse encodeView(const MembershipView& view);

} // namespace dragonflytray
