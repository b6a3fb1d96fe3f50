#pragma once

// The public header of the `cli` library: the commands and queries behind `dragonflytray`. Each adds one
// subcommand to the parser and leaves its exit code in the context.
//
// Example:
//
//     CLI::App app;
//     Context context;
//     addApply(app, context);

#include "cli/connection.h"
#include "cli/context.h"
#include "cli/render.h"
#include "json/json.h"
#include <CLI/CLI.hpp>

namespace dragonflytray {

// Commands change something.
void addApply(CLI::App& app, Context& context);
void addCall(CLI::App& app, Context& context);
void addCancel(CLI::App& app, Context& context);
void addSubmit(CLI::App& app, Context& context);

// Queries change nothing.
void addBench(CLI::App& app, Context& context);
void addCheck(CLI::App& app, Context& context);
void addDiff(CLI::App& app, Context& context);
void addExplain(CLI::App& app, Context& context);
void addShow(CLI::App& app, Context& context);
void addStatus(CLI::App& app, Context& context);
void addWatch(CLI::App& app, Context& context);

} // namespace dragonflytray
