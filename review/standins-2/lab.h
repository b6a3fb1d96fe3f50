#pragma once

// What the drivers of the cases share: a small deployment of the project's own processes beside the stand-ins, and the end of a case. It
// is no stand-in.

#include "world.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

namespace lab {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int notRun = 2;

inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

// Lab is a small deployment: hosts with the daemon, runners, and a client.
struct Lab {
    explicit Lab(const std::string& recordFile)
        : world(recordFile)
        , client(world)
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        folder = mkdtemp(pattern.data());
    }

    ~Lab()
    {
        hosts.clear();
        runners.clear();
        std::filesystem::remove_all(folder);
    }

    void addRunners(int count, const Kind& kind)
    {
        static const std::vector<std::string> zones { "rs-poa", "sc-fln", "rs-cxs" };
        for (int number = 0; number < count; ++number) {
            const std::size_t index = runners.size();
            runners.push_back(std::make_unique<Runner>(world, "i-00000" + std::to_string(100 + index), zones[index % zones.size()], kind));
        }
    }

    // startHosts() starts the hosts and waits until all are ready and the first job is done.
    bool startHosts(int count)
    {
        static const std::vector<std::string> zones { "rs-poa", "rs-cxs", "sc-fln" };
        for (int number = 0; number < count; ++number)
            hosts.push_back(std::make_unique<Host>(world, folder, "frontend-" + std::to_string(number + 1), zones[static_cast<std::size_t>(number) % zones.size()]));
        for (const auto& host : hosts)
            host->start();
        if (!waitUntil(15000, [this] { return areReady(); }))
            return false;
        return runJob("00000000000000f1", 1, 1000, 200, 20000);
    }

    bool areReady()
    {
        return std::all_of(hosts.begin(), hosts.end(), [](const auto& host) { return !host->isUp() || host->isReady(); });
    }

    std::vector<Host*> all() const
    {
        std::vector<Host*> list;
        for (const auto& host : hosts) {
            if (host->isUp())
                list.push_back(host.get());
        }
        return list;
    }

    template <typename Condition>
    static bool waitUntil(std::int64_t timeoutMs, Condition condition)
    {
        for (const std::int64_t end = nowMs() + timeoutMs; nowMs() < end; sleepMs(50)) {
            if (condition())
                return true;
        }
        return condition();
    }

    // submit() tells the runners what the tasks are, and hands the job in.
    bool submit(const std::string& id, const Json& steps, std::vector<TaskNeed> needs)
    {
        world.jobs.add(id, std::move(needs));
        return client.submit(all(), id, { { "spec", "review" }, { "steps", steps } }, 15000);
    }

    bool runJob(const std::string& id, int count, int cpu, int workMs, int timeoutMs)
    {
        const Json step { { "count", count }, { "cpu", cpu }, { "mem-mb", 100 }, { "estimated-ms", workMs } };
        if (!submit(id, Json::array({ step }), { { .cpu = cpu, .megabytes = 100, .workMs = workMs } }))
            return false;
        return waitUntil(timeoutMs, [&] { return client.stateOf(all(), id) == "completed"; });
    }

    std::size_t running() const
    {
        std::size_t sum = 0;
        for (const auto& runner : runners)
            sum += runner->running();
        return sum;
    }

    int countStarts(const std::string& prefix)
    {
        const std::lock_guard lock(world.history.mutex);
        return static_cast<int>(std::count_if(world.history.starts.begin(), world.history.starts.end(), [&](const Start& start) { return start.task.starts_with(prefix); }));
    }

    int countEnds(const std::string& prefix, const std::string& how)
    {
        const std::lock_guard lock(world.history.mutex);
        return static_cast<int>(std::count_if(world.history.ends.begin(), world.history.ends.end(), [&](const End& end) { return end.task.starts_with(prefix) && end.how == how; }));
    }

    // recordRuns() writes the starts and ends of the tasks with a prefix to the record, at most `limit` of each.
    void recordRuns(const std::string& prefix, int limit)
    {
        const std::lock_guard lock(world.history.mutex);
        int starts = 0;
        for (const Start& start : world.history.starts) {
            if (start.task.starts_with(prefix) && ++starts <= limit)
                world.record.line("run: " + std::to_string(start.at) + " ms start " + start.task + " run " + std::to_string(start.run) + " on " + start.runner + ", cpu in use " + std::to_string(start.cpuInUse) + " of " + std::to_string(start.kind.cpu) + ", kind " + start.kind.labels.front());
        }
        int ends = 0;
        for (const End& end : world.history.ends) {
            if (end.task.starts_with(prefix) && ++ends <= limit)
                world.record.line("run: " + std::to_string(end.at) + " ms end " + end.task + " run " + std::to_string(end.run) + " on " + end.runner + ": " + end.how);
        }
        world.record.line("run: " + std::to_string(starts) + " starts and " + std::to_string(ends) + " ends of " + prefix + "*");
    }

    int result(int code, const std::string& text)
    {
        for (const auto& host : hosts)
            (void)host->hasEnded();
        world.record.line("result: " + text);
        std::cout << text << std::endl;
        return code;
    }

    World world;
    Client client;
    std::string folder;
    std::vector<std::unique_ptr<Runner>> runners;
    std::vector<std::unique_ptr<Host>> hosts;
};

// runCase() runs a case with the file of its record, for 115 s at most. It returns 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
inline int runCase(int argc, char** argv, int (*play)(Lab&))
{
    if (argc != 2) {
        std::cerr << "usage: " << argv[0] << " RECORD\n";
        return notRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    Lab lab(argv[1]);
    std::thread([&lab] {
        sleepMs(115000);
        for (const auto& host : lab.hosts)
            host->kill();
        lab.world.record.line("result: the time is over");
        std::_Exit(notRun);
    }).detach();
    return play(lab);
}

} // namespace lab
