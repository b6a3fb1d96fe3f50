#include "cli/cli.h"

#include <iostream>

namespace dragonflytray {

namespace {

    constexpr Duration silenceLimit = std::chrono::seconds(60);

    struct WatchOptions {
        std::string service;
        std::string team;
        std::string cursor;
        long long messages { 0 }; // 0: until the stream ends
    };

    void run(Context& context, const WatchOptions& options)
    {
        auto endpoint = parseEndpoint(context.host);
        if (!endpoint) {
            context.exitCode = ExitCode::Faulty;
            return;
        }
        IoLoop loop;
        HttpClient client(loop, {});
        long long seen = 0;
        HttpClient::StreamHandlers handlers;
        handlers.onPart = [&](const std::string& part) {
            std::cout << part << std::flush;
            seen += std::count(part.begin(), part.end(), '\n');
            return options.messages == 0 || seen < options.messages;
        };
        handlers.onEnd = [&](const tl::expected<HttpResponse, SendFailure>& end) {
            context.exitCode = end ? exitCodeOf(end->status) : ExitCode::Unreachable;
            loop.stop();
        };
        HttpRequest request { .target = "/v1/services/" + percentEncode(options.service) + "/watch?cursor=" + percentEncode(options.cursor), .headers = { { "Team", options.team } }, .body = {} };
        client.stream(*endpoint, std::move(request), silenceLimit, std::move(handlers));
        loop.run();
    }

} // namespace

void addWatch(CLI::App& app, Context& context)
{
    auto options = std::make_shared<WatchOptions>();
    CLI::App* command = app.add_subcommand("watch", "Print the messages of a service as they come");
    command->add_option("service", options->service)->required();
    command->add_option("--team", options->team)->required();
    command->add_option("--cursor", options->cursor, "resume after this message");
    command->add_option("--messages", options->messages, "end after this many; 0 never ends");
    command->callback([&context, options] { run(context, *options); });
}

} // namespace dragonflytray
