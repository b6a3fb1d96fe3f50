// dragonflytrayd: the one daemon of every entry host.

#include "daemon/daemon.h"
#include "transport/transport.h"
#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace dragonflytray;

constexpr int exitFailure = 1; // the daemon could not start
constexpr int exitFaulty = 2; // the settings have findings

std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream stream(path);
    if (!stream)
        return std::nullopt;
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

// writeEndpoints() writes one line for each bound endpoint, for whoever started the process.
void writeEndpoints(const std::string& path, const BoundEndpoints& bound)
{
    const std::string partial = path + ".partial";
    std::ofstream(partial) << "callers=" << formatEndpoint(bound.callers) << "\npeers=" << formatEndpoint(bound.peers) << "\n";
    std::rename(partial.c_str(), path.c_str());
}

// blockSignals() leaves SIGTERM and SIGINT to waitForSignal(); every later thread inherits the mask.
sigset_t blockSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    return set;
}

void waitForSignal(const sigset_t& set)
{
    int signal = 0;
    sigwait(&set, &signal);
}

int serve(const Settings& settings, const std::string& endpointsFile)
{
    const sigset_t signals = blockSignals();
    startLogging(settings.log);
    Daemon daemon(settings);
    auto bound = daemon.start();
    if (!bound) {
        logError(LogPart::Daemon, "This process cannot start: " + bound.error() + ".");
        return exitFailure;
    }
    logInfo(LogPart::Daemon, "Callers are served at " + formatEndpoint(bound->callers) + ", peers at " + formatEndpoint(bound->peers) + ".");
    if (!endpointsFile.empty())
        writeEndpoints(endpointsFile, *bound);
    waitForSignal(signals);
    logInfo(LogPart::Daemon, "A graceful shutdown begins.");
    daemon.drain();
    daemon.stop();
    logInfo(LogPart::Daemon, "Every request has its answer; the process ends.");
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("The scheduler daemon of one entry host.");
    std::string settingsFile;
    std::string endpointsFile;
    bool isCheckOnly = false;
    app.add_option("--settings", settingsFile, "YAML file with the settings")->required();
    app.add_option("--endpoints-file", endpointsFile, "file to which the bound addresses are written once they listen");
    app.add_flag("--check", isCheckOnly, "check the settings, print every finding and exit");
    CLI11_PARSE(app, argc, argv);
    auto text = readFile(settingsFile);
    if (!text) {
        std::cerr << settingsFile << ": the file cannot be read\n";
        return exitFaulty;
    }
    auto settings = parseSettings(*text, settingsFile);
    if (!settings) {
        std::cerr << settings.error().text();
        return exitFaulty;
    }
    if (isCheckOnly) {
        std::cout << settingsFile << ": no findings\n";
        return 0;
    }
    return serve(*settings, endpointsFile);
}
