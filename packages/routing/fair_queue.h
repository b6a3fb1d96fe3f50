#pragma once

// The weighted fair order: start-time fair queueing between the classes of a service, and again between
// the teams of a class.

#include "routing/request_queue.h"
#include <deque>
#include <map>

namespace dragonflytray {

// FairQueue serves backlogged classes in proportion to their floors and backlogged teams of a class in
// proportion to their weights. push() and take() cost time logarithmic in the teams of a class.
class FairQueue : public RequestQueue {
public:
    explicit FairQueue(const ClassFloors& floors);

    void push(WaitingRequest work, double teamWeight) override;
    const WaitingRequest* front() const override;
    WaitingRequest take() override;
    std::optional<WaitingRequest> shed(const Request& incoming, double teamWeight) override;
    std::vector<WaitingRequest> takeIf(const std::function<bool(const WaitingRequest&)>& isTaken) override;
    double requestsBefore(const Request& incoming, double teamWeight) const override;
    std::size_t size() const override { return this->count; }

private:
    // Flow is the backlog of one team in one class. It is dropped once empty and no longer ahead.
    struct Flow {
        std::deque<WaitingRequest> requests;
        double weight { 1 };
        double start { 0 }; // virtual time at which its first request may be served
    };
    using Flows = std::map<TeamName, Flow>;
    struct Class {
        Flows flows;
        double floor { 1 };
        double start { 0 };
        double virtualTime { 0 }; // of the flows
        std::size_t count { 0 };
    };

    const Class* nextClass() const;
    static Flows::const_iterator nextFlow(const Class& level);
    static void forgetIdleFlows(Class& level);
    Class& classOf(Priority priority) { return this->classes[indexOf(priority)]; }
    const Class& classOf(Priority priority) const { return this->classes[indexOf(priority)]; }

    std::array<Class, priorityNames.size()> classes;
    double virtualTime { 0 }; // of the classes
    std::size_t count { 0 };
};

} // namespace dragonflytray
