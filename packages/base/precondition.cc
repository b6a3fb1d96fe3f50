#include "base/precondition.h"

#include <cstdio>
#include <cstdlib>

namespace dragonflytray {

void fail(const char* message, std::source_location place)
{
    std::fprintf(stderr, "%s:%u: check failed: %s\n", place.file_name(), static_cast<unsigned>(place.line()), message);
    std::abort();
}

} // namespace dragonflytray
