#include "cli/cli.h"

#include <iostream>

namespace dragonflytray {

namespace {

    struct SubmitOptions {
        std::string id;
        std::string team;
        std::string batchClass;
        std::string priority { "normal" };
        std::string payload;
        double processors { 0 };
        double memoryGigabytes { 0 };
        int accelerators { 0 };
        double runSeconds { 0 };
    };

    bool isUtf8(const std::string& text)
    {
        return parseJson(serializeJson(text)) == text;
    }

    void run(Context& context, const SubmitOptions& options)
    {
        for (const std::string& text : { options.id, options.team, options.batchClass, options.priority, options.payload }) {
            if (!isUtf8(text)) {
                std::cerr << "the argument " << serializeJson(text) << " is not UTF-8\n";
                context.exitCode = ExitCode::Faulty;
                return;
            }
        }
        const nlohmann::json body {
            { "id", options.id },
            { "team", options.team },
            { "batchClass", options.batchClass },
            { "priority", options.priority },
            { "payload", options.payload },
            { "processors", options.processors },
            { "memoryGigabytes", options.memoryGigabytes },
            { "accelerators", options.accelerators },
            { "runSeconds", options.runSeconds },
        };
        auto response = exchange(context, { .method = HttpMethod::Post, .target = "/v1/jobs", .headers = {}, .body = serializeJson(body) });
        if (!response)
            return;
        context.exitCode = exitCodeOf(response->status);
        render(std::cout, parseJson(response->body), context.output);
    }

} // namespace

void addSubmit(CLI::App& app, Context& context)
{
    auto options = std::make_shared<SubmitOptions>();
    CLI::App* command = app.add_subcommand("submit", "Submit a job; accepted means recorded");
    command->add_option("id", options->id, "the job's id; a repeat with the same id is recognised")->required();
    command->add_option("--team", options->team)->required();
    command->add_option("--class", options->batchClass, "the batch class")->required();
    command->add_option("--priority", options->priority, "urgent, normal or low");
    command->add_option("--payload", options->payload);
    command->add_option("--processors", options->processors, "cores; by default the class's");
    command->add_option("--memory", options->memoryGigabytes, "gigabytes; by default the class's");
    command->add_option("--accelerators", options->accelerators);
    command->add_option("--run-seconds", options->runSeconds, "expected run time; by default the class's");
    command->callback([&context, options] { run(context, *options); });
}

} // namespace dragonflytray
