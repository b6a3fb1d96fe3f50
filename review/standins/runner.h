#pragma once

// A stand-in of one runner, as the users' pages describe it. What a task does stands in the spec of its job, as text of the form
// "cpu=500;mem=64;work=800;fail=0": the room of each task, how long it works (0: until it is stopped), and after what time each run of it
// fails (0: never).

#include "store.h"

#include <random>

namespace review {

// Run is one run of a task on a runner, as the record keeps it.
struct Run {
    std::string task;
    std::uint64_t number { 0 };
    std::string runner;
    int life { 0 };
    std::int64_t token { 0 };
    std::int64_t startedAt { 0 };
    std::int64_t endedAt { 0 }; // 0: not yet
    std::string how {}; // also "gone": its runner crashed
    std::int64_t takenNoteOfAt { 0 }; // when the acknowledgement reached the end; 0: not yet
};

// Runs is the record of all runs on all runners.
class Runs {
public:
    std::size_t begin(Run run);
    void add(Run run); // a run of another record, as it is
    void end(std::size_t index, const std::string& how);
    void takeNote(std::size_t index);
    std::vector<Run> all();

private:
    std::mutex mutex;
    std::vector<Run> runs;
};

class Runner {
public:
    struct Options {
        std::string id;
        std::string service;
        std::string zone;
        std::string rack;
        std::int64_t millicores { 64000 };
        std::int64_t megabytes { 256000 };
        std::int64_t maxHoldMilliseconds { 6000 };
        std::int64_t checkpointMilliseconds { 1000 };
        std::int64_t restoreMilliseconds { 250 };
        std::int64_t stopMilliseconds { 100 };
        std::int64_t beatMilliseconds { 1500 };
        double lateShare { 0 }; // of starts and stops that get no answer and are carried out 2 to 12 s later
        std::int64_t firstBeatMilliseconds { 400 }; // after the start of a life
    };

    Runner(Options options, Store& store, Runs& record);
    ~Runner();
    Runner(const Runner&) = delete;
    Runner& operator=(const Runner&) = delete;

    // start() begins a life: it listens at the address of the first one, and lists itself in the store.
    void start();

    // answerAll() ends the late orders of Options::lateShare.
    void answerAll() { this->isLate = false; }

    // holdNextStart() keeps the next start on the way for a time; it gets no answer, and reaches whichever life there is then.
    void holdNextStart(std::int64_t milliseconds) { this->nextStartHeldFor = milliseconds; }
    bool isStartHeld() const { return this->hasHeldStart; }

    // crash() ends the life: what runs is gone, and its connections break.
    void crash();

    // cut() partitions the runner from all machines of the system until heal(); it runs on.
    void cut() { this->server->cut(); }
    void heal() { this->server->heal(); }

    const std::string& id() const { return this->options.id; }
    std::size_t running();
    bool isCallAnswered() const { return this->hasAnswered; }

private:
    struct Task {
        std::size_t record { 0 };
        std::string checkpoint;
        std::int64_t doneBefore { 0 }; // ms of work in the checkpoint that it began with
        std::int64_t worksFrom { 0 };
        std::int64_t work { 0 }; // 0: until it is stopped
        std::int64_t failsAfter { 0 }; // ms; 0: it doesn't fail
        std::int64_t millicores { 0 };
        std::int64_t megabytes { 0 };
        std::int64_t stopsAt { 0 }; // 0: no stop was asked for
    };
    struct End {
        std::uint64_t number { 0 };
        std::string task;
        std::uint64_t run { 0 };
        std::string how;
        std::string saved;
        std::size_t record { 0 };
    };
    struct LateOrder {
        std::string path;
        Json body;
        std::int64_t at { 0 }; // in steady milliseconds
        bool isOnTheWay { false }; // not at the runner yet, so that a crash doesn't end it
    };
    using TaskRun = std::pair<std::string, std::uint64_t>;

    Response handle(const Request& request);
    Response perform(const std::string& path, const Json& body);
    Response startRun(const Json& body);
    Response stopRun(const Json& body);
    Response hold(const Json& body, std::unique_lock<std::mutex>& lock);
    Response answer(int status, Json body) const;
    bool extend(const Json& body);
    std::string savedOf(const Task& task) const;
    void finish(const TaskRun& run, const std::string& how);
    void live(int life);
    void list();
    std::int64_t clock() const { return steadyMilliseconds() - this->bornAt; }

    Options options;
    Store& store;
    Runs& record;
    std::unique_ptr<Server> server;
    int port { 0 };
    std::mutex mutex;
    std::condition_variable ended;
    std::thread thread;
    std::atomic<bool> isAlive { false };
    std::atomic<bool> isLate { true };
    std::atomic<std::int64_t> nextStartHeldFor { 0 };
    std::atomic<bool> hasHeldStart { false };
    std::atomic<bool> hasAnswered { false }; // a hold in this life
    int life { 0 };
    std::int64_t bornAt { 0 };
    std::int64_t bornUnix { 0 };
    std::int64_t token { 0 };
    std::int64_t deadline { 0 };
    std::uint64_t lastEnd { 0 };
    std::uint64_t sequence { 0 };
    std::map<TaskRun, Task> tasks;
    std::vector<End> ends;
    std::vector<LateOrder> lateOrders;
    std::mt19937 random { std::random_device {}() };
    std::map<std::string, std::uint64_t> closed; // the highest run of a task that was stopped or ended
};

} // namespace review
