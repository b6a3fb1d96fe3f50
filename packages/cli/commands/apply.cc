#include "cli/cli.h"

#include <iostream>

namespace dragonflytray {

namespace {

    struct ApplyOptions {
        std::string file;
        std::optional<std::uint64_t> base;
    };

    // versionInForce() asks for the version on which an apply without --base is based.
    std::optional<std::uint64_t> versionInForce(Context& context)
    {
        auto response = exchange(context, { .target = "/v1/status", .headers = {}, .body = {} });
        if (!response)
            return std::nullopt;
        const auto body = parseJson(response->body);
        return fieldOr<std::uint64_t>(body, "version", 0);
    }

    void printFindings(const nlohmann::json& findings)
    {
        for (const auto& finding : findings) {
            const std::string hint = fieldOr<std::string>(finding, "hint", "");
            std::cerr << formatPlace({ fieldOr<std::string>(finding, "file", ""), fieldOr(finding, "line", 0), fieldOr(finding, "column", 0) }) << ": " << fieldOr<std::string>(finding, "message", "") << (hint.empty() ? "" : " (" + hint + ")") << '\n';
        }
    }

    void run(Context& context, const ApplyOptions& options)
    {
        auto text = readInput(context, options.file);
        if (!text)
            return;
        const auto base = options.base ? options.base : versionInForce(context);
        if (!base)
            return;
        auto response = exchange(context, { .method = HttpMethod::Post, .target = "/v1/configuration?base=" + std::to_string(*base) + "&file=" + percentEncode(options.file), .headers = {}, .body = *text });
        if (!response)
            return;
        context.exitCode = exitCodeOf(response->status);
        auto body = parseJson(response->body);
        if (body.is_object() && body.contains("findings")) {
            printFindings(body["findings"]);
            body.erase("findings");
        }
        if (body.is_object() && body.contains("changes") && context.output == OutputForm::Table) {
            for (const auto& change : body["changes"])
                std::cerr << "your file over the version in force: " << fieldOr<std::string>(change, "kind", "") << " " << fieldOr<std::string>(change, "path", "") << ": " << fieldOr<std::string>(change, "before", "") << " -> " << fieldOr<std::string>(change, "after", "") << '\n';
            body.erase("changes");
        }
        render(std::cout, body, context.output);
    }

} // namespace

void addApply(CLI::App& app, Context& context)
{
    auto options = std::make_shared<ApplyOptions>();
    CLI::App* command = app.add_subcommand("apply", "Put a declaration file in force as a whole");
    command->add_option("file", options->file, "the file, or - for standard input")->required();
    command->add_option("--base", options->base, "the version that the file is based on; by default the one in force");
    command->callback([&context, options] { run(context, *options); });
}

} // namespace dragonflytray
