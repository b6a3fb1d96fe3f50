// platform_standin: the platform's service for demonstrations and tests.

#include "testing/standin_main.h"
#include "testing/testing.h"
#include <CLI/CLI.hpp>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace dragonflytray;
    CLI::App app("A stand-in for the platform's table, object store and host list.");
    std::string endpointsFile;
    std::uint16_t port = 0;
    long long listLag = 500;
    app.add_option("--endpoints-file", endpointsFile)->required();
    app.add_option("--port", port, "0: any free port");
    app.add_option("--list-lag", listLag, "milliseconds until a change of hosts shows");
    CLI11_PARSE(app, argc, argv);
    IoLoop loop;
    PlatformStandin standin(loop, { .endpoint = { "127.0.0.1", port }, .listLag = std::chrono::milliseconds(listLag) });
    auto bound = standin.start();
    if (!bound) {
        std::cerr << bound.error() << '\n';
        return 1;
    }
    writeEndpointLines(endpointsFile, { "platform=" + formatEndpoint(*bound) });
    runUntilTerminated(loop);
    return 0;
}
