#pragma once

// The typed messages that travel between duties, and the rings that carry them.

#include "batch/batch.h"
#include "gateway/gateway.h"
#include "membership/membership.h"
#include "routing/routing.h"
#include "shares/shares.h"
#include "telemetry/telemetry.h"

namespace dragonflytray {

// Question asks a decision duty; its answer goes back to the caller duty as ViewReady.
template <typename Query>
struct Question {
    ReplyToken token {};
    Query query;
};

// Towards the caller duty.
struct ViewReady {
    ReplyToken token {};
    std::variant<RoutingView, BatchView, MembershipView> view;
};
struct MetricsReady {
    ReplyToken token {};
    std::string text;
};
struct WatchPart {
    ReplyToken token {};
    std::string part;
};
struct WatchEnded {
    ReplyToken token {};
    bool isConnected { false }; // false: the runner never answered
};
struct ReadinessChanged {
    bool isReady { false };
};
struct BeginShutdown {
};
using CallerMessage = std::variant<ReplyToCaller, ReplyToSubmitter, ReplyToOperator, ViewReady, MetricsReady, WatchPart, WatchEnded, ReadinessChanged, BeginShutdown>;

// Towards the runner duty.
struct CloseWatch {
    ReplyToken token {};
};
using RunnerMessage = std::variant<SendToRunner, StartWatch, CloseWatch>;

// Towards the platform duty. The origin says which decision gets the result.
enum class PlatformOrigin {
    Routing,
    Batch,
    Membership,
};

inline constexpr NameTable platformOriginNames { std::to_array<NameEntry<PlatformOrigin>>({
    { PlatformOrigin::Routing, "routing" },
    { PlatformOrigin::Batch, "batch" },
    { PlatformOrigin::Membership, "membership" },
}) };
static_assert(platformOriginNames.isWhole(PlatformOrigin::Membership));

struct PlatformMessage {
    PlatformOrigin origin { PlatformOrigin::Batch };
    PlatformWork work;
};

// Towards the telemetry duty.
struct MetricsQuestion {
    ReplyToken token {};
};
using TelemetryMessage = std::variant<MetricsSnapshot, MetricsQuestion>;

// Towards the decisions.
using RequestMessage = std::variant<RoutingCommand, Question<RoutingQuery>>;
using BatchMessage = std::variant<BatchCommand, Question<BatchQuery>>;
using MembershipMessage = std::variant<MembershipCommand, Question<MembershipQuery>>;

// Towards the peer duty.
using PeerOutgoing = std::variant<SendHeartbeat, SendShareReport, SendShareGrant>;

// Drained tells the main thread that no connection of a caller is left.
struct Drained {
};

// Rings joins the duties. One eighth of each is reserved for completions, renewals and releases.
struct Rings {
    explicit Rings(std::size_t capacity)
        : callers({ capacity, capacity / 8 })
        , requests({ capacity, capacity / 8 })
        , runners({ capacity, capacity / 8 })
        , batch({ capacity, capacity / 8 })
        , workers({ capacity, capacity / 8 })
        , membership({ capacity, capacity / 8 })
        , shares({ capacity, capacity / 8 })
        , platform({ capacity, capacity / 8 })
        , peers({ capacity, capacity / 8 })
        , telemetry({ capacity, capacity / 8 })
        , drained({ 8, 0 })
    {
    }

    BoundedRing<CallerMessage> callers;
    BoundedRing<RequestMessage> requests;
    BoundedRing<RunnerMessage> runners;
    BoundedRing<BatchMessage> batch;
    BoundedRing<ContactWorker> workers;
    BoundedRing<MembershipMessage> membership;
    BoundedRing<SharesCommand> shares;
    BoundedRing<PlatformMessage> platform;
    BoundedRing<PeerOutgoing> peers;
    BoundedRing<TelemetryMessage> telemetry;
    BoundedRing<Drained> drained;
};

// appendRingMetrics() adds depth, high water and refusals of one ring.
template <typename Message>
void appendRingMetrics(std::vector<Metric>& metrics, const std::string& ring, const BoundedRing<Message>& messages)
{
    const RingStatistics statistics = messages.statistics();
    metrics.push_back({ "dragonflytray_ring_depth", MetricKind::Gauge, { { "ring", ring } }, static_cast<double>(statistics.depth) });
    metrics.push_back({ "dragonflytray_ring_high_water", MetricKind::Gauge, { { "ring", ring } }, static_cast<double>(statistics.highWater) });
    metrics.push_back({ "dragonflytray_ring_refusals_total", MetricKind::Counter, { { "ring", ring } }, static_cast<double>(statistics.refused) });
}

} // namespace dragonflytray
