#pragma once

// Stand-ins of the platform's store, of runners and of the machines on which the daemon runs. They follow the users' pages on the
// protocol; the record holds what was sent, answered and run.

#include "http.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

namespace lab {

using Json = nlohmann::json;

// nowMs() is the time since the start of the program, in ms.
std::int64_t nowMs();
void sleepMs(std::int64_t ms);

// Record is the file with everything that was sent, answered and run.
class Record {
public:
    explicit Record(const std::string& file);
    void line(const std::string& text);

private:
    std::mutex mutex;
    std::ofstream stream;
};

// Store is the platform's metadata store.
class Store {
public:
    explicit Store(Record& record);

    int port() const { return server->port(); }

    // put() writes a row as the operator or a runner does; remove() removes one.
    void put(const std::string& table, const std::string& key, const Json& value);
    void remove(const std::string& table, const std::string& key);

    // setDown() leaves all calls without an answer and without effect.
    void setDown(bool isDown);

    // loseLate() leaves the transactions that insert the row `key` without an answer, and carries them out after `delayMs` if their
    // conditions hold then.
    void loseLate(const std::string& key, std::int64_t delayMs);
    // lateWriteAt() is when the last such transaction was carried out; before the start if there was none.
    std::int64_t lateWriteAt() const { return lateAt; }
    void loseNone() { loseLate("", 0); }

    // rejections() is the number of transactions that were refused since a row or the call was too large.
    int rejections() const { return tooLarge; }
    std::size_t largestRow() const { return largest; }

    // rowOf() returns the decoded value of a row of the table "jobs" by its key in any part; empty: there is none.
    std::string rowOf(const std::string& key);

    std::function<void(const std::string& key)> onRow; // told of each row of the table "jobs" that is written

private:
    struct Row {
        std::string value; // base64
        std::uint64_t version { 0 };
    };
    struct Change {
        std::uint64_t version { 0 };
        std::string table;
        std::string part;
        std::string key;
    };
    using Place = std::pair<std::string, std::string>; // part and key

    std::optional<Response> serve(const Request& request);
    Response transact(const Json& body);
    Response rows(const std::map<std::string, std::string>& query);
    Response feed(const std::map<std::string, std::string>& query);
    Json rowJson(const std::string& table, const Place& place);
    void change(const std::string& table, const Place& place, const std::optional<std::string>& value);
    void waitWhileSilent();

    Record& record;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<Place, Row>> tables;
    std::vector<Change> changes;
    std::uint64_t version { 0 };
    std::atomic<bool> down { false };
    std::string lateKey;
    std::int64_t lateDelayMs { 0 };
    std::atomic<std::int64_t> lateAt { -3600000 };
    std::atomic<int> tooLarge { 0 };
    std::atomic<std::size_t> largest { 0 };
    std::unique_ptr<Server> server;
};

// Kind is what a runner reports of itself.
struct Kind {
    std::int64_t cpu { 64000 };
    std::int64_t megabytes { 256000 };
    std::vector<std::string> labels { "a", "r1-1" };
    bool guards { true };
};

// TaskNeed is what a task takes and does; the stand-ins know it from the job that the client sent.
struct TaskNeed {
    std::int64_t cpu { 0 };
    std::int64_t megabytes { 0 };
    std::int64_t workMs { 0 }; // 0: the task lasts
    bool saves { false };
    bool isGang { false };
    std::uint32_t count { 1 };
};

// Jobs knows all jobs that the client has sent.
class Jobs {
public:
    void add(const std::string& id, std::vector<TaskNeed> steps);
    std::optional<TaskNeed> needOf(const std::string& task);
    // failsAt(): whether that run of the task ends `failed`; set by the scenario.
    std::function<bool(const std::string& task, std::uint64_t run)> fails;

private:
    std::mutex mutex;
    std::map<std::string, std::vector<TaskNeed>> jobs;
};

// Start and End are what happened on a runner.
struct Start {
    std::int64_t at { 0 };
    std::string task;
    std::uint64_t run { 0 };
    std::string runner;
    Kind kind; // of the runner then
    std::int64_t cpuInUse { 0 }; // on the runner, with this one
};
struct End {
    std::int64_t at { 0 };
    std::string task;
    std::uint64_t run { 0 };
    std::string runner;
    std::string how;
};

struct History {
    std::mutex mutex;
    std::vector<Start> starts;
    std::vector<End> ends;
};

// Gangs lets the members of a gang work together.
class Gangs {
public:
    // join() adds a member that is present; isWhole() says whether all members of the run are.
    void join(const std::string& step, std::uint64_t run, const std::string& task);
    bool isWhole(const std::string& step, std::uint64_t run, std::uint32_t count);
    // end() records how the first member ended; endOf() returns it, or nothing.
    void end(const std::string& step, std::uint64_t run, const std::string& how);
    std::string endOf(const std::string& step, std::uint64_t run);

private:
    struct Gang {
        std::set<std::string> present;
        std::string end;
    };
    std::mutex mutex;
    std::map<std::pair<std::string, std::uint64_t>, Gang> gangs;
};

struct World {
    explicit World(const std::string& recordFile)
        : record(recordFile)
        , store(record)
    {
    }

