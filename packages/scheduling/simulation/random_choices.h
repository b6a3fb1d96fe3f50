#pragma once

// Random choices for tests that a seed determines.
//
// Example:
//
//     RandomChoices random(seed);
//     if (random.chance(30))
//         this->run(names, random.duration(500, 6000));

#include "scheduling/scheduling.h"
#include <random>

namespace dragonflytray {

// RandomChoices draws from one sequence of numbers. Not thread-safe.
class RandomChoices {
public:
    explicit RandomChoices(std::uint64_t seed = 0) { this->seed(seed); }

    void seed(std::uint64_t seed) { this->numbers.seed(seed); }

    // below() returns a number less than `bound`.
    std::uint64_t below(std::uint64_t bound) { return this->numbers() % bound; }

    // chance() returns true once in `oneIn` calls on average.
    bool chance(std::uint64_t oneIn) { return this->below(oneIn) == 0; }

    // duration() returns whole milliseconds between the bounds, both included.
    Duration duration(std::uint64_t minMilliseconds, std::uint64_t maxMilliseconds) { return std::chrono::milliseconds(minMilliseconds + this->below(maxMilliseconds - minMilliseconds + 1)); }

    // choose() returns one of the values.
    template <typename Value>
    const Value& choose(const std::vector<Value>& values) { return values[this->below(values.size())]; }

private:
    std::mt19937_64 numbers;
};

} // namespace dragonflytray
