#pragma once

// The order in which the waiting requests of one service are served, and which of them pays when
// there are too many. The baselines run in the same program as the real order.
//
// Example:
//
//     auto queue = makeRequestQueue(QueueOrderKind::WeightedFair, { 0.5, 0.3, 0.2 });
//     queue->push(std::move(pending), team.weight);
//     PendingRequest next = queue->pop();

#include "routing/pending_request.h"
#include <array>
#include <functional>
#include <optional>
#include <vector>

namespace dragonflytray {

// QueueOrderKind names the orders.
enum class QueueOrderKind {
    WeightedFair, // floors between classes, team weights within a class
    Fifo, // in order of arrival; a baseline
    StrictPriority, // the most urgent class first; a baseline
};

inline constexpr NameTable queueOrderNames { std::to_array<NameEntry<QueueOrderKind>>({
    { QueueOrderKind::WeightedFair, "weighted-fair" },
    { QueueOrderKind::Fifo, "fifo" },
    { QueueOrderKind::StrictPriority, "strict-priority" },
}) };
static_assert(queueOrderNames.isWhole(QueueOrderKind::StrictPriority));

// ClassFloors is the share of a service's slots that each class keeps while it has work, in the order of
// Priority. What a class leaves unused goes to the others.
using ClassFloors = std::array<double, priorityNames.size()>;

// RequestQueue holds the waiting requests of one service. Not thread-safe. Deterministic.
class RequestQueue {
public:
    virtual ~RequestQueue() = default;

    // push() adds `pending` behind the others of its team and class; a retry goes before them.
    virtual void push(PendingRequest pending, double teamWeight) = 0;

    // front() is the next request to serve, or nothing when the queue is empty. Valid until a change.
    virtual const PendingRequest* front() const = 0;

    // pop() removes front(). The queue must not be empty.
    virtual PendingRequest pop() = 0;

    // evictFor() removes the waiting request that is dropped for `incoming`; nothing: `incoming` itself has to be refused.
    virtual std::optional<PendingRequest> evictFor(const Request& incoming, double teamWeight) = 0;

    // removeIf() removes every request that `shouldRemove` accepts. Linear in the queue.
    virtual std::vector<PendingRequest> removeIf(const std::function<bool(const PendingRequest&)>& shouldRemove) = 0;

    // estimatePosition() estimates how many requests are served up to and with `incoming`.
    virtual double estimatePosition(const Request& incoming, double teamWeight) const = 0;

    // size() is the number of waiting requests.
    virtual std::size_t size() const = 0;
};

// makeRequestQueue() makes an empty queue in the order that `kind` names.
std::unique_ptr<RequestQueue> makeRequestQueue(QueueOrderKind kind, const ClassFloors& floors);

} // namespace dragonflytray
