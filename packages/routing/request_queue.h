#pragma once

// Queues for the waiting requests of one service: the order of service, and which request is evicted when the
// queue is full. Baseline orders are selected by an option, so that they can be compared in one program.
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

// QueueOrderKind lists the available orders.
enum class QueueOrderKind {
    WeightedFair, // classes by their floors, and the teams of a class by their weights
    Fifo, // in order of arrival; a baseline
    StrictPriority, // the most urgent class first; a baseline
};

inline constexpr NameTable queueOrderNames { std::to_array<NameEntry<QueueOrderKind>>({
    { QueueOrderKind::WeightedFair, "weighted-fair" },
    { QueueOrderKind::Fifo, "fifo" },
    { QueueOrderKind::StrictPriority, "strict-priority" },
}) };
static_assert(queueOrderNames.isWhole(QueueOrderKind::StrictPriority));

// ClassFloors is the minimum fraction of a service's slots that each class is guaranteed while it has waiting
// requests, in the order of Priority. Capacity that a class doesn't use goes to the others.
using ClassFloors = std::array<double, priorityNames.size()>;

// RequestQueue holds the waiting requests of one service. Deterministic. Not thread-safe.
class RequestQueue {
public:
    virtual ~RequestQueue() = default;

    // push() adds `pending` behind the others of its team and class, or in front of them if it is a retry.
    virtual void push(PendingRequest pending, double teamWeight) = 0;

    // front() returns the next request to serve, or null if the queue is empty. Valid until the queue changes.
    virtual const PendingRequest* front() const = 0;

    // pop() removes and returns front(). The queue must not be empty.
    virtual PendingRequest pop() = 0;

    // evictFor() removes and returns the request that has to make room for `incoming`, or returns nothing if
    // `incoming` itself has to be refused.
    virtual std::optional<PendingRequest> evictFor(const Request& incoming, double teamWeight) = 0;

    // removeIf() removes and returns every request for which `shouldRemove` is true. Linear in the queue.
    virtual std::vector<PendingRequest> removeIf(const std::function<bool(const PendingRequest&)>& shouldRemove) = 0;

    // estimatePosition() estimates the position that `incoming` would get; 1 is the next to be served.
    virtual double estimatePosition(const Request& incoming, double teamWeight) const = 0;

    // size() returns the number of waiting requests.
    virtual std::size_t size() const = 0;
};

// makeRequestQueue() returns an empty queue with the order `kind`. `floors` only matter for WeightedFair.
std::unique_ptr<RequestQueue> makeRequestQueue(QueueOrderKind kind, const ClassFloors& floors);

} // namespace dragonflytray
