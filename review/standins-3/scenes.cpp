// The cases of the third review: what clients, runners and the store do in each, and the rule that is checked.
//
//     scenes CASE PROGRAM FOLDER RECORD TROUBLE
//
// It ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not be played.

#include "stage.h"

#include <algorithm>
#include <iostream>
#include <unistd.h>

using namespace stage;

namespace {

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int notPlayed = 2;

constexpr Milliseconds finishTime = 14'000; // finish_s
constexpr Milliseconds idleLimit = 3'000; // of the rule LOST
constexpr Milliseconds lastingLimit = 6'000; // of the rule LOST, after the last run of a task that lasts

const std::string service = "desk0001";

// Play is one run of a case: three hosts of the system, the store, runners and clients.
struct Play {
    Play(const std::string& program, const std::string& folder, const std::string& recordFile)
        : record(recordFile)
        , store(record)
        , world(record)
    {
        this->store.start();
        const Json routes = Json::array({ route("r-quick01", "/quick001/", 600, 0, 2, 1.5), route("r-full001", "/full0001/", 1000, 2, 3, 2.0), route("r-watch01", "/watch001/", 3000, 0, 2, 2.2) });
        const Json services = Json::array({ { { "name", service }, { "health-path", "/health" }, { "max-connections", 64 }, { "protocol", "h1" }, { "tls", false }, { "enforce-limits", true }, { "standby", false } } });
        this->store.put("op", "config", { { "version", 3 }, { "routes", routes }, { "services", services }, { "limits", { { "max-header-bytes", 16384 }, { "max-body-bytes", 262144 }, { "header-timeout-ms", 3000 }, { "idle-timeout-ms", 15000 } } } });
        this->system = std::make_unique<System>(program, folder, this->store.port(), this->record);
    }

    static Json route(const std::string& name, const std::string& prefix, int latency, int priority, int attempts, double slack)
    {
        return { { "name", name }, { "host", "reviewed.example" }, { "path-prefix", prefix }, { "kind", "non_idempotent" }, { "timeout-ms", 3000 }, { "target-latency-ms", latency }, { "priority", priority }, { "service", service }, { "max-attempts", attempts }, { "slack-factor", slack } };
    }

    void addRunner(const std::string& kind)
    {
        static const std::vector<std::string> zones { "rs-poa", "sc-fln", "rs-cxs" };
        const std::size_t number = this->runners.size();
        Runner::Options options;
        options.id = "i-" + newId().substr(0, 8);
        options.service = service;
        options.zone = zones[number % zones.size()];
        options.rack = "r" + std::to_string(number % zones.size() + 1) + "-1";
        options.kind = kind;
        this->runners.push_back(std::make_unique<Runner>(options, this->world, this->store));
    }

