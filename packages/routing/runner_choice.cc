#include "routing/runner_choice.h"

#include <random>

namespace dragonflytray {

namespace {

    constexpr double minLatencySeconds = 0.001; // added to each latency, so that load matters between unmeasured runners

    // expectedLatencySeconds() estimates the latency of one more attempt on the runner.
    double expectedLatencySeconds(const RunnerCandidate& candidate)
    {
        return (candidate.latencySeconds + minLatencySeconds) * (candidate.inFlight + 1);
    }

    double loadOf(const RunnerCandidate& candidate)
    {
        return static_cast<double>(candidate.inFlight) / candidate.share;
    }

    // ScanChoice selects the candidate with the lowest `Cost`, at random among equals.
    template <double (*Cost)(const RunnerCandidate&)>
    class ScanChoice : public RunnerChoice {
    public:
        explicit ScanChoice(std::uint64_t seed)
            : random(seed)
        {
        }

        std::optional<std::size_t> choose(std::span<const RunnerCandidate> candidates) override
        {
            std::optional<std::size_t> best;
            double bestCost = 0;
            std::size_t ties = 0;
            for (std::size_t i = 0; i < candidates.size(); ++i) {
                const double cost = Cost(candidates[i]);
                if (best && cost > bestCost)
                    continue;
                ties = best && cost == bestCost ? ties + 1 : 1;
                if (ties > 1 && this->random() % ties != 0)
                    continue;
                best = i;
                bestCost = cost;
            }
            return best;
        }

    private:
        std::mt19937_64 random;
    };

    using LatencyScan = ScanChoice<&expectedLatencySeconds>;
    using LeastOutstanding = ScanChoice<&loadOf>;

    // SampledLatencyChoice selects the lowest expected latency of `SampleSize` random candidates, drawn with
    // replacement.
    template <int SampleSize>
    class SampledLatencyChoice : public RunnerChoice {
    public:
        explicit SampledLatencyChoice(std::uint64_t seed)
            : random(seed)
        {
        }

        std::optional<std::size_t> choose(std::span<const RunnerCandidate> candidates) override
        {
            if (candidates.empty())
                return std::nullopt;
            std::size_t best = this->random() % candidates.size();
            for (int draw = 1; draw < SampleSize; ++draw) {
                const std::size_t other = this->random() % candidates.size();
                if (expectedLatencySeconds(candidates[other]) < expectedLatencySeconds(candidates[best]))
                    best = other;
            }
            return best;
        }

    private:
        std::mt19937_64 random;
    };

    using LatencyTwoChoices = SampledLatencyChoice<2>;
    using LatencyEightChoices = SampledLatencyChoice<8>;

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
    // In the order of RunnerChoiceKind.
    constexpr std::array<Factory, runnerChoiceNames.size()> factories { &make<LatencyTwoChoices>, &make<LatencyEightChoices>, &make<LatencyScan>, &make<LeastOutstanding>, &make<RoundRobin>, &make<Random> };

} // namespace

std::unique_ptr<RunnerChoice> makeRunnerChoice(RunnerChoiceKind kind, std::uint64_t seed)
{
    return factories[indexOf(kind)](seed);
}

} // namespace dragonflytray
