// worker_standin: one or more workers in one process, registered with the platform.

#include "testing/standin_main.h"
#include "testing/testing.h"
#include <CLI/CLI.hpp>
#include <iostream>
#include <list>

int main(int argc, char** argv)
{
    using namespace dragonflytray;
    CLI::App app("Stand-ins for the workers of one data centre.");
    std::string endpointsFile;
    std::string platform;
    std::string dataCentre;
    int count = 1;
    int workersInRack = 8;
    double processors = 64;
    double memory = 250;
    double timeScale = 0.001;
    app.add_option("--endpoints-file", endpointsFile)->required();
    app.add_option("--platform", platform)->required();
    app.add_option("--data-centre", dataCentre)->required();
    app.add_option("--count", count);
    app.add_option("--workers-in-rack", workersInRack);
    app.add_option("--processors", processors);
    app.add_option("--memory", memory, "gigabytes");
    app.add_option("--time-scale", timeScale, "run time of a task over its declared run time");
    CLI11_PARSE(app, argc, argv);
    IoLoop loop;
    std::list<WorkerStandin> workers;
    std::vector<std::string> lines;
    for (int i = 1; i <= count; ++i) {
        const std::string name = dataCentre + "-worker-" + std::to_string(i);
        workers.emplace_back(loop, WorkerStandin::Options { .endpoint = { "127.0.0.1", 0 }, .name = name, .capacity = { processors, memory, 0 }, .timeScale = timeScale });
        auto bound = workers.back().start();
        Host host;
        host.name = HostName(name);
        host.kind = HostKind::Worker;
        host.dataCentre = DataCentreName(dataCentre);
        host.rack = RackName(dataCentre + "-rack-" + std::to_string((i - 1) / workersInRack + 1));
        host.capacity = { processors, memory, 0 };
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
