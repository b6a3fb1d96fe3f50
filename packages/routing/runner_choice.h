#pragma once

// Strategies for the choice of a runner. The baselines run in the same program as the real one.
//
// Example:
//
//     auto choice = makeRunnerChoice(RunnerChoiceKind::LeastOutstanding, seed);
//     std::optional<std::size_t> chosen = choice->choose(candidates);

#include "model/model.h"
#include <memory>
#include <optional>
#include <span>

namespace dragonflytray {

// RunnerCandidate is a runner with a free slot of this entry host's share.
struct RunnerCandidate {
    int inFlight { 0 };
    int share { 1 };
    double latencySeconds { 0 }; // smoothed; 0: not measured
};

// RunnerChoiceKind names the strategies.
enum class RunnerChoiceKind {
    LatencyTwoChoices, // the better of two drawn at random, by answer time and load
    LatencyEightChoices, // the best of eight drawn at random, by answer time and load
    LatencyScan, // the best of all, by answer time and load
    LeastOutstanding,
    RoundRobin,
    Random,
};

inline constexpr NameTable runnerChoiceNames { std::to_array<NameEntry<RunnerChoiceKind>>({
    { RunnerChoiceKind::LatencyTwoChoices, "latency-two-choices" },
    { RunnerChoiceKind::LatencyEightChoices, "latency-eight-choices" },
    { RunnerChoiceKind::LatencyScan, "latency-scan" },
    { RunnerChoiceKind::LeastOutstanding, "least-outstanding" },
    { RunnerChoiceKind::RoundRobin, "round-robin" },
    { RunnerChoiceKind::Random, "random" },
}) };
static_assert(runnerChoiceNames.isWhole(RunnerChoiceKind::Random));

// RunnerChoice picks one of the candidates. Deterministic for a seed. Not thread-safe.
class RunnerChoice {
public:
    virtual ~RunnerChoice() = default;

    // choose() is the index of the chosen candidate, or nothing when there is none.
    virtual std::optional<std::size_t> choose(std::span<const RunnerCandidate> candidates) = 0;
};

// makeRunnerChoice() makes the strategy that `kind` names.
std::unique_ptr<RunnerChoice> makeRunnerChoice(RunnerChoiceKind kind, std::uint64_t seed);

} // namespace dragonflytray
