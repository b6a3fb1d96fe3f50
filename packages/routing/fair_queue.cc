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

void FairQueue::push(WaitingRequest work, double teamWeight)
{
    require(teamWeight > 0, "FairQueue: a team needs a weight above zero");
    Class& level = this->classOf(work.request.priority);
    if (level.count == 0)
        level.start = std::max(level.start, this->virtualTime);
    Flow& flow = level.flows[work.request.team];
    if (flow.requests.empty())
        flow.start = std::max(flow.start, level.virtualTime);
    flow.weight = teamWeight;
    if (work.retries > 0)
        flow.requests.push_front(std::move(work));
    else
        flow.requests.push_back(std::move(work));
    ++level.count;
    ++this->count;
}

const FairQueue::Class* FairQueue::nextClass() const
{
    const Class* next = nullptr;
    for (const Class& level : this->classes) {
        if (level.count > 0 && (!next || level.start < next->start))
            next = &level;
    }
    return next;
}

FairQueue::Flows::const_iterator FairQueue::nextFlow(const Class& level)
{
    auto next = level.flows.end();
    for (auto flow = level.flows.begin(); flow != level.flows.end(); ++flow) {
        if (!flow->second.requests.empty() && (next == level.flows.end() || flow->second.start < next->second.start))
            next = flow;
    }
    return next;
}

const WaitingRequest* FairQueue::front() const
{
    const Class* level = this->nextClass();
    return level ? &nextFlow(*level)->second.requests.front() : nullptr;
}

WaitingRequest FairQueue::take()
{
    const Class* next = this->nextClass();
    require(next, "FairQueue: take() of an empty queue");
    Class& level = this->classes[static_cast<std::size_t>(next - this->classes.data())];
    Flow& flow = level.flows.at(nextFlow(level)->first);
    this->virtualTime = level.start;
    level.virtualTime = flow.start;
    level.start += 1 / level.floor;
    flow.start += 1 / flow.weight;
    WaitingRequest work = std::move(flow.requests.front());
    flow.requests.pop_front();
    --level.count;
    --this->count;
    forgetIdleFlows(level);
    return work;
}

void FairQueue::forgetIdleFlows(Class& level)
{
    // An idle flow ahead of the virtual time is kept, or it could jump the queue by going idle.
    std::erase_if(level.flows, [&](const auto& entry) { return entry.second.requests.empty() && entry.second.start <= level.virtualTime; });
    if (level.count == 0)
        level.flows.clear();
}

std::optional<WaitingRequest> FairQueue::shed(const Request& incoming, double teamWeight)
{
    // The class furthest above its floor pays, and in it the team with the longest backlog for its weight.
    const auto sizeOf = [&](const Class& level) { return level.count + (&level == &this->classOf(incoming.priority) ? 1 : 0); };
    Class* largest = &*std::max_element(this->classes.begin(), this->classes.end(),
        [&](const Class& left, const Class& right) { return static_cast<double>(sizeOf(left)) / left.floor < static_cast<double>(sizeOf(right)) / right.floor; });
    Flow* longest = nullptr;
    double longestLoad = 0;
    bool isIncomingLongest = false;
    if (largest == &this->classOf(incoming.priority)) {
        auto own = largest->flows.find(incoming.team);
        const std::size_t waiting = own == largest->flows.end() ? 0 : own->second.requests.size();
        longestLoad = static_cast<double>(waiting + 1) / teamWeight;
        isIncomingLongest = true;
    }
    for (auto& [team, flow] : largest->flows) {
        const double load = static_cast<double>(flow.requests.size()) / flow.weight;
        if (load > longestLoad) {
            longest = &flow;
            longestLoad = load;
            isIncomingLongest = false;
        }
    }
    if (isIncomingLongest || !longest)
        return std::nullopt;
    WaitingRequest victim = std::move(longest->requests.back());
    longest->requests.pop_back();
    --largest->count;
    --this->count;
    forgetIdleFlows(*largest);
    return victim;
}

std::vector<WaitingRequest> FairQueue::takeIf(const std::function<bool(const WaitingRequest&)>& isTaken)
{
    std::vector<WaitingRequest> taken;
    for (Class& level : this->classes) {
        const std::size_t before = taken.size();
        for (auto& [team, flow] : level.flows) {
            std::deque<WaitingRequest> kept;
            for (WaitingRequest& work : flow.requests)
                (isTaken(work) ? taken.emplace_back(std::move(work)) : kept.emplace_back(std::move(work)));
            flow.requests = std::move(kept);
        }
        level.count -= taken.size() - before;
        this->count -= taken.size() - before;
        forgetIdleFlows(level);
    }
    return taken;
}

double FairQueue::requestsBefore(const Request& incoming, double teamWeight) const
{
    const Class& own = this->classOf(incoming.priority);
    double floors = own.floor;
    for (const Class& level : this->classes)
        floors += &level != &own && level.count > 0 ? level.floor : 0;
    double weights = teamWeight;
    double ahead = 1;
    for (const auto& [team, flow] : own.flows) {
        if (team == incoming.team)
            ahead += static_cast<double>(flow.requests.size());
        else if (!flow.requests.empty())
            weights += flow.weight;
    }
    const double share = own.floor / floors * teamWeight / weights;
    return std::min(ahead / share, static_cast<double>(this->count + 1));
}

} // namespace dragonflytray
