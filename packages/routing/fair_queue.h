#pragma once

// Weighted fair queueing: start-time fair queueing (SFQ) between the classes of a service, and again between
// the teams of a class.
//
// Example:
//
//     FairQueue queue({ 0.5, 0.3, 0.2 });
//     queue.push(std::move(pending), team.weight);
//     PendingRequest next = queue.pop();

#include "routing/request_queue.h"
#include <deque>
#include <map>

namespace dragonflytray {

// FairQueue serves backlogged classes in proportion to their floors, and the backlogged teams of a class in
// proportion to their weights. push() costs time logarithmic in the teams of the class, front() and pop() linear.
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
    // Flow is the backlog of one team in one class. Once empty, it is removed as soon as its start tag is no longer
    // ahead of the virtual time.
    struct Flow {
        std::deque<PendingRequest> requests;
        double weight { 1 };
        double startTag { 0 }; // virtual time at which its first request is due
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
