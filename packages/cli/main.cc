// dragonflytray: the command line of operators and callers.

#include "cli/cli.h"

namespace {

using namespace dragonflytray;

using AddSubcommand = void (*)(CLI::App&, Context&);
constexpr std::array<AddSubcommand, 11> subcommands {
    &addApply,
    &addCall,
    &addCancel,
    &addSubmit,
    &addBench,
    &addCheck,
    &addDiff,
    &addExplain,
    &addShow,
    &addStatus,
    &addWatch,
};

void addSharedOptions(CLI::App& app, Context& context)
{
    app.add_option("--host", context.host, "IP address and port of an entry host")->envname("DRAGONFLYTRAY_HOST");
    app.add_option_function<std::string>(
        "--output", [&context](const std::string& name) {
            auto form = outputFormNames.parse(name);
            if (!form)
                throw CLI::ValidationError("--output", "must be table, json or yaml");
            context.output = *form;
        },
        "table, json or yaml");
    app.add_option_function<long long>(
           "--timeout", [&context](long long milliseconds) { context.timeout = std::chrono::milliseconds(milliseconds); }, "milliseconds to wait for an answer")
        ->check(CLI::PositiveNumber);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Operates and calls dragonflytray.");
    Context context;
    addSharedOptions(app, context);
    for (AddSubcommand add : subcommands)
        add(app, context);
    app.require_subcommand(1);
    app.fallthrough();
    CLI11_PARSE(app, argc, argv);
    return static_cast<int>(context.exitCode);
}
