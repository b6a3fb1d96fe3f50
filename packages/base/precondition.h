#pragma once

// Checks of preconditions and invariants. They are enabled in every build: a violated invariant must end
// the process, because a scheduler that continues from an invalid state may run a task twice.
//
// Example:
//
//     require(options.capacity > 0, "BoundedRing: capacity must be positive");

namespace dragonflytray {

// fail() prints `message` with the source location to standard error and aborts the process. Thread-safe.
[[noreturn]] void fail(const char* message, const char* file = __builtin_FILE(), int line = __builtin_LINE());

// require() calls fail() unless `condition` is true. Thread-safe; costs one branch.
inline void require(bool condition, const char* message, const char* file = __builtin_FILE(), int line = __builtin_LINE())
{
    if (!condition) [[unlikely]]
        fail(message, file, line);
}

} // namespace dragonflytray
