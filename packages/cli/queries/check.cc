#include "cli/cli.h"

#include "declarations/declarations.h"
#include <iostream>

namespace dragonflytray {

void addCheck(CLI::App& app, Context& context)
{
    auto file = std::make_shared<std::string>();
    CLI::App* command = app.add_subcommand("check", "Check a declaration file without an entry host");
    command->add_option("file", *file, "the file, or - for standard input")->required();
    command->callback([&context, file] {
        auto text = readInput(context, *file);
        if (!text)
            return;
        auto declaration = parseDeclaration(*text, *file);
        if (declaration) {
            std::cout << *file << ": no findings\n";
            return;
        }
        std::cerr << declaration.error().text();
        context.exitCode = ExitCode::Faulty;
    });
}

} // namespace dragonflytray
