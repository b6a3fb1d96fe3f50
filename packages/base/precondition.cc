#include "base/precondition.h"

#include <cstdio>
#include <cstdlib>

namespace dragonflytray {

void fail(const char* message, const char* file, int line)
{
    std::fprintf(stderr, "%s:%d: check failed: %s\n", file, line, message);
    std::abort();
}

} // namespace dragonflytray
