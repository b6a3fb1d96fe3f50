#pragma once

// The weighted fair order: start-time fair queueing between the classes of a service, and again between
// the teams of a class.

#include "routing/request_queue.h"
#include <deque>
#include <map>

namespace dragonflytray {

// FairQueue serves backlogged classes in proportion to their floors and backlogged teams of a class in
// proportion to their weights. push() and pop() cost time logarithmic in the teams of a class.
class FairQueue : public RequestQueue {
public:
    explicit FairQueue(const ClassFloors& floors);

    void push(PendingRequest pending, double teamWeight) override;
    const PendingRequest* front() const override;
    PendingRequest pop() override;
    std::optional<PendingRequest> evictFor(const Request& incoming, double teamWeight) override;
    std::vector<PendingRequest> removeIf(const std::function<bool(const PendingRequest&)>& shouldRemove) override;
    double estimatePosition(const Request& incoming, double teamWeight) const override;
    std::size_t size() const override { return this->count; }

private:
    // Flow is the backlog of one team in one class. It is dropped once empty and no longer ahead.
    struct Flow {
        std::deque<PendingRequest> requests;
        double weight { 1 };
        double startTag { 0 }; // virtual time at which its first request may be served
    };
    using Flows = std::map<TeamName, Flow>;
    struct ClassQueue {
        Flows flows;
        double floor { 1 };
        double startTag { 0 };
        double virtualTime { 0 }; // of the flows
        std::size_t count { 0 };
    };

    const ClassQueue* nextClassQueue() const;
    static Flows::const_iterator nextFlow(const ClassQueue& classQueue);
    static void removeIdleFlows(ClassQueue& classQueue);
    ClassQueue& classQueueOf(Priority priority) { return this->classes[indexOf(priority)]; }
    const ClassQueue& classQueueOf(Priority priority) const { return this->classes[indexOf(priority)]; }

    std::array<ClassQueue, priorityNames.size()> classes;
    double virtualTime { 0 }; // of the classes
    std::size_t count { 0 };
};

} // namespace dragonflytray
