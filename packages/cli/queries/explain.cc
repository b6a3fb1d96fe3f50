#include "cli/cli.h"

#include <iostream>

namespace dragonflytray {

namespace {

    void addOne(CLI::App& parent, Context& context, const std::string& name, const std::string& path, const std::string& help)
    {
        auto id = std::make_shared<std::string>();
        CLI::App* command = parent.add_subcommand(name, help);
        command->add_option("id", *id)->required();
        command->callback([&context, id, path] {
            auto response = exchange(context, { .target = path + percentEncode(*id), .headers = {}, .body = {} });
            if (!response)
                return;
            context.exitCode = exitCodeOf(response->status);
            render(std::cout, nlohmann::json::parse(response->body, nullptr, false), context.output);
        });
    }

} // namespace

void addExplain(CLI::App& app, Context& context)
{
    CLI::App* command = app.add_subcommand("explain", "Say why a request or a job stands where it does");
    command->require_subcommand(1);
    addOne(*command, context, "request", "/v1/requests/", "What this entry host remembers of a request");
    addOne(*command, context, "job", "/v1/jobs/", "Why a job waits, runs or ended, and since when");
}

} // namespace dragonflytray
