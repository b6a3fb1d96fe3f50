#include "cli/cli.h"

#include <iostream>

namespace dragonflytray {

void addCancel(CLI::App& app, Context& context)
{
    auto job = std::make_shared<std::string>();
    CLI::App* command = app.add_subcommand("cancel", "End a job");
    command->add_option("job", *job, "the job's id")->required();
    command->callback([&context, job] {
        auto response = exchange(context, { .method = HttpMethod::Delete, .target = "/v1/jobs/" + percentEncode(*job), .headers = {}, .body = {} });
        if (!response)
            return;
        context.exitCode = exitCodeOf(response->status);
        render(std::cout, parseJson(response->body), context.output);
    });
}

} // namespace dragonflytray
