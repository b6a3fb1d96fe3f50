#pragma once

// Stand-ins for the third review: the users' store, runners and clients as their pages describe them, and the processes of the
// system, which are started with the command of the deploy file. One program plays one case; the cases are in scenes.cpp.
//
// Everything that clients, runners and the store see is written to a record.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace stage {

using Json = nlohmann::json;
using Milliseconds = std::int64_t;

Milliseconds now(); // on the steady clock, since the start of the program
Milliseconds unixTime();
void pause(Milliseconds time);

// Record writes lines with the time of the play. Thread-safe.
class Record {
public:
    explicit Record(const std::string& file)
        : out(file)
    {
    }
    void line(const std::string& text);

private:
    std::mutex mutex;
    std::ofstream out;
};

struct Request {
    std::string method, target;
    std::map<std::string, std::string> headers; // names in small letters
    std::string body;
    std::string path() const { return this->target.substr(0, this->target.find('?')); }
    std::string query(const std::string& name) const;
};

struct Response {
    int status { 200 };
    std::string body;
    bool isLost { false }; // the connection delivers nothing further
};

// Server serves HTTP/1.1 on a loopback address, with a thread for each connection.
class Server {
public:
    using Handler = std::function<Response(const Request&)>;
    explicit Server(Handler handler)
        : handler(std::move(handler))
    {
    }
    ~Server() { this->stop(); }
    void start(int port); // 0: a free one
    void stop(); // closes the listener and every connection, as the end of a process does
    int port() const { return this->boundPort; }

private:
    struct State;
    Handler handler;
    int boundPort { 0 };
    std::shared_ptr<State> state;
};

// call() sends one request on a connection of its own. Status 0: no answer.
Response call(int port, const std::string& method, const std::string& target, const std::string& host, const std::string& body, Milliseconds timeout);

int freePort();

// Store is the platform's metadata store. It keeps its whole history.
class Store {
public:
    explicit Store(Record& record);
    void start() { this->server.start(0); }
    int port() const { return this->server.port(); }
    void put(const std::string& table, const std::string& key, const Json& value); // by the operator and the runners
    void remove(const std::string& table, const std::string& key);
    void setSilent(bool isSilent);
    bool isSilent() const { return this->silent; }

    std::atomic<std::uint64_t> tooLarge { 0 }; // writes refused because of the size of a row or of the call

private:
    struct Row {
        std::string table, part, key, value;
        std::uint64_t version { 0 };
        bool isDeleted { false };
    };
    Response serve(const Request& request);
    Response transact(const Request& request);
    Response get(const Request& request);
    Response parts(const Request& request);
    Response feed(const Request& request);
    void apply(const std::string& table, const std::string& part, const std::string& key, const std::optional<std::string>& value, std::uint64_t version);
    static Json encode(const Row& row);
    bool mayCall(double& budget, Milliseconds& since, double rate);

    Record& record;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, std::map<std::string, Row>>> tables;
    std::vector<Row> history;
    std::map<std::string, std::mutex> partLocks;
    std::uint64_t version { 1 };
    std::atomic<bool> silent { false };
    double writeBudget { 800 }, readBudget { 2000 };
    Milliseconds writeSince { 0 }, readSince { 0 };
    Server server;
};

// Task is what a client asked for with one task of a step.
struct TaskNeed {
    std::int64_t cpu { 0 }, memory { 0 };
    Milliseconds work { 0 };
    std::string end { "done" }; // how a run ends by itself after `work`; empty: it lasts
};

// RunEvent is what happened at a runner.
struct RunEvent {
    Milliseconds at { 0 };
    std::string runner, task;
    std::uint64_t run { 0 };
    std::string what; // "start", or how the run ended
    std::uint64_t number { 0 }; // of the end
    std::string kind; // of the runner at the start
};

class Runner;

// World is what clients and runners know of each other's work. Thread-safe.
class World {
public:
    explicit World(Record& record)
        : record(record)
    {
    }
    void expect(const std::string& job, std::vector<std::pair<int, TaskNeed>> steps); // count and need of each step
    void expectSpec(const std::string& job, const std::string& spec);
    std::string specOf(const std::string& job);
    std::optional<TaskNeed> needOf(const std::string& task);
    void note(RunEvent event);
    std::vector<RunEvent> events();
    std::function<void(const RunEvent&, Runner&)> onStart; // called without locks

    Record& record;

private:
    std::mutex mutex;
    std::map<std::string, std::vector<std::pair<int, TaskNeed>>> jobs;
    std::map<std::string, std::string> specs;
    std::vector<RunEvent> history;
};

