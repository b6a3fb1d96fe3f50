#include "routing/runner_pool.h"

#include <utility>

namespace dragonflytray {

void RunnerPool::update(RunnerState& runner, bool isFit)
{
    const RunnerCandidate candidate { runner.inFlight, runner.share, runner.answerSeconds };
    const bool isPooled = runner.position != RunnerState::notPooled;
    if (isFit && isPooled) {
        this->candidates[runner.position] = candidate;
    } else if (isFit) {
        runner.position = this->runners.size();
        this->candidates.push_back(candidate);
        this->runners.push_back(&runner);
    } else if (isPooled) {
        this->swap(runner.position, this->runners.size() - 1);
        this->candidates.pop_back();
        this->runners.pop_back();
        runner.position = RunnerState::notPooled;
    }
}

RunnerState* RunnerPool::choose(RunnerChoice& choice, RunnerState* avoided)
{
    std::span<const RunnerCandidate> open(this->candidates);
    if (avoided && avoided->position != RunnerState::notPooled) {
        this->swap(avoided->position, this->runners.size() - 1);
        open = open.first(open.size() - 1);
    }
    const auto chosen = choice.choose(open);
    return chosen ? this->runners[*chosen] : nullptr;
}

void RunnerPool::swap(std::size_t left, std::size_t right)
{
    std::swap(this->candidates[left], this->candidates[right]);
    std::swap(this->runners[left], this->runners[right]);
    this->runners[left]->position = left;
    this->runners[right]->position = right;
}

} // namespace dragonflytray
