#pragma once

// Latency histograms with fixed, cumulative buckets, the form in which metrics are exported.
//
// Example:
//
//     LatencyHistogram histogram;
//     histogram.record(std::chrono::milliseconds(7));

#include "base/boot_clock.h"
#include <algorithm>
#include <array>
#include <cstdint>

namespace dragonflytray {

// latencyBoundsInSeconds are the inclusive upper bounds of the buckets; the last bucket has no bound.
inline constexpr std::array latencyBoundsInSeconds { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0 };

// LatencyHistogram counts samples in cumulative buckets: each bucket counts the samples up to its bound, and
// the last one counts all samples. Not thread-safe.
struct LatencyHistogram {
    std::array<std::uint64_t, latencyBoundsInSeconds.size() + 1> cumulative {};
    double sumSeconds { 0 };

    // record() adds one sample. Linear in the number of buckets.
    void record(Duration sample)
    {
        const double seconds = toSeconds(sample);
        this->sumSeconds += seconds;
        const auto* bound = std::lower_bound(latencyBoundsInSeconds.begin(), latencyBoundsInSeconds.end(), seconds);
        for (auto i = static_cast<std::size_t>(bound - latencyBoundsInSeconds.begin()); i < this->cumulative.size(); ++i)
            ++this->cumulative[i];
    }

    // count() returns the number of samples.
    std::uint64_t count() const { return this->cumulative.back(); }
};

} // namespace dragonflytray
