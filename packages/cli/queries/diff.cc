#include "cli/cli.h"

#include <iostream>
#include <set>
#include <sstream>

namespace dragonflytray {

namespace {

    std::vector<std::string> linesOf(const std::string& text)
    {
        std::vector<std::string> lines;
        std::istringstream stream(text);
        for (std::string line; std::getline(stream, line);)
            lines.push_back(line);
        return lines;
    }

    void printMissing(const std::vector<std::string>& lines, const std::vector<std::string>& others, char mark)
    {
        const std::multiset<std::string> present(others.begin(), others.end());
        for (const std::string& line : lines) {
            if (!present.contains(line))
                std::cout << mark << ' ' << line << '\n';
        }
    }

} // namespace

void addDiff(CLI::App& app, Context& context)
{
    auto file = std::make_shared<std::string>();
    CLI::App* command = app.add_subcommand("diff", "Show the lines that an apply of the file would change");
    command->add_option("file", *file, "the file, or - for standard input")->required();
    command->callback([&context, file] {
        auto text = readInput(context, *file);
        if (!text)
            return;
        auto response = exchange(context, { .target = "/v1/configuration", .headers = {}, .body = {} });
        if (!response)
            return;
        const auto body = nlohmann::json::parse(response->body, nullptr, false);
        const auto before = linesOf(body.is_object() ? body.value("text", "") : "");
        const auto after = linesOf(*text);
        printMissing(before, after, '-');
        printMissing(after, before, '+');
    });
}

} // namespace dragonflytray
