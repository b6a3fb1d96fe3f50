#include "cli/cli.h"

#include <iostream>

namespace dragonflytray {

namespace {

    // statusPaths are the parts that one status puts together.
    constexpr std::array<std::string_view, 3> statusPaths { "/v1/status", "/v1/status/requests", "/v1/status/batch" };

} // namespace

void addStatus(CLI::App& app, Context& context)
{
    app.add_subcommand("status", "Show what one entry host sees")->callback([&context] {
        nlohmann::json whole = nlohmann::json::object();
        for (std::string_view path : statusPaths) {
            auto response = exchange(context, { .target = std::string(path), .headers = {}, .body = {} });
            if (!response)
                return;
            const auto body = parseJson(response->body);
            if (body.is_object())
                whole[std::string(path.substr(path.rfind('/') + 1))] = body;
        }
        if (context.output != OutputForm::Table)
            return render(std::cout, whole, context.output);
        for (const auto& [name, part] : whole.items()) {
            std::cout << "== " << name << "\n";
            render(std::cout, part, context.output);
        }
    });
}

} // namespace dragonflytray