    // begin() starts all processes and waits until they are ready.
    bool begin()
    {
        for (auto& runner : this->runners)
            runner->start();
        this->system->add("entry-rs-poa-1", "rs-poa", "sul-rs");
        this->system->add("entry-sc-fln-1", "sc-fln", "sul-sc");
        this->system->add("entry-rs-cxs-1", "rs-cxs", "sul-rs");
        if (!this->system->waitUntilReady(20'000))
            return false;
        pause(4000); // a leader and its workers meet
        this->clients = std::make_unique<Clients>(this->world, *this->system, this->record);
        return true;
    }

    int finish(int result)
    {
        this->record.line(result == ruleHeld ? "result: the rule held" : result == ruleBroken ? "result: the rule was broken"
                                                                                              : "result: the case could not be played");
        this->clients.reset();
        this->system.reset();
        return result;
    }

    Runner* find(const std::string& id)
    {
        for (auto& runner : this->runners) {
            if (runner->id() == id)
                return runner.get();
        }
        return nullptr;
    }

    Record record;
    Store store;
    World world;
    std::vector<std::unique_ptr<Runner>> runners;
    std::unique_ptr<System> system;
    std::unique_ptr<Clients> clients;
};

// Truth is what the runners' reports say about each task.
struct Truth {
    std::set<std::string> done;
    std::set<std::string> running;
    std::map<std::string, Milliseconds> lastEnd; // of any run of a task
    std::map<std::string, std::set<std::string>> runningOf; // by job
    std::int64_t freeCpu { 0 }, freeMemory { 0 }, cpu { 0 };
};

Truth truthOf(Play& play)
{
    Truth truth;
    for (const RunEvent& event : play.world.events()) {
        if (event.what == "start")
            continue;
        truth.lastEnd[event.task] = event.at;
        if (event.what == "done")
            truth.done.insert(event.task);
    }
    for (auto& runner : play.runners) {
        if (!runner->isUp())
            continue;
        for (const std::string& task : runner->running()) {
            truth.running.insert(task);
            truth.runningOf[jobOf(task)].insert(task);
        }
        const Runner::Use use = runner->use();
        truth.cpu += 64000;
        truth.freeCpu += 64000 - use.cpu;
        truth.freeMemory += 256000 - use.memory;
    }
    return truth;
}

// waitingTask() is a task of the job whose turn has come and that does not run, or an empty text. Each step needs the ones before.
std::string waitingTask(const Clients::Job& job, const Truth& truth)
{
    for (std::size_t step = 0; step < job.steps.size(); ++step) {
        bool isStepDone = true;
        for (int index = 0; index < job.steps[step].first; ++index) {
            const std::string task = taskName(job.id, 0, static_cast<int>(step), index);
            if (truth.done.contains(task))
                continue;
            isStepDone = false;
            if (!truth.running.contains(task))
                return task;
        }
        if (!isStepDone)
            return "";
    }
    return "";
}

// hasRoomTwice() says whether there is capacity for the task twice over and under half of the service's is in use.
bool hasRoomTwice(Play& play, const Truth& truth, const TaskNeed& need)
{
    int places = 0;
    for (auto& runner : play.runners) {
        const Runner::Use use = runner->use();
        places += runner->isUp() && 64000 - use.cpu >= need.cpu && 256000 - use.memory >= need.memory ? 1 : 0;
    }
    return places >= 2 && truth.freeCpu * 2 > truth.cpu;
}

// countLost() watches for `time` and counts the accepted jobs of the routes in `prefixes` that have, for 3 s on end, nothing running
// while a task's turn has come and there is room.
std::size_t countLost(Play& play, Milliseconds time, const std::set<std::string>& prefixes)
{
    std::map<std::string, Milliseconds> idleSince;
    std::set<std::string> lost;
    for (const Milliseconds end = now() + time; now() < end; pause(100)) {
        const Truth truth = truthOf(play);
        for (const Clients::Job& job : play.clients->jobs()) {
            if (!prefixes.contains(job.prefix) || job.state == "failed" || job.state == "cancelled")
                continue;
            const std::string task = waitingTask(job, truth);
            const bool isIdle = !task.empty() && !truth.runningOf.contains(job.id) && hasRoomTwice(play, truth, *play.world.needOf(task));
            if (!isIdle)
                idleSince.erase(job.id);
            else if (now() >= idleSince.try_emplace(job.id, now()).first->second + idleLimit && lost.insert(job.id).second)
                play.record.line("LOST: job " + job.id + ", shown as " + job.state + ", has had nothing running for 3 s; " + task + " waits, " + std::to_string(truth.freeCpu) + " of " + std::to_string(truth.cpu) + " thousandths of a core are free");
        }
    }
    return lost.size();
}

Json step(int count, int cpu, int memory, int estimate)
{
    return { { "count", count }, { "cpu", cpu }, { "mem-mb", memory }, { "estimated-ms", estimate } };
}

// submitOrdinary() hands in a job of two steps, as those of the route `quick-check`.
std::string submitOrdinary(Play& play, const std::string& prefix = "/quick001/")
{
    const TaskNeed need { .cpu = 4600, .memory = 9200, .work = 400 };
    Json second = step(1, 4600, 9200, 400);
    second["after"] = { 0 };
    return play.clients->submit(prefix, Json::array({ step(2, 4600, 9200, 400), second }), { { 2, need }, { 1, need } });
}

// A scheduled job of 40 short steps comes: with the trouble for 240 occurrences, without it for 8. Ordinary jobs come before, beside
// and after it.
int playRows(Play& play, bool isTroubled)
{
    constexpr int runners = 4;
    constexpr int width = 40;
    constexpr Milliseconds interval = 200;
    constexpr Milliseconds traffic = 80'000;
    const int repetitions = isTroubled ? 240 : 8;
    for (int number = 0; number < runners; ++number)
        play.addRunner("a");
    if (!play.begin())
        return notPlayed;
    const Milliseconds begin = now();
    bool isSent = false;
    for (Milliseconds next = begin; now() < begin + traffic; next += 350) {
        if (!isSent && now() >= begin + 2000) {
            isSent = true;
            const TaskNeed need { .cpu = 500, .memory = 500, .work = 30 };
            const Json steps(width, step(1, 500, 500, 30));
            const std::vector<std::pair<int, TaskNeed>> needs(width, { 1, need });
            const std::string job = play.clients->submit("/full0001/", steps, needs, { { "repetitions", repetitions }, { "first-run-ms", unixTime() + 1000 }, { "interval-ms", interval } });
            if (job.empty())
                return notPlayed;
            play.record.line("job " + job + " has " + std::to_string(width) + " steps and " + std::to_string(repetitions) + " occurrences");
        }
        submitOrdinary(play);
        pause(std::max<Milliseconds>(0, next + 350 - now()));
    }
    play.record.line("the traffic ends");
    pause(finishTime);
    const std::size_t lost = countLost(play, 6000, { "/quick001/" });
    std::uint64_t ends = 0;
    std::uint64_t open = 0;
    for (auto& runner : play.runners) {
        ends += runner->ends();
        open += runner->openEnds();
    }
    std::size_t completed = 0;
    std::size_t unfinished = 0;
    std::size_t untold = 0;
    const Truth truth = truthOf(play);
    for (const Clients::Job& job : play.clients->jobs()) {
        if (job.prefix != "/quick001/")
            continue;
        ++(job.state == "completed" ? completed : unfinished);
        const bool isDone = truth.done.contains(taskName(job.id, 0, 0, 0)) && truth.done.contains(taskName(job.id, 0, 0, 1)) && truth.done.contains(taskName(job.id, 0, 1, 0));
        untold += isDone && job.state != "completed" ? 1 : 0;
    }
    play.record.line("ordinary jobs: " + std::to_string(completed) + " shown as completed, " + std::to_string(unfinished) + " not, of which " + std::to_string(untold) + " have all ends `done` at their runners; LOST: " + std::to_string(lost));
    play.record.line("ends that runners listed: " + std::to_string(ends) + ", not taken note of: " + std::to_string(open) + "; writes refused for their size: " + std::to_string(play.store.tooLarge));
    return lost > 0 ? ruleBroken : ruleHeld;
}

// Two of 16 runners crash soon after they have begun a run, and come back.
int playCrashes(Play& play, bool isTroubled)
{
    for (int number = 0; number < 16; ++number)
        play.addRunner("a");
    std::mutex mutex;
    std::vector<std::string> broken;
    std::atomic<int> crashes { 0 };
    play.world.onStart = [&](const RunEvent& event, Runner& runner) {
        const std::lock_guard lock(mutex);
        const bool isKnown = std::find(broken.begin(), broken.end(), event.runner) != broken.end();
        if (!isTroubled || (!isKnown && broken.size() >= 2))
            return;
        if (!isKnown)
            broken.push_back(event.runner);
        std::thread([&runner, &crashes] {
            pause(60);
            ++crashes;
            runner.crash();
            pause(3000);
            runner.start();
        }).detach();
    };
    if (!play.begin())
        return notPlayed;
    const TaskNeed need { .cpu = 4600, .memory = 9200, .work = 800 };
    for (int number = 0; number < 20; ++number) {
        play.clients->submit("/quick001/", Json::array({ step(1, 4600, 9200, 800) }), { { 1, need } });
        pause(2000);
    }
    pause(finishTime);
    std::set<std::string> failedAtRunner;
    for (const RunEvent& event : play.world.events()) {
        if (event.what == "failed")
            failedAtRunner.insert(jobOf(event.task));
    }
    std::size_t lost = 0;
    for (const Clients::Job& job : play.clients->jobs()) {
        if (job.state != "failed" || failedAtRunner.contains(job.id))
            continue;
        ++lost;
        play.record.line("LOST: job " + job.id + " is shown as failed, and no runner has listed an end `failed` of any of its tasks");
    }
    play.record.line("crashes of runners: " + std::to_string(crashes) + "; jobs shown as failed without cause: " + std::to_string(lost));
    return lost > 0 ? ruleBroken : ruleHeld;
}

// A task of a lasting step ends by itself as done.
int playLastingDone(Play& play, bool isTroubled)
{
    for (int number = 0; number < 8; ++number)
        play.addRunner("a");
    if (!play.begin())
        return notPlayed;
    Json lasting = step(6, 4000, 8000, 1000);
    lasting["long-running"] = true;
    const TaskNeed need { .cpu = 4000, .memory = 8000, .work = isTroubled ? 5000 : 0, .end = isTroubled ? "done" : "" };
    const std::string job = play.clients->submit("/watch001/", Json::array({ lasting }), { { 6, need } });
    if (job.empty())
        return notPlayed;
    for (int number = 0; number < 30; ++number) {
        submitOrdinary(play);
        pause(1000);
    }
    std::size_t lost = 0;
    std::string state;
    for (const Clients::Job& known : play.clients->jobs())
        state = known.id == job ? known.state : state;
    const Truth truth = truthOf(play);
    for (int index = 0; index < 6; ++index) {
        const std::string task = taskName(job, 0, 0, index);
        const auto end = truth.lastEnd.find(task);
        if (truth.running.contains(task) || end == truth.lastEnd.end() || now() < end->second + lastingLimit + idleLimit)
            continue;
        ++lost;
        play.record.line("LOST: " + task + " lasts, was not cancelled, and has not run for " + std::to_string(now() - end->second) + " ms; its job is shown as " + state);
    }
    return lost > 0 ? ruleBroken : ruleHeld;
}

// The store gives no answers for 4.5 s; meanwhile a runner crashes and comes back after 0.3 s as one of another kind.
int playKind(Play& play, bool isTroubled)
{
    play.addRunner("a");
    for (int number = 0; number < 7; ++number)
        play.addRunner("b");
    if (!play.begin())
        return notPlayed;
    for (int number = 0; number < 6; ++number) {
        submitOrdinary(play);
        pause(500);
    }
    Runner& runner = *play.runners.front();
    // The second step requires the label a. The first steps end one after the other, in the second half of the trouble.
    Json labelled = step(1, 4000, 8000, 500);
    labelled["after"] = { 0 };
    labelled["required-label"] = "a";
    Json other = step(1, 4000, 8000, 4000);
    other["required-label"] = "b";
    const Json steps = Json::array({ other, labelled });
    const TaskNeed first { .cpu = 4000, .memory = 8000, .work = 4000 };
    const TaskNeed second { .cpu = 4000, .memory = 8000, .work = 500 };
    std::set<std::string> jobs;
    for (int number = 0; number < 6; ++number) {
        jobs.insert(play.clients->submit("/full0001/", steps, { { 1, first }, { 1, second } }));
        pause(400);
    }
    pause(300);
    if (isTroubled) {
        play.store.setSilent(true);
        pause(200);
        runner.crash();
        runner.setKind("b");
        pause(300);
        runner.start();
        pause(4000);
        play.store.setSilent(false);
    }
    pause(8000);
    std::size_t wrong = 0;
    for (const RunEvent& event : play.world.events()) {
        const bool needsLabel = jobs.contains(jobOf(event.task)) && event.task.ends_with(".0.1.0");
        if (event.what != "start" || !needsLabel || event.kind == "a")
            continue;
        ++wrong;
        play.record.line("ROUTE: " + event.task + " run " + std::to_string(event.run) + " was started on " + event.runner + " of kind " + event.kind + ", and its step requires the label a");
    }
    play.record.line("starts on a runner without the label: " + std::to_string(wrong));
    return wrong > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 6)
        return notPlayed;
    using Scene = int (*)(Play&, bool);
    static const std::map<std::string, Scene> scenes { { "rows", playRows }, { "crashes", playCrashes }, { "lasting-done", playLastingDone }, { "kind", playKind } };
    const auto scene = scenes.find(argv[1]);
    if (scene == scenes.end())
        return notPlayed;
    const bool isTroubled = std::string(argv[5]) != "0";
    Play play(argv[2], argv[3], argv[4]);
    const int result = play.finish(scene->second(play, isTroubled));
    std::cout << argv[1] << (isTroubled ? "" : " without the trouble") << ": " << (result == ruleHeld ? "held" : result == ruleBroken ? "broken"
                                                                                                                                      : "not played")
              << std::endl;
    ::_exit(result); // threads of connections may still wait
}
