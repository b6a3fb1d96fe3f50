#include "admission/queue_shares.h"

#include <algorithm>
#include <queue>
#include <utility>

namespace dragonflytray {

namespace {

    // Work that counts for a claim at least, so that tasks which are declared without cores or run time take turns as well.
    constexpr double minClaimedWork = 0.001; // core seconds

} // namespace

double QueueShares::weightOf(const QueueName& queue) const
{
    const auto found = this->options.weights.find(queue);
    return found == this->options.weights.end() ? 1 : found->second;
}

void QueueShares::raise(Queue& queue, double virtualTime) const
{
    queue.taken += std::max(virtualTime - this->virtualTimeOf(queue), 0.0);
}

void QueueShares::follow(const std::vector<QueueUse>& uses, Instant now)
{
    const double elapsed = this->followedAt == Instant() ? 0 : std::max(toSeconds(now - this->followedAt), 0.0);
    this->followedAt = now;
    for (auto& [name, queue] : this->queues) {
        queue.taken += queue.use.cores * elapsed / this->weightOf(name);
        queue.use = { .queue = name, .priority = queue.use.priority };
    }
    for (const QueueUse& use : uses) {
        const auto [found, isNew] = this->queues.try_emplace(use.queue);
        found->second.use = use;
        const auto least = this->leastVirtualTimes.find(use.priority);
        if (isNew && least != this->leastVirtualTimes.end())
            this->raise(found->second, least->second);
    }
    this->leastVirtualTimes.clear();
    for (const auto& [name, queue] : this->queues) {
        if (!queue.use.isWaiting)
            continue;
        const double virtualTime = this->virtualTimeOf(queue);
        const auto [least, isFirst] = this->leastVirtualTimes.try_emplace(queue.use.priority, virtualTime);
        least->second = std::min(least->second, virtualTime);
    }
    this->settle();
}

void QueueShares::settle()
{
    for (auto& [name, queue] : this->queues) {
        const auto least = this->leastVirtualTimes.find(queue.use.priority);
        if (least == this->leastVirtualTimes.end())
            queue.taken = 0;
        else if (!queue.use.isWaiting)
            this->raise(queue, least->second);
    }
    std::erase_if(this->queues, [this](const auto& entry) {
        const Queue& queue = entry.second;
        return !queue.use.isWaiting && queue.use.cores == 0 && this->debtOf(queue) == 0;
    });
}

void QueueShares::clear()
{
    this->queues.clear();
    this->leastVirtualTimes.clear();
    this->followedAt = {};
}

double QueueShares::debtOf(const Queue& queue) const
{
    const auto least = this->leastVirtualTimes.find(queue.use.priority);
    return least == this->leastVirtualTimes.end() ? 0 : std::max(this->virtualTimeOf(queue) - least->second, 0.0);
}

double QueueShares::debtOf(const QueueName& queue) const
{
    const auto found = this->queues.find(queue);
    return found == this->queues.end() ? 0 : this->debtOf(found->second);
}

std::vector<QueueDebt> QueueShares::debts() const
{
    std::vector<QueueDebt> debts;
    debts.reserve(this->queues.size());
    for (const auto& [name, queue] : this->queues)
        debts.push_back({ queue.use, this->debtOf(queue) });
    return debts;
}

std::vector<std::size_t> QueueShares::order(const std::vector<ShareClaim>& claims) const
{
    struct Line {
        double virtualTime { 0 };
        double weight { 1 };
        std::vector<std::size_t> claims {};
        std::size_t next { 0 };
    };
    std::map<QueueName, Line> lines;
    for (std::size_t claim = 0; claim < claims.size(); ++claim) {
        const auto [line, isNew] = lines.try_emplace(*claims[claim].queue);
        if (isNew)
            line->second = { .virtualTime = this->debtOf(line->first), .weight = this->weightOf(line->first) };
        line->second.claims.push_back(claim);
    }
    const auto comesLater = [](const Line* left, const Line* right) {
        return std::pair(left->virtualTime, left->claims[left->next]) > std::pair(right->virtualTime, right->claims[right->next]);
    };
    std::priority_queue<Line*, std::vector<Line*>, decltype(comesLater)> heads(comesLater);
    for (auto& [name, line] : lines)
        heads.push(&line);
    std::vector<std::size_t> order;
    order.reserve(claims.size());
    while (!heads.empty()) {
        Line* line = heads.top();
        heads.pop();
        const std::size_t claim = line->claims[line->next++];
        order.push_back(claim);
        line->virtualTime += std::max(claims[claim].work, minClaimedWork) / line->weight;
        if (line->next < line->claims.size())
            heads.push(line);
    }
    return order;
}

} // namespace dragonflytray
