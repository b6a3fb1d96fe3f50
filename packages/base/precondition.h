#pragma once

// Checks of preconditions and invariants. They stay on in every build: a broken invariant must end
// the process, since a scheduler that goes on from an impossible state may run work twice.
//
// Example:
//
//     require(options.capacity > 0, "BoundedRing: capacity must be positive");

#include <source_location>

namespace dragonflytray {

// fail() prints `message` with its place to standard error and aborts. Thread-safe.
[[noreturn]] void fail(const char* message, std::source_location place = std::source_location::current());

// require() calls fail() unless `condition` holds. Costs one branch.
inline void require(bool condition, const char* message, std::source_location place = std::source_location::current())
{
    if (!condition) [[unlikely]]
        fail(message, place);
}

} // namespace dragonflytray
