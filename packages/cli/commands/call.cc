#include "cli/cli.h"

#include <iostream>

namespace dragonflytray {

namespace {

    struct CallOptions {
        std::string service;
        std::string team;
        std::string id;
        std::string body;
        std::string priority { "normal" };
        std::string idempotency { "non-idempotent" };
        long long deadline { 2000 }; // milliseconds
    };

    void run(Context& context, const CallOptions& options)
    {
        HttpRequest request { .method = HttpMethod::Post, .target = "/v1/services/" + percentEncode(options.service) + "/requests", .headers = {}, .body = options.body };
        request.headers = {
            { "Request-Id", options.id },
            { "Team", options.team },
            { "Priority", options.priority },
            { "Idempotency", options.idempotency },
            { "Deadline-Milliseconds", std::to_string(options.deadline) },
        };
        auto response = exchange(context, std::move(request));
        if (!response)
            return;
        context.exitCode = exitCodeOf(response->status);
        (context.exitCode == ExitCode::Done ? std::cout : std::cerr) << response->body << '\n';
    }

} // namespace

void addCall(CLI::App& app, Context& context)
{
    auto options = std::make_shared<CallOptions>();
    CLI::App* command = app.add_subcommand("call", "Send one request to a service and print the answer");
    command->add_option("service", options->service)->required();
    command->add_option("body", options->body);
    command->add_option("--team", options->team)->required();
    command->add_option("--id", options->id, "the request id; a repeat with the same id is recognised")->required();
    command->add_option("--priority", options->priority, "urgent, normal or low");
    command->add_option("--idempotency", options->idempotency, "idempotent or non-idempotent");
    command->add_option("--deadline", options->deadline, "milliseconds")->check(CLI::PositiveNumber);
    command->callback([&context, options] { run(context, *options); });
}

} // namespace dragonflytray
