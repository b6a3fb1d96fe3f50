#include "cli/cli.h"

#include "declarations/declarations.h"
#include <iostream>

namespace dragonflytray {

namespace {

    // parseOrExplain() is the declaration of `text`, or nothing once its findings are printed.
    std::optional<Declaration> parseOrExplain(Context& context, const std::string& text, const std::string& file)
    {
        auto declaration = parseDeclaration(text, file);
        if (declaration)
            return std::move(*declaration);
        std::cerr << declaration.error().text();
        context.exitCode = ExitCode::Faulty;
        return std::nullopt;
    }

    void run(Context& context, const std::string& file)
    {
        auto text = readInput(context, file);
        if (!text)
            return;
        auto response = exchange(context, { .target = "/v1/configuration", .headers = {}, .body = {} });
        if (!response)
            return;
        const auto body = parseJson(response->body);
        const std::string inForce = fieldOr<std::string>(body, "text", "");
        const auto after = parseOrExplain(context, *text, file);
        const auto before = inForce.empty() ? std::optional(Declaration {}) : parseOrExplain(context, inForce, "in force");
        if (!before || !after)
            return;
        for (const DeclarationChange& change : diffDeclarations(*before, *after))
            std::cout << describeChange(change) << '\n';
    }

} // namespace

void addDiff(CLI::App& app, Context& context)
{
    auto file = std::make_shared<std::string>();
    CLI::App* command = app.add_subcommand("diff", "Show what an apply of the file would change");
    command->add_option("file", *file, "the file, or - for standard input")->required();
    command->callback([&context, file] { run(context, *file); });
}

} // namespace dragonflytray
