#pragma once

// One line of a decision log.

#include "base/base.h"
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace dragonflytray {

// LogLine is one line as a host wrote it. Fields that the line doesn't have are empty.
struct LogLine {
    std::string host;
    std::string time; // ISO 8601 with milliseconds, in UTC; orders as text
    std::string event;
    std::string id;
    std::string worker;
    std::string outcome;
    long ageMilliseconds { 0 };
};

// LineFault says why a line can't be used.
enum class LineFault {
    NoObject, // no JSON object in it
    Cut, // the object doesn't end
    NoTime,
};

inline constexpr NameTable lineFaultNames { std::to_array<NameEntry<LineFault>>({
    { LineFault::NoObject, "no-object" },
    { LineFault::Cut, "cut" },
    { LineFault::NoTime, "no-time" },
}) };
static_assert(lineFaultNames.isWhole(LineFault::NoTime));

// parseLogLine() reads one line. A word before the object, as collectors of logs write it, names the host; otherwise it
// is `host`. Linear in the text.
tl::expected<LogLine, LineFault> parseLogLine(const std::string& host, std::string_view text);

} // namespace dragonflytray
