#pragma once

// One exchange with an entry host.

#include "cli/context.h"
#include "transport/transport.h"
#include <optional>

namespace dragonflytray {

// exchange() sends `request` to the context's entry host. Without an answer it says why on standard
// error, sets the exit code and returns nothing.
std::optional<HttpResponse> exchange(Context& context, HttpRequest request);

// readInput() is the content of a file, or of standard input for `-`; on failure as above.
std::optional<std::string> readInput(Context& context, const std::string& path);

// exitCodeOf() is the exit code that an HTTP status amounts to.
ExitCode exitCodeOf(unsigned status);

} // namespace dragonflytray
