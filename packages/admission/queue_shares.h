#pragma once

// The order in which queues of one priority get capacity.
//
// It answers a burst in one queue, or a demand of several queues, that exceeds the capacity: the queue that has taken least of it comes
// first, so that a burst delays its own queue. Where capacity suffices, the order has no effect.
//
// It is start-time fair queuing: each queue has a virtual time, which is what the queue has taken plus what its running tasks are still
// expected to take, divided by its weight. A queue that waits for nothing keeps no credit: its virtual time follows the least one of the
// queues that wait. Once no queue of a priority waits, what its queues have taken no longer counts. No constant bounds the memory, so
// that none has to be chosen.

#include "model/model.h"
#include <cstddef>
#include <map>
#include <vector>

namespace dragonflytray {

// QueueUse is what a queue takes of the capacity at one moment.
struct QueueUse {
    QueueName queue;
    int priority { 0 }; // queues are compared with those of the same priority
    double cores { 0 }; // of its tasks on workers
    double expectedWork { 0 }; // of these tasks by their expected run times, in core seconds
    bool isWaiting { false }; // tasks of the queue wait for workers
};

// QueueDebt is how far a queue is ahead of the one that comes first at its priority.
struct QueueDebt {
    QueueUse use;
    double debt { 0 }; // core seconds divided by the weight of the queue
};

// ShareClaim is what one job of a queue waits for.
struct ShareClaim {
    const QueueName* queue { nullptr };
    double work { 0 }; // of its waiting tasks by their expected run times, in core seconds
};

// QueueShares keeps the virtual times. Pure: the time is passed in. Not thread-safe. Nothing is stored: a new leader compares the tasks
// that it finds on workers, and learns the rest within about one run time.
class QueueShares {
public:
    struct Options {
        std::map<QueueName, double> weights {}; // more than 0; queues that are not named have the weight 1
    };

    explicit QueueShares(Options options)
        : options(std::move(options))
    {
    }

    // Commands.

    // follow() applies what all queues take since `now`. Queues that are not named take nothing and wait for nothing. It is given the
    // whole use rather than starts and ends, so that no lost or adopted run can leave a difference behind. Linear in the queues.
    void follow(const std::vector<QueueUse>& uses, Instant now);

    // clear() forgets all queues.
    void clear();

    // Queries.

    // debtOf() is by how much the virtual time of a queue exceeds the least one of the queues that wait at its priority, in core seconds;
    // 0: it comes first, or none waits.
    double debtOf(const QueueName& queue) const;

    // debts() is the same of all queues that take or wait for something, or have a debt.
    std::vector<QueueDebt> debts() const;

    // order() returns the indices of `claims` of one priority in the order in which they should get capacity. Claims of one queue keep
    // their order, and of two queues with equal virtual times the one with the earlier claim comes first. n log q for n claims of q
    // queues.
    std::vector<std::size_t> order(const std::vector<ShareClaim>& claims) const;

private:
    struct Queue {
        QueueUse use;
        double taken { 0 }; // core seconds divided by the weight
    };

    double weightOf(const QueueName& queue) const;
    double virtualTimeOf(const Queue& queue) const { return queue.taken + queue.use.expectedWork / this->weightOf(queue.use.queue); }
    double debtOf(const Queue& queue) const;

    // raise() raises the virtual time of a queue to at least `virtualTime`.
    void raise(Queue& queue, double virtualTime) const;

    // settle() applies the least virtual times to queues that don't wait, and forgets those without any effect.
    void settle();

    Options options;
    std::map<QueueName, Queue> queues;
    std::map<int, double> leastVirtualTimes; // of the queues that wait, by priority; absent: none waits
    Instant followedAt; // zero: never
};

} // namespace dragonflytray
