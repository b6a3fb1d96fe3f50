#include "cli/cli.h"

#include "story/story.h"

#include <filesystem>
#include <iostream>
#include <sstream>

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
            render(std::cout, parseJson(response->body), context.output);
        });
    }

    void printStory(const JobStory& story)
    {
        for (const LogLine& line : story.lines())
            std::cout << line.time << "  " << line.host << "  " << line.event << "  " << line.id << "  " << line.worker << "  " << line.outcome << "  " << line.ageMilliseconds << " ms\n";
        for (const std::string& remark : story.remarks())
            std::cout << "note: " << remark << "\n";
        std::cout << "cause: " << storyCauseNames.nameOf(story.cause()) << "\n";
    }

    void addLog(CLI::App& parent, Context& context)
    {
        auto id = std::make_shared<std::string>();
        auto files = std::make_shared<std::vector<std::string>>();
        CLI::App* command = parent.add_subcommand("log", "What the logs of several hosts say about a job, and why it ended so");
        command->add_option("id", *id)->required();
        command->add_option("files", *files, "logs; standard input if none are named");
        command->callback([&context, id, files] {
            JobStory story(*id);
            if (files->empty())
                files->push_back("-");
            for (const std::string& file : *files) {
                const auto text = readInput(context, file);
                if (!text)
                    return;
                std::istringstream stream(*text);
                for (std::string line; std::getline(stream, line);)
                    story.add(std::filesystem::path(file).stem().string(), line);
            }
            printStory(story);
            if (story.lines().empty())
                context.exitCode = ExitCode::Refused;
        });
    }

} // namespace

void addExplain(CLI::App& app, Context& context)
{
    CLI::App* command = app.add_subcommand("explain", "Say why a request or a job stands where it does");
    command->require_subcommand(1);
    addOne(*command, context, "request", "/v1/requests/", "What this entry host remembers of a request");
    addOne(*command, context, "job", "/v1/jobs/", "Why a job waits, runs or ended, and since when");
    addLog(*command, context);
}

} // namespace dragonflytray
