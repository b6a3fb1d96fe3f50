#include "cli/cli.h"

#include "load/load.h"
#include <iostream>

namespace dragonflytray {

namespace {

    struct BenchOptions {
        std::vector<std::string> hosts;
        std::string runner;
        std::vector<std::string> streams;
        std::uint64_t seed { 1 };
    };

    void run(Context& context, const BenchOptions& options)
    {
        Findings findings;
        LoadOptions load { .entryHosts = {}, .runner = parseEndpoint(options.runner).value_or(Endpoint {}), .streams = {}, .seed = options.seed };
        const std::vector<std::string> hosts = options.hosts.empty() ? std::vector<std::string> { context.host } : options.hosts;
        for (const std::string& host : hosts) {
            if (auto endpoint = parseEndpoint(host))
                load.entryHosts.push_back(*endpoint);
            else
                findings.add({ .file = "--entry-host" }, "`" + host + "` is not an IP address and a port");
        }
        for (const std::string& stream : options.streams)
            load.streams.push_back(parseLoadStream(stream, findings));
        if (!findings.isEmpty()) {
            std::cerr << findings.text();
            context.exitCode = ExitCode::Faulty;
            return;
        }
        const LoadReport report = runLoad(load);
        if (context.output == OutputForm::Table)
            std::cout << report.text();
        else
            render(std::cout, report.json(), context.output);
    }

} // namespace

void addBench(CLI::App& app, Context& context)
{
    auto options = std::make_shared<BenchOptions>();
    CLI::App* command = app.add_subcommand("bench", "Send open-loop load and report latencies, goodput and refusals");
    command->add_option("--entry-host", options->hosts, "entry hosts, taken in turn; by default --host");
    command->add_option("--runner", options->runner, "a runner, for streams with target=runner");
    command->add_option("--stream", options->streams, "name=N,team=T,service=S,priority=P,idempotency=I,rate=R,from=S,seconds=S,deadline=S,target=entry-hosts|runner")->required();
    command->add_option("--seed", options->seed);
    command->callback([&context, options] { run(context, *options); });
}

} // namespace dragonflytray
