#include "routing/runner_choice.h"

#include <random>

namespace dragonflytray {

namespace {

    constexpr double shortestAnswerSeconds = 0.001; // so that load counts between unmeasured runners

    // expectedSeconds() is when an answer of the runner may be expected if one more is sent to it.
    double expectedSeconds(const RunnerCandidate& candidate)
    {
        return (candidate.answerSeconds + shortestAnswerSeconds) * (candidate.inFlight + 1);
    }

    double loadOf(const RunnerCandidate& candidate)
    {
        return static_cast<double>(candidate.inFlight) / candidate.share;
    }

    // Scan picks the least of all by `Rank`; ties fall at random.
    template <double (*Rank)(const RunnerCandidate&)>
    class Scan : public RunnerChoice {
    public:
        explicit Scan(std::uint64_t seed)
            : random(seed)
        {
        }

        std::optional<std::size_t> choose(std::span<const RunnerCandidate> candidates) override
        {
            std::optional<std::size_t> best;
            double bestRank = 0;
            std::size_t ties = 0;
            for (std::size_t i = 0; i < candidates.size(); ++i) {
                const double rank = Rank(candidates[i]);
                if (best && rank > bestRank)
                    continue;
                ties = best && rank == bestRank ? ties + 1 : 1;
                if (ties > 1 && this->random() % ties != 0)
                    continue;
                best = i;
                bestRank = rank;
            }
            return best;
        }

    private:
        std::mt19937_64 random;
    };

    using LatencyScan = Scan<&expectedSeconds>;
    using LeastOutstanding = Scan<&loadOf>;

    // LatencyDraws picks the best of `Draws` candidates drawn at random, with repetition.
    template <int Draws>
    class LatencyDraws : public RunnerChoice {
    public:
        explicit LatencyDraws(std::uint64_t seed)
            : random(seed)
        {
        }

        std::optional<std::size_t> choose(std::span<const RunnerCandidate> candidates) override
        {
            if (candidates.empty())
                return std::nullopt;
            std::size_t best = this->random() % candidates.size();
            for (int draw = 1; draw < Draws; ++draw) {
                const std::size_t other = this->random() % candidates.size();
                if (expectedSeconds(candidates[other]) < expectedSeconds(candidates[best]))
                    best = other;
            }
            return best;
        }

    private:
        std::mt19937_64 random;
    };

    using LatencyTwoChoices = LatencyDraws<2>;
    using LatencyEightChoices = LatencyDraws<8>;

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
    constexpr std::array<Factory, runnerChoiceNames.size()> factories { &make<LatencyTwoChoices>, &make<LatencyEightChoices>, &make<LatencyScan>, &make<LeastOutstanding>, &make<RoundRobin>, &make<Random> };

} // namespace

std::unique_ptr<RunnerChoice> makeRunnerChoice(RunnerChoiceKind kind, std::uint64_t seed)
{
    return factories[indexOf(kind)](seed);
}

} // namespace dragonflytray
