#pragma once

// The clock used for all decisions. It advances while the host is suspended, so that a suspension shows
// as a jump in time. Hosts exchange durations only, because instants of different hosts can't be compared.
//
// Example:
//
//     Instant start = BootClock::now();
//     Instant deadline = start + std::chrono::milliseconds(250);

#include <chrono>

namespace dragonflytray {

// Duration is a signed span of time in nanoseconds.
using Duration = std::chrono::nanoseconds;

// BootClock reads the boot-time clock of this host (CLOCK_BOOTTIME). Thread-safe; at most one system call.
struct BootClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<BootClock, Duration>;
    static constexpr bool is_steady = true;

    // now() returns the time since this host booted, including time in suspension.
    static time_point now();
};

// Instant is a point in time on the boot-time clock of this host.
using Instant = BootClock::time_point;

// toMilliseconds() converts `duration` to whole milliseconds, truncating toward zero.
constexpr long long toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// toSeconds() converts `duration` to seconds, including the fraction.
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace dragonflytray
