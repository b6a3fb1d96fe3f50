#pragma once

// Time as decisions see it: a clock that goes on while the host is suspended, so that a pause
// shows as a jump. Instants of two hosts are never compared; only durations travel.
//
// Example:
//
//     Instant start = BootClock::now();
//     Instant deadline = start + std::chrono::milliseconds(250);

#include <chrono>

namespace dragonflytray {

// Duration is a signed span of time in nanoseconds.
using Duration = std::chrono::nanoseconds;

// BootClock reads the boot-time clock of this host. Thread-safe; one system call.
struct BootClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<BootClock, Duration>;
    static constexpr bool is_steady = true;

    // now() is the time since this host booted, suspension included.
    static time_point now();
};

// Instant is a moment on this host's boot-time clock.
using Instant = BootClock::time_point;

// toMilliseconds() rounds `duration` down to whole milliseconds.
constexpr long long toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// toSeconds() is `duration` in seconds, fraction included.
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace dragonflytray
