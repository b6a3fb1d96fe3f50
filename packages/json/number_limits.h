#pragma once

// The greatest values of numbers that messages and stored rows may hold; the least one is 0. Sums and products that
// decisions form of them stay within 64 bits, also in nanoseconds.
//
// Example:
//
//     if (const auto count = numberAs<std::int64_t>(json); count && *count >= 0 && *count <= maxQuantity)
//         use(*count);

#include <cstdint>

namespace dragonflytray {

inline constexpr std::int64_t maxQuantity = 1'000'000'000; // of a resource, or of things counted
inline constexpr std::int64_t maxPeriod = 30LL * 24 * 3600 * 1000; // ms
inline constexpr std::int64_t maxTime = 4'000'000'000'000; // ms; the year 2096 on the wall clock
inline constexpr std::uint64_t maxOrdinal = std::uint64_t { 1 } << 53U; // of versions and runs; larger integers are not exact in JSON
inline constexpr double maxSlackFactor = 1000;

} // namespace dragonflytray
