#pragma once

// Load-balancing strategies for the choice of a runner. Baseline strategies are selected by an option, so that
// they can be compared in one program.
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

// RunnerCandidate is a runner that has a free slot in this entry host's share of its slots.
struct RunnerCandidate {
    int inFlight { 0 }; // attempts of this entry host
    int share { 1 }; // slots that this entry host may use
    double latencySeconds { 0 }; // moving average; 0: not measured
};

// RunnerChoiceKind lists the available strategies.
enum class RunnerChoiceKind {
    LatencyTwoChoices, // the lowest expected latency of two random candidates
    LatencyEightChoices, // the lowest expected latency of eight random candidates
    LatencyScan, // the lowest expected latency of all candidates
    LeastOutstanding, // the lowest ratio of attempts to share; a baseline
    RoundRobin, // a baseline
    Random, // a baseline
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

// RunnerChoice selects one of several candidates. Deterministic for a seed. Not thread-safe.
class RunnerChoice {
public:
    virtual ~RunnerChoice() = default;

    // choose() returns the index of the selected candidate, or nothing if `candidates` is empty.
    virtual std::optional<std::size_t> choose(std::span<const RunnerCandidate> candidates) = 0;
};

// makeRunnerChoice() returns a new instance of the strategy `kind`.
std::unique_ptr<RunnerChoice> makeRunnerChoice(RunnerChoiceKind kind, std::uint64_t seed);

} // namespace dragonflytray
