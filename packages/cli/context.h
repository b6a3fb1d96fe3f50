#pragma once

// What every subcommand shares: the entry host, the form of output and the exit code.

#include "base/base.h"
#include <string>

namespace dragonflytray {

// ExitCode is documented in docs/OPERATORS.md.
enum class ExitCode {
    Done,
    Refused, // the system said no; nothing was changed or run
    Faulty, // the input has findings
    Unreachable, // no entry host answered
    Unknown, // it may have taken effect
};

inline constexpr NameTable exitCodeNames { std::to_array<NameEntry<ExitCode>>({
    { ExitCode::Done, "done" },
    { ExitCode::Refused, "refused" },
    { ExitCode::Faulty, "faulty" },
    { ExitCode::Unreachable, "unreachable" },
    { ExitCode::Unknown, "unknown" },
}) };
static_assert(exitCodeNames.isWhole(ExitCode::Unknown));

// OutputForm is how results are printed.
enum class OutputForm {
    Table,
    Json,
    Yaml,
};

inline constexpr NameTable outputFormNames { std::to_array<NameEntry<OutputForm>>({
    { OutputForm::Table, "table" },
    { OutputForm::Json, "json" },
    { OutputForm::Yaml, "yaml" },
}) };
static_assert(outputFormNames.isWhole(OutputForm::Yaml));

// Context is filled by the parser before a subcommand runs.
struct Context {
    std::string host { "127.0.0.1:8080" }; // address and port of an entry host
    OutputForm output { OutputForm::Table };
    Duration timeout { std::chrono::seconds(10) };
    ExitCode exitCode { ExitCode::Done };
};

} // namespace dragonflytray
