#include "routing/runner_pool.h"

#include <utility>

namespace dragonflytray {

void RunnerPool::update(RunnerState& runner, bool isEligible)
{
    const RunnerCandidate candidate { runner.inFlight, runner.share, runner.latencySeconds };
    const bool isInPool = runner.poolIndex != RunnerState::notInPool;
    if (isEligible && isInPool) {
        this->candidates[runner.poolIndex] = candidate;
    } else if (isEligible) {
        runner.poolIndex = this->runners.size();
        this->candidates.push_back(candidate);
        this->runners.push_back(&runner);
    } else if (isInPool) {
        this->swap(runner.poolIndex, this->runners.size() - 1);
        this->candidates.pop_back();
        this->runners.pop_back();
        runner.poolIndex = RunnerState::notInPool;
    }
}

RunnerState* RunnerPool::choose(RunnerChoice& choice, RunnerState* excluded)
{
    std::span<const RunnerCandidate> eligible(this->candidates);
    if (excluded && excluded->poolIndex != RunnerState::notInPool) {
        this->swap(excluded->poolIndex, this->runners.size() - 1);
        eligible = eligible.first(eligible.size() - 1);
    }
    const auto chosen = choice.choose(eligible);
    return chosen ? this->runners[*chosen] : nullptr;
}

void RunnerPool::swap(std::size_t left, std::size_t right)
{
    std::swap(this->candidates[left], this->candidates[right]);
    std::swap(this->runners[left], this->runners[right]);
    this->runners[left]->poolIndex = left;
    this->runners[right]->poolIndex = right;
}

} // namespace dragonflytray
