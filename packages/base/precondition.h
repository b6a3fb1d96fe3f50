#pragma once

// Checks of preconditions and invariants. They stay on in every build: a broken invariant must end
// the process, since a scheduler that goes on from an impossible state may run work twice.
//
// Example:
//
//     require(options.capacity > 0, "BoundedRing: capacity must be positive");

namespace dragonflytray {

// fail() prints `message` with its place to standard error and aborts. Thread-safe.
[[noreturn]] void fail(const char* message, const char* file = __builtin_FILE(), int line = __builtin_LINE());

// require() calls fail() unless `condition` holds. Costs one branch.
inline void require(bool condition, const char* message, const char* file = __builtin_FILE(), int line = __builtin_LINE())
{
    if (!condition) [[unlikely]]
        fail(message, file, line);
}

} // namespace dragonflytray
