#include "base/boot_clock.h"

#include <ctime>

namespace dragonflytray {

Instant BootClock::now()
{
    timespec reading {};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return Instant(std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec));
}

} // namespace dragonflytray
