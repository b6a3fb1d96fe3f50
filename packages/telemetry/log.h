#pragma once

// Logs: short sentences, each behind the fixed prefix of the part that speaks.
//
// Example:
//
//     startLogging({ .level = LogLevel::Info, .format = LogFormat::Text });
//     logInfo(LogPart::Batch, "This host leads data centre rs-poa at epoch 3.");

#include "base/base.h"
#include <string>
#include <string_view>
#include <vector>

namespace dragonflytray {

// LogPart is the part of the daemon that speaks; its name is the prefix.
enum class LogPart {
    Daemon,
    Callers,
    Routing,
    Runners,
    Batch,
    Workers,
    Membership,
    Platform,
    Peers,
    Telemetry,
    Scheduling,
    Store,
};

inline constexpr NameTable logPartNames { std::to_array<NameEntry<LogPart>>({
    { LogPart::Daemon, "daemon" },
    { LogPart::Callers, "callers" },
    { LogPart::Routing, "routing" },
    { LogPart::Runners, "runners" },
    { LogPart::Batch, "batch" },
    { LogPart::Workers, "workers" },
    { LogPart::Membership, "membership" },
    { LogPart::Platform, "platform" },
    { LogPart::Peers, "peers" },
    { LogPart::Telemetry, "telemetry" },
    { LogPart::Scheduling, "scheduling" },
    { LogPart::Store, "store" },
}) };
static_assert(logPartNames.isWhole(LogPart::Store));

// LogLevel orders messages from the most to the least urgent.
enum class LogLevel {
    Error,
    Warning,
    Info,
    Debug,
};

inline constexpr NameTable logLevelNames { std::to_array<NameEntry<LogLevel>>({
    { LogLevel::Error, "error" },
    { LogLevel::Warning, "warning" },
    { LogLevel::Info, "info" },
    { LogLevel::Debug, "debug" },
}) };
static_assert(logLevelNames.isWhole(LogLevel::Debug));

// LogFormat is how a line looks.
enum class LogFormat {
    Text,
    Json,
};

inline constexpr NameTable logFormatNames { std::to_array<NameEntry<LogFormat>>({
    { LogFormat::Text, "text" },
    { LogFormat::Json, "json" },
}) };
static_assert(logFormatNames.isWhole(LogFormat::Json));

// LogOptions chooses what is written.
struct LogOptions {
    LogLevel level { LogLevel::Info };
    LogFormat format { LogFormat::Text };
};

// startLogging() sets the process up to log to standard output. Call it once, before the first thread.
void startLogging(LogOptions options);

// setLogLevel() changes what is written from now on. Thread-safe.
void setLogLevel(LogLevel level);

// LogField is one named value of a structured line.
struct LogField {
    std::string_view name;
    std::string value;
};

// logFields() writes one line about an event with its fields, at level info; empty values are left out.
// Thread-safe.
void logFields(LogPart part, std::string_view event, const std::vector<LogField>& fields);

// The log functions write one line when the level is on. Thread-safe.
void logError(LogPart part, const std::string& sentence);
void logWarning(LogPart part, const std::string& sentence);
void logInfo(LogPart part, const std::string& sentence);
void logDebug(LogPart part, const std::string& sentence);

} // namespace dragonflytray
