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

    Record record;
    Store store;
    World world;
    std::vector<std::unique_ptr<Runner>> runners;
    std::unique_ptr<System> system;
    std::unique_ptr<Clients> clients;
};

// Truth is what the runners say about each task.
struct Truth {
    std::set<std::string> running;
    std::map<std::string, Milliseconds> lastEnd; // of any run of a task
};

Truth truthOf(Play& play)
{
    Truth truth;
    for (const RunEvent& event : play.world.events()) {
        if (event.what != "start")
            truth.lastEnd[event.task] = event.at;
    }
    for (auto& runner : play.runners)
        truth.running.merge(runner->running());
    return truth;
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

// One of six tasks that last ends by itself as done, 5 s after its start. The other five run on.
int playLastingDone(Play& play, bool isTroubled)
{
    for (int number = 0; number < 8; ++number)
        play.addRunner("a");
    if (!play.begin())
        return notPlayed;
    Json one = step(1, 4000, 8000, 1000);
    one["long-running"] = true;
    Json five = step(5, 4000, 8000, 1000);
    five["long-running"] = true;
    const TaskNeed lasting { .cpu = 4000, .memory = 8000, .work = 0, .end = "" };
    const TaskNeed ending { .cpu = 4000, .memory = 8000, .work = 5000, .end = "done" };
    const std::string job = play.clients->submit("/watch001/", Json::array({ one, five }), { { 1, isTroubled ? ending : lasting }, { 5, lasting } });
    if (job.empty())
        return notPlayed;
    for (int number = 0; number < 30; ++number) {
        submitOrdinary(play);
        pause(1000);
    }
    std::string state;
    for (const Clients::Job& known : play.clients->jobs())
        state = known.id == job ? known.state : state;
    const Truth truth = truthOf(play);
    std::size_t lost = 0;
    for (int step = 0; step < 2; ++step) {
        for (int index = 0; index < (step == 0 ? 1 : 5); ++index) {
            const std::string task = taskName(job, 0, step, index);
            const auto end = truth.lastEnd.find(task);
            if (truth.running.contains(task) || end == truth.lastEnd.end() || now() < end->second + lastingLimit + idleLimit)
                continue;
            ++lost;
            play.record.line("LOST: " + task + " lasts, was not cancelled, and has not run for " + std::to_string(now() - end->second) + " ms");
        }
    }
    play.record.line("the lasting job is shown as " + state + "; " + std::to_string(truth.running.size()) + " tasks run");
    return lost > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 6)
        return notPlayed;
    using Scene = int (*)(Play&, bool);
    static const std::map<std::string, Scene> scenes { { "crashes", playCrashes }, { "lasting-done", playLastingDone } };
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
