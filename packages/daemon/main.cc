// dragonflytrayd: the one daemon of every entry host.

#include "daemon/daemon.h"
#include "entry/entry.h"
#include "platform_protocols.h"
#include "transport/transport.h"
#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <functional>
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

// blockSignals() leaves SIGTERM, SIGINT and SIGHUP to waitForSignal(); every later thread inherits the mask.
sigset_t blockSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    return set;
}

// waitForSignal() returns at a signal that ends the process, and calls `reload` at each that asks for it.
void waitForSignal(const sigset_t& set, const std::function<void()>& reload)
{
    for (;;) {
        int signal = 0;
        sigwait(&set, &signal);
        if (signal != SIGHUP)
            return;
        reload();
    }
}

template <typename AnyDaemon>
void shutDown(AnyDaemon& daemon)
{
    logInfo(LogPart::Daemon, "A graceful shutdown begins.");
    daemon.drain();
    daemon.stop();
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
    waitForSignal(signals, [] { logInfo(LogPart::Daemon, "These settings are read at the start only; the signal to reload them changes nothing."); });
    shutDown(daemon);
    logInfo(LogPart::Daemon, "Every request has its answer; the process ends.");
    return 0;
}

// reloadEntry() checks the settings again and takes those that may change while the process runs.
void reloadEntry(const std::string& file)
{
    const auto text = readFile(file);
    if (!text)
        return logError(LogPart::Daemon, "The changed settings are not taken. " + file + " cannot be read.");
    const auto settings = parseEntrySettings(*text, file);
    if (!settings)
        return logError(LogPart::Daemon, "The changed settings are not taken. " + settings.error().text());
    setLogLevel(settings->log.level);
    logInfo(LogPart::Daemon, "The settings are read again; the level of the log is in force.");
}

int serveEntry(const EntrySettings& settings, const std::string& file)
{
    const sigset_t signals = blockSignals();
    startLogging(settings.log);
    SchedulerDaemon daemon(settings, platform::platformProtocols());
    if (auto started = daemon.start(); !started) {
        logError(LogPart::Daemon, "This process cannot start: " + started.error() + ".");
        return exitFailure;
    }
    logInfo(LogPart::Daemon, "Callers are served at " + formatEndpoint(settings.callers) + "; the store is " + formatEndpoint(settings.store) + ".");
    waitForSignal(signals, [&] { reloadEntry(file); });
    shutDown(daemon);
    logInfo(LogPart::Daemon, "The process ends.");
    return 0;
}

// Run is what the command line asks for.
struct Run {
    std::string settingsFile;
    std::string endpointsFile;
    bool isCheckOnly { false };
};

// runWith() checks `settings` and serves with them; every finding is printed.
template <typename AnySettings, typename Serve>
int runWith(const tl::expected<AnySettings, Findings>& settings, const Run& run, Serve serve)
{
    if (!settings) {
        std::cerr << settings.error().text();
        return exitFaulty;
    }
    if (run.isCheckOnly) {
        std::cout << run.settingsFile << ": no findings\n";
        return 0;
    }
    return serve(*settings);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("The scheduler daemon of one entry host.");
    Run run;
    app.add_option("--settings", run.settingsFile, "YAML file with the settings")->required()->envname("DRAGONFLYTRAY_CONFIG");
    app.add_option("--endpoints-file", run.endpointsFile, "file to which the bound addresses are written once they listen");
    app.add_flag("--check", run.isCheckOnly, "check the settings, print every finding and exit");
    CLI11_PARSE(app, argc, argv);
    const auto text = readFile(run.settingsFile);
    if (!text) {
        std::cerr << run.settingsFile << ": the file cannot be read\n";
        return exitFaulty;
    }
    if (isEntrySettings(*text, run.settingsFile))
        return runWith(parseEntrySettings(*text, run.settingsFile), run, [&](const EntrySettings& settings) { return serveEntry(settings, run.settingsFile); });
    return runWith(parseSettings(*text, run.settingsFile), run, [&](const Settings& settings) { return serve(settings, run.endpointsFile); });
}
