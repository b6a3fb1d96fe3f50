// runner_standin: one or more runners of a service in one process, registered with the platform.

#include "testing/standin_main.h"
#include "testing/testing.h"
#include <CLI/CLI.hpp>
#include <iostream>
#include <list>

int main(int argc, char** argv)
{
    using namespace dragonflytray;
    CLI::App app("Stand-ins for the runners of one service.");
    std::string endpointsFile;
    std::string platform;
    std::string dataCentre;
    std::string service;
    std::string prefix = "runner";
    int count = 1;
    int slots = 8;
    long long serviceTime = 20;
    bool hasNoGuards = false;
    app.add_option("--endpoints-file", endpointsFile)->required();
    app.add_option("--platform", platform)->required();
    app.add_option("--data-centre", dataCentre)->required();
    app.add_option("--service", service)->required();
    app.add_option("--prefix", prefix, "names are DATA-CENTRE-PREFIX-NUMBER");
    app.add_option("--count", count);
    app.add_option("--slots", slots);
    app.add_option("--service-time", serviceTime, "milliseconds");
    app.add_flag("--no-guards", hasNoGuards, "run what is over the slots, too");
    CLI11_PARSE(app, argc, argv);
    IoLoop loop;
    std::list<RunnerStandin> runners;
    std::vector<std::string> lines;
    for (int i = 1; i <= count; ++i) {
        std::string name = dataCentre;
        name.append("-").append(prefix).append("-").append(std::to_string(i));
        runners.emplace_back(loop, RunnerStandin::Options { .endpoint = { "127.0.0.1", 0 }, .name = name, .slots = slots, .hasGuards = !hasNoGuards, .serviceTime = std::chrono::milliseconds(serviceTime) });
        auto bound = runners.back().start();
        Host host;
        host.name = HostName(name);
        host.kind = HostKind::Runner;
        host.dataCentre = DataCentreName(dataCentre);
        host.service = ServiceName(service);
        host.worker = HostName(dataCentre + "-worker-" + std::to_string(i));
        host.slots = slots;
        host.connections = 64;
        host.endpoint = bound.value_or(Endpoint {});
        if (!bound || !registerHost(parseEndpoint(platform).value_or(Endpoint {}), host)) {
            std::cerr << name << " cannot start\n";
            return 1;
        }
        lines.push_back(name + "=" + formatEndpoint(*bound));
    }
    writeEndpointLines(endpointsFile, lines);
    runUntilTerminated(loop);
    return 0;
}
