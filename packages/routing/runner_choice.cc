#include "routing/runner_choice.h"

#include <random>
#include <tuple>

namespace dragonflytray {

namespace {

    class LeastOutstanding : public RunnerChoice {
    public:
        explicit LeastOutstanding(std::uint64_t seed)
            : random(seed)
        {
        }

        std::optional<std::size_t> choose(std::span<const RunnerCandidate> candidates) override
        {
            std::optional<std::size_t> best;
            std::size_t ties = 0;
            for (std::size_t i = 0; i < candidates.size(); ++i) {
                if (!best || this->rank(candidates[i]) < this->rank(candidates[*best])) {
                    best = i;
                    ties = 1;
                } else if (this->rank(candidates[i]) == this->rank(candidates[*best])) {
                    ++ties;
                    if (this->random() % ties == 0)
                        best = i;
                }
            }
            return best;
        }

    private:
        static std::tuple<int, double> rank(const RunnerCandidate& candidate)
        {
            return { candidate.distance, static_cast<double>(candidate.inFlight) / candidate.share };
        }

        std::mt19937_64 random;
    };

    class RoundRobin : public RunnerChoice {
    public:
        explicit RoundRobin(std::uint64_t seed)
            : next(seed)
        {
        }

        std::optional<std::size_t> choose(std::span<const RunnerCandidate> candidates) override
        {
            if (candidates.empty())
                return std::nullopt;
            return this->next++ % candidates.size();
        }

    private:
        std::uint64_t next;
    };

    class Random : public RunnerChoice {
    public:
        explicit Random(std::uint64_t seed)
            : random(seed)
        {
        }

        std::optional<std::size_t> choose(std::span<const RunnerCandidate> candidates) override
        {
            if (candidates.empty())
                return std::nullopt;
            return this->random() % candidates.size();
        }

    private:
        std::mt19937_64 random;
    };

    template <typename Strategy>
    std::unique_ptr<RunnerChoice> make(std::uint64_t seed)
    {
        return std::make_unique<Strategy>(seed);
    }

    using Factory = std::unique_ptr<RunnerChoice> (*)(std::uint64_t);
    constexpr std::array<Factory, runnerChoiceNames.size()> factories { &make<LeastOutstanding>, &make<RoundRobin>, &make<Random> };

} // namespace

std::unique_ptr<RunnerChoice> makeRunnerChoice(RunnerChoiceKind kind, std::uint64_t seed)
{
    return factories[indexOf(kind)](seed);
}

} // namespace dragonflytray
