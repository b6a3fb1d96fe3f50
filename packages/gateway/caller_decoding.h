#pragma once

// From an HTTP request of a caller or operator to a typed call.
//
// Example:
//
//     auto call = decodeCall(request, token, BootClock::now());
//     if (!call)
//         reply->send(call.error());

#include "batch/batch.h"
#include "membership/membership.h"
#include "routing/routing.h"
#include "transport/transport.h"

namespace dragonflytray {

// HealthQuery asks for one of the daemon's own health words.
enum class HealthQuery {
    Live,
    Ready,
    Metrics,
};

inline constexpr NameTable healthQueryNames { std::to_array<NameEntry<HealthQuery>>({
    { HealthQuery::Live, "live" },
    { HealthQuery::Ready, "ready" },
    { HealthQuery::Metrics, "metrics" },
}) };
static_assert(healthQueryNames.isWhole(HealthQuery::Metrics));

// CallerCall is everything that comes in by HTTP: commands and queries of three decision packages.
using CallerCall = std::variant<SubmitRequest, OpenWatch, SubmitJob, CancelJob, ApplyDeclaration, RoutingQuery, BatchQuery, MembershipQuery, HealthQuery>;

// decodeCall() reads one HTTP request; a 4xx response with a JSON reason when it can't be read. Pure.
tl::expected<CallerCall, HttpResponse> decodeCall(HttpRequest request, ReplyToken token, Instant now);

} // namespace dragonflytray
