#include "cli/cli.h"

#include <iostream>

namespace dragonflytray {

namespace {

    void showJobs(Context& context, const std::string& state)
    {
        const std::string query = state.empty() ? "" : "?state=" + percentEncode(state);
        auto response = exchange(context, { .target = "/v1/jobs" + query, .headers = {}, .body = {} });
        if (!response)
            return;
        context.exitCode = exitCodeOf(response->status);
        const auto body = parseJson(response->body);
        render(std::cout, body.is_object() && body.contains("jobs") ? body["jobs"] : body, context.output);
    }

    void showConfiguration(Context& context, std::uint64_t version)
    {
        auto response = exchange(context, { .target = "/v1/configuration?version=" + std::to_string(version), .headers = {}, .body = {} });
        if (!response)
            return;
        context.exitCode = exitCodeOf(response->status);
        const auto body = parseJson(response->body);
        if (context.output != OutputForm::Table || !body.is_object() || context.exitCode != ExitCode::Done)
            return render(std::cout, body, context.output);
        std::cout << "# version " << fieldOr<std::uint64_t>(body, "version", 0) << "\n"
                  << fieldOr<std::string>(body, "text", "");
    }

} // namespace

void addShow(CLI::App& app, Context& context)
{
    CLI::App* command = app.add_subcommand("show", "Show jobs or the configuration");
    command->require_subcommand(1);
    auto state = std::make_shared<std::string>();
    CLI::App* jobs = command->add_subcommand("jobs", "The jobs of every data centre");
    jobs->add_option("--state", *state, "only the jobs in this state");
    jobs->callback([&context, state] { showJobs(context, *state); });
    auto version = std::make_shared<std::uint64_t>(0);
    CLI::App* configuration = command->add_subcommand("configuration", "The declaration in force, or an earlier one");
    configuration->add_option("--version", *version, "one of the last 16 versions; 0 is the one in force");
    configuration->callback([&context, version] { showConfiguration(context, *version); });
}

} // namespace dragonflytray