// Runner is a worker that carries out orders. Its service guards its capacity.
class Runner {
public:
    struct Options {
        std::string id, service, zone, rack, kind { "a" };
        std::int64_t cpu { 64000 }, memory { 256000 };
        Milliseconds maxHold { 6000 }, heartbeat { 1500 }, stopTime { 40 };
    };
    Runner(Options options, World& world, Store& store);
    ~Runner();
    void start(); // begins a new life at the same address
    void crash(); // ends it at once, with everything that runs
    bool isUp() const { return this->up; }
    void setKind(const std::string& kind) { this->options.kind = kind; }
    std::string kind() const { return this->options.kind; }
    const std::string& id() const { return this->options.id; }
    std::string zone() const { return this->options.zone; }

    struct Use {
        std::int64_t cpu { 0 }, memory { 0 };
    };
    Use use(); // of everything that runs
    std::set<std::string> running(); // names of tasks
    std::size_t openEnds(); // listed and not acknowledged
    std::uint64_t ends(); // listed in this life

private:
    struct Run {
        std::string task;
        std::uint64_t run { 0 };
        TaskNeed need;
        Milliseconds endsAt { 0 }; // 0: it lasts
        Milliseconds stopsAt { 0 }; // 0: not asked to
        int percent { 100 };
    };
    struct End {
        std::uint64_t number { 0 };
        std::string task;
        std::uint64_t run { 0 };
        std::string how;
    };
    Response serve(const Request& request);
    Response startRun(const Json& body);
    Response hold(const Json& body, std::unique_lock<std::mutex>& lock);
    void advance(); // carries out what is due; requires the lock
    void end(const Run& run, const std::string& how);
    void beat();
    Json entry();
    Milliseconds clock() const { return now() - this->startedAt; }
    void extend(const Json& body);
    Response answer(Json body) const;

    Options options;
    World& world;
    Store& store;
    std::mutex mutex;
    std::condition_variable changed;
    std::atomic<bool> up { false };
    std::atomic<bool> isOver { false };
    Milliseconds startedAt { 0 }, born { 0 }, deadline { 0 }, nextBeat { 0 };
    std::uint64_t fence { 0 }, lastEnd { 0 }, sequence { 0 }, life { 0 };
    std::map<std::pair<std::string, std::uint64_t>, Run> runs;
    std::map<std::string, std::uint64_t> ended; // highest run of each task that was stopped or has ended
    std::deque<End> openEndList;
    int port { 0 };
    std::unique_ptr<Server> server;
    std::thread thread;
};

// System is the processes of the system, each with settings like those of a small deployment. A process that ends is started again.
class System {
public:
    struct Host {
        std::string name, zone, region;
        int callers { 0 }, readiness { 0 }, agent { 0 };
        pid_t pid { 0 };
        std::string settings, log;
    };
    System(std::string program, std::string folder, int storePort, Record& record);
    ~System();
    void add(const std::string& name, const std::string& zone, const std::string& region);
    std::vector<Host>& hosts() { return this->list; }
    void signal(std::size_t host, int number);
    bool waitUntilReady(Milliseconds limit);
    std::uint64_t unexpectedEnds() const { return this->ends; }

private:
    void launch(Host& host);
    void watch();

    std::string program, folder;
    int storePort;
    Record& record;
    std::mutex mutex;
    std::vector<Host> list;
    std::set<pid_t> killed;
    std::atomic<bool> isOver { false };
    std::atomic<std::uint64_t> ends { 0 };
    std::thread watcher;
};

// Clients submits jobs and asks for their states, at one host after the other, as the pages say.
class Clients {
public:
    Clients(World& world, System& system, Record& record);
    ~Clients();

    struct Job {
        std::string id, prefix, state; // as last shown
        Milliseconds sentAt { 0 }, acceptedAt { 0 }, shownAt { 0 };
        bool isCancelled { false };
        std::vector<std::pair<int, TaskNeed>> steps;
        std::map<std::string, Milliseconds> firstShown; // by state
    };
    // submit() sends a job and repeats it as the pages allow. It returns the id, or an empty text if it was not accepted.
    std::string submit(const std::string& prefix, const Json& steps, std::vector<std::pair<int, TaskNeed>> needs, const Json& more = Json::object());
    std::vector<Job> jobs();
    void ask(); // for the state of each job that has not ended

private:
    int portOf(std::size_t attempt);

    World& world;
    System& system;
    Record& record;
    std::mutex mutex;
    std::map<std::string, Job> known;
    std::atomic<std::size_t> turn { 0 };
    std::atomic<bool> isOver { false };
    std::thread watcher;
};

std::string newId();
std::string taskName(const std::string& job, int occurrence, int step, int index);
std::string jobOf(const std::string& task);

} // namespace stage