    Record record;
    Store store;
    Jobs jobs;
    History history;
    Gangs gangs;
    std::string service { "huvo11a" };
};

// Runner is one machine that runs tasks. It registers itself in the store every 1.5 s.
class Runner {
public:
    Runner(World& world, std::string id, std::string zone, Kind kind);
    ~Runner();

    // crash() ends the runner as a killed process; restart() starts it again under its id and address, with nothing.
    void crash();
    void restart(Kind kind);

    // cut() leaves all calls to the runner without an answer and without effect, while it runs on; heal() ends that.
    void cut() { isCut = true; }
    void heal() { isCut = false; }

    const std::string& name() const { return id; }
    std::size_t running();

private:
    struct Run {
        std::string task;
        std::uint64_t run { 0 };
        TaskNeed need;
        std::int64_t startedAt { 0 };
        std::int64_t workingSince { -1 }; // -1: waits for its gang
        std::int64_t resumedMs { 0 }; // of work that its checkpoint stands for
        std::int64_t stopAt { -1 }; // -1: no stop was requested
        std::string saved;
    };
    struct Ended {
        std::uint64_t number { 0 };
        Run run;
        std::string how;
    };

    std::optional<Response> serve(const Request& request);
    Response hold(const Json& body);
    Response start(const Json& body);
    Response stopTask(const Json& body);
    Response conflict(const char* reason);
    Json base();
    void beat();
    void tick();
    void end(const Run& run, const std::string& how);
    std::int64_t clock() const { return nowMs() - bornAt + clockOffsetMs; }
    static constexpr std::int64_t clockOffsetMs = 1000;
    static constexpr std::int64_t maxHoldMs = 6000;
    static constexpr std::int64_t stopMs = 100;
    static constexpr std::int64_t gangTimeoutMs = 3000;
    static constexpr std::size_t maxEnds = 500;

    World& world;
    std::string id;
    std::string zone;
    Kind kind;
    int port { 0 };
    std::mutex mutex;
    std::condition_variable changed;
    std::atomic<bool> isCut { false };
    std::atomic<bool> isUp { false };
    std::int64_t bornAt { 0 };
    std::int64_t bornUnix { 0 };
    std::uint64_t sequence { 0 };
    std::uint64_t token { 0 };
    std::int64_t deadline { 0 };
    std::uint64_t lastEnd { 0 };
    std::map<std::string, Run> runs; // by task
    std::deque<Ended> ended;
    std::map<std::string, std::uint64_t> finalRuns; // highest run of each task that was stopped or has ended here
    std::unique_ptr<Server> server;
    std::atomic<bool> isOver { false };
    std::thread ticker;
    std::thread beater;
};

// Host is one machine of the system with the daemon as a process of its own.
class Host {
public:
    Host(World& world, std::string folder, std::string name, std::string zone);
    ~Host();

    void start();
    void kill(); // SIGKILL, and waits for the end
    void signal(int number);
    bool hasEnded(); // by itself, since start()
    int callers() const { return callersPort; }
    bool isReady();
    bool isUp() const { return process > 0; }
    const std::string& hostName() const { return name; }

private:
    World& world;
    std::string folder;
    std::string name;
    std::string zone;
    int callersPort { 0 };
    int readinessPort { 0 };
    int agentPort { 0 };
    pid_t process { 0 };
};

// configuration() is the text of the operator's configuration.
Json configuration(const World& world, std::uint64_t version, bool guards, int maxAttempts);

// Client sends jobs and asks for them, each call on a connection of its own.
class Client {
public:
    explicit Client(World& world)
        : world(world)
    {
    }

    // submit() sends a job and repeats it at other hosts as long as the answer is unclear or a refusal, for `timeoutMs`.
    bool submit(std::vector<Host*> hosts, const std::string& id, const Json& body, int timeoutMs);
    Response send(const Host& host, const std::string& method, const std::string& id, const std::string& body = "", int timeoutMs = 3000);

    // useRoute() selects the route of the calls that follow: 0 has priority 0, 1 has priority 2.
    void useRoute(int number) { route = number; }
    std::string stateOf(const std::vector<Host*>& hosts, const std::string& id);

private:
    World& world;
    int route { 0 };
};

} // namespace lab
