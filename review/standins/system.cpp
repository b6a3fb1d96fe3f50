#include "system.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iomanip>
#include <random>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

    std::mutex processMutex;
    std::set<pid_t> processes; // that were started and not ended yet

    void endProcesses()
    {
        const std::lock_guard lock(processMutex);
        for (const pid_t process : processes) {
            ::kill(process, SIGKILL);
            ::waitpid(process, nullptr, 0);
        }
        processes.clear();
    }

    std::string headOf(const std::string& method, const Queue& queue, const std::string& id)
    {
        return method + " " + queue.prefix + id + " HTTP/1.1\r\nHost: " + queue.host + "\r\nX-Dragonflytray-Deadline-Ms: 3000\r\nContent-Type: application/json";
    }

} // namespace

System::System(std::vector<std::string> zones, int storePort)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    this->directory = ::mkdtemp(pattern.data());
    const std::set<std::string> places(zones.begin(), zones.end());
    for (std::size_t i = 0; i < zones.size(); ++i) {
        Host host { .settings = this->directory + "/host-" + std::to_string(i) + ".yaml", .log = this->directory + "/host-" + std::to_string(i) + ".log", .callers = freePort(), .readiness = freePort() };
        std::ofstream file(host.settings);
        file << "host: \"frontend-" << zones[i] << "-" << i + 1 << "\"\ndataCentre: \"" << zones[i] << "\"\nentry:\n"
             << "  callers: \"127.0.0.1:" << host.callers << "\"\n  readiness: \"127.0.0.1:" << host.readiness << "\"\n"
             << "  store: \"127.0.0.1:" << storePort << "\"\n  agent: \"127.0.0.1:" << freePort() << "\"\n"
             << "  linkMegabits: 1000.0\n  processorShare: 0.25\n  connections: 4100\n  leaseLimitMilliseconds: 6000\n"
             << "  stopTimeoutMilliseconds: 200\n  cancellationLimitMilliseconds: 3000\n  drainingLimitMilliseconds: 3000\n  dataCentres:\n";
        for (const std::string& place : places)
            file << "    - { name: \"" << place << "\", region: \"region-1\" }\n";
        file << "\nlog:\n  level: info\n  format: json\n";
        this->hosts.push_back(std::move(host));
    }
}

System::~System()
{
    this->killAll();
    if (std::getenv("REVIEW_KEEP") == nullptr)
        std::filesystem::remove_all(this->directory);
}

void System::start(std::size_t host)
{
    Host& entry = this->hosts[host];
    const std::lock_guard lock(processMutex);
    const pid_t process = ::fork();
    if (process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // nothing outlives the case, however it ends
        const int log = ::open(entry.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::setenv("DRAGONFLYTRAY_CONFIG", entry.settings.c_str(), 1);
        ::execl("target/bin/dragonflytrayd", "target/bin/dragonflytrayd", nullptr);
        std::_Exit(127);
    }
    processes.insert(process);
    entry.process = process;
}

void System::startAll()
{
    for (std::size_t host = 0; host < this->hosts.size(); ++host)
        this->start(host);
}

void System::kill(std::size_t host)
{
    const std::lock_guard lock(processMutex);
    const pid_t process = this->hosts[host].process;
    if (process == 0 || processes.erase(process) == 0)
        return;
    ::kill(process, SIGKILL);
    ::waitpid(process, nullptr, 0);
    this->hosts[host].process = 0;
}

void System::killAll()
{
    for (std::size_t host = 0; host < this->hosts.size(); ++host)
        this->kill(host);
}

bool System::hasEnded(std::size_t host)
{
    const std::lock_guard lock(processMutex);
    const pid_t process = this->hosts[host].process;
    if (process == 0 || ::waitpid(process, nullptr, WNOHANG) != process)
        return false;
    processes.erase(process);
    this->hosts[host].process = 0;
    return true;
}

bool System::isReady(std::size_t host) const
{
    return call(this->hosts[host].readiness, "GET /dragonflytray/readiness HTTP/1.1\r\nHost: probe", "", 1000).status == 200;
}

Json configurationWith(const Queue& queue, const std::string& service)
{
    const Json route { { "name", "r-1" }, { "host", queue.host }, { "path-prefix", queue.prefix }, { "kind", "non_idempotent" }, { "timeout-ms", 3000 }, { "target-latency-ms", 1000 }, { "priority", 0 }, { "service", service }, { "max-attempts", 3 }, { "slack-factor", 2.0 } };
    const Json entry { { "name", service }, { "health-path", "/health" }, { "max-connections", 64 }, { "protocol", "h1" }, { "tls", false }, { "enforce-limits", true }, { "standby", false } };
    return { { "version", 7 }, { "routes", Json::array({ route }) }, { "services", Json::array({ entry }) }, { "limits", { { "max-body-bytes", 262144 } } } };
}

std::string newId()
{
    static std::mt19937_64 random(20261205);
    static constexpr char digits[] = "0123456789abcdef";
    std::string id;
    for (std::uint64_t number = random(); id.size() < 16; number >>= 4U)
        id += digits[number & 15U];
    return id;
}

int submit(const System& system, std::size_t host, const Queue& queue, const std::string& id, const Json& job)
{
    return call(system.callers(host), headOf("POST", queue, id), job.dump(), 3000).status;
}

std::string stateOf(const System& system, std::size_t host, const Queue& queue, const std::string& id)
{
    const Response response = call(system.callers(host), headOf("GET", queue, id), "", 3000);
    const Json body = Json::parse(response.body, nullptr, false);
    return response.status == 200 && body.is_object() ? body.value("state", "") : std::to_string(response.status);
}

int cancel(const System& system, std::size_t host, const Queue& queue, const std::string& id)
{
    return call(system.callers(host), headOf("DELETE", queue, id), "", 3000).status;
}

bool waitFor(int milliseconds, const std::function<bool()>& condition)
{
    const std::int64_t deadline = steadyMilliseconds() + milliseconds;
    while (!condition()) {
        if (steadyMilliseconds() >= deadline)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

bool withTrouble()
{
    const char* trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

void limitTime(int seconds)
{
    std::thread([seconds] {
        std::this_thread::sleep_for(std::chrono::seconds(seconds));
        endProcesses();
        std::_Exit(2);
    }).detach();
}

Record::Record(const std::string& file)
    : stream(file)
    , begin(steadyMilliseconds())
{
}

void Record::line(const std::string& text)
{
    const std::lock_guard lock(this->mutex);
    this->stream << std::fixed << std::setprecision(3) << std::setw(8) << this->secondsOf(steadyMilliseconds()) << " s  " << text << std::endl;
}

void Record::runs(Runs& runs, std::size_t most)
{
    const std::vector<Run> all = runs.all();
    this->line(std::to_string(all.size()) + " runs; the first " + std::to_string(std::min(most, all.size())) + ":");
    const std::lock_guard lock(this->mutex);
    for (std::size_t i = 0; i < std::min(most, all.size()); ++i) {
        const Run& run = all[i];
        this->stream << "  " << run.task << " run " << run.number << " on " << run.runner << " (life " << run.life << ", token " << run.token << "): from " << this->secondsOf(run.startedAt) << " s";
        if (run.endedAt != 0)
            this->stream << " to " << this->secondsOf(run.endedAt) << " s, " << run.how;
        if (run.takenNoteOfAt != 0)
            this->stream << ", taken note of at " << this->secondsOf(run.takenNoteOfAt) << " s";
        this->stream << "\n";
    }
    this->stream.flush();
}

} // namespace review
