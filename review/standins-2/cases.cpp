// The cases of the review that are shown by a script: `cases NAME RECORD`. It exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run. With TROUBLE=0 in the environment the disruption is left out.

#include "world.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>

namespace {

using namespace lab;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int notRun = 2;

bool hasTrouble()
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

// largeRow(): all machines lose power while a job with many checkpointing tasks runs, whose leases lapse.
int largeRow(Lab& lab)
{
    constexpr int tasks = 4600;
    const std::string large = "5c0e7a21d94b0001";
    lab.world.store.put("op", "config", configuration(lab.world, 7, true, 3));
    lab.addRunners(8, {});
    if (!lab.startHosts(3))
        return lab.result(notRun, "the deployment did not come up");
    const Json first { { "count", tasks }, { "cpu", 110 }, { "mem-mb", 300 }, { "estimated-ms", 20000 }, { "checkpointing", true } };
    const Json second { { "count", 2 }, { "cpu", 1000 }, { "mem-mb", 300 }, { "estimated-ms", 500 }, { "after", { 0 } } };
    if (!lab.submit(large, Json::array({ first, second }), { { .cpu = 110, .megabytes = 300, .workMs = 20000, .saves = true }, { .cpu = 1000, .megabytes = 300, .workMs = 500 } }))
        return lab.result(notRun, "the large job was not accepted");
    const bool areRunning = Lab::waitUntil(13000, [&] { return lab.countStarts(large) >= tasks; });
    lab.world.record.line("tasks started: " + std::to_string(lab.countStarts(large)) + ", running: " + std::to_string(lab.running()));
    if (!areRunning)
        return lab.result(notRun, "the tasks of the large job were not started in time");
    sleepMs(1500);
    if (hasTrouble()) {
        for (const auto& host : lab.hosts)
            host->kill();
        sleepMs(9500);
        for (const auto& host : lab.hosts)
            host->start();
    }
    Lab::waitUntil(10000, [&] { return lab.areReady(); });
    Lab::waitUntil(45000, [&] { return lab.countEnds(large + ".0.0", "done") >= tasks; });
    lab.world.record.line("tasks done: " + std::to_string(lab.countEnds(large + ".0.0", "done")) + " of " + std::to_string(tasks));
    sleepMs(3000);
    std::vector<std::string> later;
    for (int number = 0; number < 8; ++number) {
        const std::string id = "5c0e7a21d94b10" + std::to_string(10 + number);
        const Json one { { "count", 1 }, { "cpu", 1000 }, { "mem-mb", 100 }, { "estimated-ms", 300 } };
        Json two = one;
        two["after"] = { 0 };
        if (lab.submit(id, Json::array({ one, two }), { { .cpu = 1000, .megabytes = 100, .workMs = 300 }, { .cpu = 1000, .megabytes = 100, .workMs = 300 } }))
            later.push_back(id);
    }
    constexpr std::int64_t finishMs = 14000;
    std::vector<std::string> open = later;
    open.push_back(large);
    Lab::waitUntil(finishMs, [&] {
        std::erase_if(open, [&](const std::string& id) { return lab.client.stateOf(lab.all(), id) == "completed"; });
        sleepMs(400);
        return open.empty();
    });
    for (const std::string& id : open)
        lab.recordRuns(id, 6);
    // The rule: for 3 s a job has nothing running while a task's turn has come, with capacity for it twice over and under half in use.
    int waiting = 0;
    {
        const std::lock_guard lock(lab.world.history.mutex);
        constexpr std::int64_t waitMs = 3000;
        const std::int64_t since = nowMs() - waitMs;
        const auto isRecent = [&](const auto& event) { return event.at > since; };
        const bool isIdle = lab.running() == 0 && std::none_of(lab.world.history.starts.begin(), lab.world.history.starts.end(), isRecent) && std::none_of(lab.world.history.ends.begin(), lab.world.history.ends.end(), isRecent);
        for (const std::string& id : open) {
            const auto startOfNext = std::find_if(lab.world.history.starts.begin(), lab.world.history.starts.end(), [&](const Start& start) { return start.task.starts_with(id + ".0.1."); });
            std::set<std::string> done;
            for (const End& end : lab.world.history.ends) {
                if (end.task.starts_with(id + ".0.0.") && end.how == "done")
                    done.insert(end.task);
            }
            waiting += isIdle && startOfNext == lab.world.history.starts.end() && done.size() == (id == large ? std::size_t { tasks } : 1) ? 1 : 0;
        }
    }
    lab.world.record.line("store: " + std::to_string(lab.world.store.rejections()) + " transactions rejected as too large, largest row " + std::to_string(lab.world.store.largestRow()) + " bytes");
    lab.world.record.line("runs on all runners now: " + std::to_string(lab.running()));
    const std::string text = "14 s after the last of " + std::to_string(later.size() + 1) + " accepted jobs was handed in " + std::to_string(open.size()) + " are not completed; in " + std::to_string(waiting) + " the first step is done, the second has not begun, and for 3 s nothing has run on any runner; the store has rejected " + std::to_string(lab.world.store.rejections()) + " transactions as too large";
    return lab.result(waiting > 0 ? broken : open.empty() ? held
                                                          : notRun,
        text);
}

// crashTwice(): two runners crash, one after the other, soon after a task has begun on them.
int crashTwice(Lab& lab)
{
    const std::string id = "5c0e7a21d94b0002";
    lab.world.store.put("op", "config", configuration(lab.world, 7, true, 3));
    lab.addRunners(8, {});
    if (!lab.startHosts(3))
        return lab.result(notRun, "the deployment did not come up");
    const Json step { { "count", 1 }, { "cpu", 2000 }, { "mem-mb", 300 }, { "estimated-ms", 4000 } };
    if (!lab.submit(id, Json::array({ step }), { { .cpu = 2000, .megabytes = 300, .workMs = 4000 } }))
        return lab.result(notRun, "the job was not accepted");
    std::vector<std::thread> restarts;
    for (int crash = 1; hasTrouble() && crash <= 2; ++crash) {
        if (!Lab::waitUntil(20000, [&] { return lab.countStarts(id) >= crash; }))
            break;
        sleepMs(200);
        std::string name;
        {
            const std::lock_guard lock(lab.world.history.mutex);
            for (const Start& start : lab.world.history.starts) {
                if (start.task.starts_with(id))
                    name = start.runner;
            }
        }
        for (const auto& runner : lab.runners) {
            if (runner->name() != name)
                continue;
            lab.world.record.line(name + ": crashes for 4500 ms");
            runner->crash();
            restarts.emplace_back([&lab, target = runner.get()] {
                sleepMs(4500);
                target->restart({});
                lab.world.record.line(target->name() + ": is back");
            });
        }
    }
    std::string state;
    Lab::waitUntil(35000, [&] {
        state = lab.client.stateOf(lab.all(), id);
        sleepMs(400);
        return state == "failed" || state == "completed";
    });
    for (std::thread& restart : restarts)
        restart.join();
    lab.recordRuns(id, 10);
    const int failures = lab.countEnds(id, "failed");
    const std::string text = "the job is shown as " + state + "; " + std::to_string(failures) + " of its runs ended failed, 3 attempts are allowed";
    return lab.result(state == "failed" && failures < 3 ? broken : state == "completed" ? held
                                                                                        : notRun,
        text);
}

// otherKind(): a runner restarts under its id as another kind while the store does not answer.
int otherKind(Lab& lab)
{
    const std::string id = "5c0e7a21d94b0003";
    const Kind wanted { .labels = { "b", "r1-1" } };
    const Kind other { .cpu = 32000, .megabytes = 128000, .labels = { "a", "r1-1" } };
    lab.world.store.put("op", "config", configuration(lab.world, 7, true, 3));
    lab.addRunners(4, wanted);
    lab.addRunners(4, {});
    if (!lab.startHosts(3))
        return lab.result(notRun, "the deployment did not come up");
    const Json step { { "count", 400 }, { "cpu", 16000 }, { "mem-mb", 300 }, { "estimated-ms", 500 }, { "required-label", "b" } };
    if (!lab.submit(id, Json::array({ step }), { { .cpu = 16000, .megabytes = 300, .workMs = 500 } }))
        return lab.result(notRun, "the job was not accepted");
    if (!Lab::waitUntil(10000, [&] { return lab.countStarts(id) >= 40; }))
        return lab.result(notRun, "the tasks were not started in time");
    if (hasTrouble()) {
        lab.world.store.setDown(true);
        sleepMs(200);
        Runner& runner = *lab.runners.front();
        lab.world.record.line(runner.name() + ": crashes for 800 ms");
        runner.crash();
        sleepMs(800);
        runner.restart(other);
        lab.world.record.line(runner.name() + ": is back as kind a with 32000 of cpu");
        sleepMs(3500);
        lab.world.store.setDown(false);
    }
    Lab::waitUntil(30000, [&] { return lab.countEnds(id, "done") >= 400; });
    sleepMs(1000);
    int wrong = 0;
    {
        const std::lock_guard lock(lab.world.history.mutex);
        for (const Start& start : lab.world.history.starts) {
            if (!start.task.starts_with(id) || start.kind.labels.front() == "b")
                continue;
            if (++wrong <= 10)
                lab.world.record.line("run: " + std::to_string(start.at) + " ms start " + start.task + " run " + std::to_string(start.run) + " on " + start.runner + " of kind " + start.kind.labels.front());
        }
    }
    lab.recordRuns(id, 500);
    return lab.result(wrong > 0 ? broken : held, std::to_string(wrong) + " starts of tasks that require the label b on a runner without it");
}

// cancelUnknown(): the write of a submission gets no answer and is carried out late; the client cancels meanwhile.
int cancelUnknown(Lab& lab)
{
    const std::string id = "5c0e7a21d94b0004";
    lab.world.store.put("op", "config", configuration(lab.world, 7, true, 3));
    lab.addRunners(4, {});
    if (!lab.startHosts(3))
        return lab.result(notRun, "the deployment did not come up");
    if (hasTrouble())
        lab.world.store.loseLate(id + ".d", 6000);
    const Json first { { "count", 2 }, { "cpu", 2000 }, { "mem-mb", 300 }, { "estimated-ms", 6000 } };
    Json second = first;
    second["after"] = { 0 };
    lab.world.jobs.add(id, { { .cpu = 2000, .megabytes = 300, .workMs = 6000 }, { .cpu = 2000, .megabytes = 300, .workMs = 6000 } });
    const Json body { { "spec", "review" }, { "steps", Json::array({ first, second }) } };
    const Host& host = *lab.hosts.front();
    const Response handedIn = lab.client.send(host, "POST", id, body.dump());
    lab.world.store.loseNone();
    Response cancelled;
    std::int64_t cancelledAt = 0;
    for (int attempt = 0; attempt < 5 && cancelled.status != 200 && cancelled.status != 410; ++attempt) {
        cancelled = lab.client.send(host, "DELETE", id);
        cancelledAt = nowMs();
    }
    if (cancelled.status != 200 && cancelled.status != 410)
        return lab.result(notRun, "the cancelling was not acknowledged");
    sleepMs(22000);
    lab.client.stateOf(lab.all(), id);
    lab.recordRuns(id, 10);
    constexpr std::int64_t cancelMs = 3000;
    int late = 0;
    {
        const std::lock_guard lock(lab.world.history.mutex);
        late = static_cast<int>(std::count_if(lab.world.history.starts.begin(), lab.world.history.starts.end(), [&](const Start& start) { return start.task.starts_with(id) && start.at > cancelledAt + cancelMs; }));
    }
    const std::string text = "POST answered " + std::to_string(handedIn.status) + ", DELETE answered " + std::to_string(cancelled.status) + "; " + std::to_string(late) + " tasks of the job were started more than 3 s after the latter";
    return lab.result(late > 0 ? broken : held, text);
}

// failingGang(): a gang that can't be done; another member fails in each run.
int failingGang(Lab& lab)
{
    const std::string id = "5c0e7a21d94b0005";
    constexpr int members = 4;
    constexpr int maxAttempts = 2;
    lab.world.store.put("op", "config", configuration(lab.world, 7, true, maxAttempts));
    lab.addRunners(8, {});
    if (!lab.startHosts(3))
        return lab.result(notRun, "the deployment did not come up");
    if (hasTrouble())
        lab.world.jobs.fails = [&](const std::string& task, std::uint64_t run) { return task == id + ".0.0." + std::to_string(run % members); };
    const Json step { { "count", members }, { "cpu", 2000 }, { "mem-mb", 300 }, { "estimated-ms", 1000 }, { "gang-scheduled", true } };
    if (!lab.submit(id, Json::array({ step }), { { .cpu = 2000, .megabytes = 300, .workMs = 1000, .isGang = true, .count = members } }))
        return lab.result(notRun, "the job was not accepted");
    std::string state;
    Lab::waitUntil(40000, [&] {
        state = lab.client.stateOf(lab.all(), id);
        sleepMs(400);
        return state == "failed" || state == "completed";
    });
    lab.recordRuns(id, 40);
    std::set<std::uint64_t> runs;
    {
        const std::lock_guard lock(lab.world.history.mutex);
        for (const Start& start : lab.world.history.starts) {
            if (start.task.starts_with(id))
                runs.insert(start.run);
        }
    }
    const std::string text = "the job is shown as " + state + "; its gang was started " + std::to_string(runs.size()) + " times with max-attempts " + std::to_string(maxAttempts) + ", and " + std::to_string(lab.countEnds(id, "failed")) + " of these runs failed";
    return lab.result(lab.countEnds(id, "failed") > maxAttempts ? broken : held, text);
}

// lostLargeRunners(): the only runners with room for the tasks of many waiting jobs are lost for good; other jobs come.
int lostLargeRunners(Lab& lab)
{
    constexpr int waiting = 70;
    constexpr int others = 5;
    lab.world.store.put("op", "config", configuration(lab.world, 7, true, 3));
    lab.addRunners(14, {});
    lab.addRunners(2, { .cpu = 96000, .megabytes = 384000 });
    if (!lab.startHosts(3))
        return lab.result(notRun, "the deployment did not come up");
    if (hasTrouble()) {
        for (std::size_t index = 14; index < 16; ++index) {
            lab.world.record.line(lab.runners[index]->name() + ": is lost for good");
            lab.runners[index]->crash();
            lab.world.store.remove("servers", lab.runners[index]->name());
        }
    }
    std::vector<std::string> open;
    for (int number = 0; number < waiting; ++number) {
        const std::string id = "5c0e7a21d94b20" + std::to_string(10 + number);
        const int megabytes = 380000 - 1000 * number;
        const Json step { { "count", 1 }, { "cpu", 4000 }, { "mem-mb", megabytes }, { "estimated-ms", 40000 } };
        if (lab.submit(id, Json::array({ step }), { { .cpu = 4000, .megabytes = megabytes, .workMs = 200 } }) && !hasTrouble())
            open.push_back(id);
        sleepMs(50);
    }
    lab.client.useRoute(1);
    std::vector<std::string> ordinary;
    for (int number = 0; number < others; ++number) {
        const std::string id = "5c0e7a21d94b30" + std::to_string(10 + number);
        const Json step { { "count", 1 }, { "cpu", 1000 }, { "mem-mb", 100 }, { "estimated-ms", 300 } };
        if (lab.submit(id, Json::array({ step }), { { .cpu = 1000, .megabytes = 100, .workMs = 300 } }))
            ordinary.push_back(id);
    }
    if (ordinary.size() < others)
        return lab.result(notRun, "the other jobs were not accepted");
    constexpr std::int64_t finishMs = 14000;
    constexpr std::int64_t waitMs = 3000;
    sleepMs(finishMs + waitMs);
    std::erase_if(ordinary, [&](const std::string& id) { return lab.client.stateOf(lab.all(), id) == "completed"; });
    lab.client.useRoute(0);
    std::erase_if(open, [&](const std::string& id) { return lab.client.stateOf(lab.all(), id) == "completed"; });
    int unstarted = 0;
    for (const std::string& id : ordinary) {
        lab.recordRuns(id, 5);
        unstarted += lab.countStarts(id) == 0 ? 1 : 0;
    }
    lab.world.record.line("runs on all runners now: " + std::to_string(lab.running()));
    const std::string text = std::to_string(unstarted) + " of " + std::to_string(others) + " ordinary jobs were not started within 17 s, with " + std::to_string(lab.running()) + " runs on 14 runners of 64 cores; " + std::to_string(open.size()) + " other jobs with room for them are not completed";
    return lab.result(unstarted > 0 ? broken : open.empty() ? held
                                                            : notRun,
        text);
}

int oddPath(Lab& lab)
{
    lab.world.store.put("op", "config", configuration(lab.world, 7, true, 3));
    lab.addRunners(4, {});
    if (!lab.startHosts(3))
        return lab.result(notRun, "the deployment did not come up");
    const std::string path = hasTrouble() ? "/an\xe1lise/" : "/analise/";
    int ended = 0;
    for (const auto& host : lab.hosts) {
        const Response response = call(host->callers(), "GET", path, "nony24.example", "", 3000);
        lab.world.record.line("client: GET of a route that never existed at " + host->hostName() + " -> " + std::to_string(response.status));
        sleepMs(500);
        ended += host->hasEnded() ? 1 : 0;
    }
    return lab.result(ended > 0 ? broken : held, std::to_string(ended) + " of 3 daemons ended");
}

} // namespace

int main(int argc, char** argv)
{
    const std::map<std::string, int (*)(Lab&)> cases { { "large-row", &largeRow }, { "crash-twice", &crashTwice }, { "other-kind", &otherKind }, { "cancel-unknown", &cancelUnknown }, { "failing-gang", &failingGang }, { "odd-path", &oddPath }, { "lost-large-runners", &lostLargeRunners } };
    const auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "usage: cases NAME RECORD\n";
        return notRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    Lab lab(argv[2]);
    std::thread([&lab] { // a case takes 120 s at most
        sleepMs(115000);
        for (const auto& host : lab.hosts)
            host->kill();
        lab.world.record.line("result: the time is over");
        std::_Exit(notRun);
    })
        .detach();
    return found->second(lab);
}
