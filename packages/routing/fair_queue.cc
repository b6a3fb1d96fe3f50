#include "routing/fair_queue.h"

#include <algorithm>

namespace dragonflytray {

FairQueue::FairQueue(const ClassFloors& floors)
{
    for (std::size_t i = 0; i < floors.size(); ++i) {
        require(floors[i] > 0, "FairQueue: each class needs a floor above zero");
        this->classes[i].floor = floors[i];
    }
}

void FairQueue::push(PendingRequest pending, double teamWeight)
{
    require(teamWeight > 0, "FairQueue: a team needs a weight above zero");
    ClassQueue& classQueue = this->classQueueOf(pending.request.priority);
    if (classQueue.count == 0)
        classQueue.startTag = std::max(classQueue.startTag, this->virtualTime);
    Flow& flow = classQueue.flows[pending.request.team];
    if (flow.requests.empty())
        flow.startTag = std::max(flow.startTag, classQueue.virtualTime);
    flow.weight = teamWeight;
    if (pending.retries > 0)
        flow.requests.push_front(std::move(pending));
    else
        flow.requests.push_back(std::move(pending));
    ++classQueue.count;
    ++this->count;
}

const FairQueue::ClassQueue* FairQueue::nextClassQueue() const
{
    const ClassQueue* next = nullptr;
    for (const ClassQueue& classQueue : this->classes) {
        if (classQueue.count > 0 && (!next || classQueue.startTag < next->startTag))
            next = &classQueue;
    }
    return next;
}

FairQueue::Flows::const_iterator FairQueue::nextFlow(const ClassQueue& classQueue)
{
    auto next = classQueue.flows.end();
    for (auto flow = classQueue.flows.begin(); flow != classQueue.flows.end(); ++flow) {
        if (!flow->second.requests.empty() && (next == classQueue.flows.end() || flow->second.startTag < next->second.startTag))
            next = flow;
    }
    return next;
}

const PendingRequest* FairQueue::front() const
{
    const ClassQueue* classQueue = this->nextClassQueue();
    return classQueue ? &nextFlow(*classQueue)->second.requests.front() : nullptr;
}

PendingRequest FairQueue::pop()
{
    const ClassQueue* next = this->nextClassQueue();
    require(next, "FairQueue: pop() of an empty queue");
    ClassQueue& classQueue = this->classes[static_cast<std::size_t>(next - this->classes.data())];
    Flow& flow = classQueue.flows.at(nextFlow(classQueue)->first);
    this->virtualTime = classQueue.startTag;
    classQueue.virtualTime = flow.startTag;
    classQueue.startTag += 1 / classQueue.floor;
    flow.startTag += 1 / flow.weight;
    PendingRequest pending = std::move(flow.requests.front());
    flow.requests.pop_front();
    --classQueue.count;
    --this->count;
    removeIdleFlows(classQueue);
    return pending;
}

void FairQueue::removeIdleFlows(ClassQueue& classQueue)
{
    // An empty flow ahead of the virtual time keeps its start tag. Otherwise a team that goes idle for a moment would be
    // served too early.
    std::erase_if(classQueue.flows, [&](const auto& entry) { return entry.second.requests.empty() && entry.second.startTag <= classQueue.virtualTime; });
    if (classQueue.count == 0)
        classQueue.flows.clear();
}

std::optional<PendingRequest> FairQueue::evictFor(const Request& incoming, double teamWeight)
{
    // The victim is the last request of the team with the longest backlog for its weight, in the class with the
    // longest backlog for its floor.
    const auto sizeWithIncoming = [&](const ClassQueue& classQueue) { return classQueue.count + (&classQueue == &this->classQueueOf(incoming.priority) ? 1 : 0); };
    ClassQueue* victimClass = &*std::max_element(this->classes.begin(), this->classes.end(),
        [&](const ClassQueue& left, const ClassQueue& right) { return static_cast<double>(sizeWithIncoming(left)) / left.floor < static_cast<double>(sizeWithIncoming(right)) / right.floor; });
    Flow* victimFlow = nullptr;
    double maxLoad = 0;
    bool isIncomingVictim = false;
    if (victimClass == &this->classQueueOf(incoming.priority)) {
        auto own = victimClass->flows.find(incoming.team);
        const std::size_t waiting = own == victimClass->flows.end() ? 0 : own->second.requests.size();
        maxLoad = static_cast<double>(waiting + 1) / teamWeight;
        isIncomingVictim = true;
    }
    for (auto& [team, flow] : victimClass->flows) {
        const double load = static_cast<double>(flow.requests.size()) / flow.weight;
        if (load > maxLoad) {
            victimFlow = &flow;
            maxLoad = load;
            isIncomingVictim = false;
        }
    }
    if (isIncomingVictim || !victimFlow)
        return std::nullopt;
    PendingRequest victim = std::move(victimFlow->requests.back());
    victimFlow->requests.pop_back();
    --victimClass->count;
    --this->count;
    removeIdleFlows(*victimClass);
    return victim;
}

std::vector<PendingRequest> FairQueue::removeIf(const std::function<bool(const PendingRequest&)>& shouldRemove)
{
    std::vector<PendingRequest> removed;
    for (ClassQueue& classQueue : this->classes) {
        const std::size_t before = removed.size();
        for (auto& [team, flow] : classQueue.flows) {
            std::deque<PendingRequest> kept;
            for (PendingRequest& pending : flow.requests)
                (shouldRemove(pending) ? removed.emplace_back(std::move(pending)) : kept.emplace_back(std::move(pending)));
            flow.requests = std::move(kept);
        }
        classQueue.count -= removed.size() - before;
        this->count -= removed.size() - before;
        removeIdleFlows(classQueue);
    }
    return removed;
}

double FairQueue::estimatePosition(const Request& incoming, double teamWeight) const
{
    const ClassQueue& own = this->classQueueOf(incoming.priority);
    double backloggedFloors = own.floor;
    for (const ClassQueue& classQueue : this->classes)
        backloggedFloors += &classQueue != &own && classQueue.count > 0 ? classQueue.floor : 0;
    double backloggedWeights = teamWeight;
    double positionInFlow = 1;
    for (const auto& [team, flow] : own.flows) {
        if (team == incoming.team)
            positionInFlow += static_cast<double>(flow.requests.size());
        else if (!flow.requests.empty())
            backloggedWeights += flow.weight;
    }
    const double share = own.floor / backloggedFloors * teamWeight / backloggedWeights;
    return std::min(positionInFlow / share, static_cast<double>(this->count + 1));
}

} // namespace dragonflytray
