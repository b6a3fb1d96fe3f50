#pragma once

// The processes of the project, started with the command of the deploy file, and calls of clients to them.

#include "runner.h"

#include <fstream>
#include <sys/types.h>

namespace review {

// System runs one process of the project for each entry host, on loopback addresses, in the repository's root.
class System {
public:
    System(std::vector<std::string> zones, int storePort);
    ~System();
    System(const System&) = delete;
    System& operator=(const System&) = delete;

    // start() starts the process of a host again, with the settings that it had.
    void start(std::size_t host);
    void startAll();

    // kill() ends the process of a host at once, as a loss of power does.
    void kill(std::size_t host);
    void killAll();

    // hasEnded() says whether the process of a host has ended by itself.
    bool hasEnded(std::size_t host);

    bool isReady(std::size_t host) const;
    int callers(std::size_t host) const { return this->hosts[host].callers; }
    std::size_t size() const { return this->hosts.size(); }

private:
    struct Host {
        std::string settings; // file
        std::string log; // file
        int callers { 0 };
        int readiness { 0 };
        pid_t process { 0 }; // 0: none
    };

    std::string directory;
    std::vector<Host> hosts;
};

// Queue is a route of the configuration.
struct Queue {
    std::string host;
    std::string prefix;
};

// configurationWith() is a configuration with one route.
Json configurationWith(const Queue& queue, const std::string& service);

// newId() is a job's id, drawn from the seed of the case.
std::string newId();

// submit(), stateOf() and cancel() are calls of a client at one host.
int submit(const System& system, std::size_t host, const Queue& queue, const std::string& id, const Json& job);
std::string stateOf(const System& system, std::size_t host, const Queue& queue, const std::string& id); // the status if it is not 200
int cancel(const System& system, std::size_t host, const Queue& queue, const std::string& id);

// waitFor() waits until the condition holds; false if it does not within the time.
bool waitFor(int milliseconds, const std::function<bool()>& condition);

// withTrouble() says whether the case is to be played with its disruption.
bool withTrouble();

// limitTime() ends the process and those it started after so many seconds, as a case that could not run.
void limitTime(int seconds);

// Record is the file record.txt of a case; times count from its creation.
class Record {
public:
    explicit Record(const std::string& file);
    void line(const std::string& text);
    void runs(Runs& runs, std::size_t most);
    double secondsOf(std::int64_t time) const { return static_cast<double>(time - this->begin) / 1000.0; }

private:
    std::mutex mutex;
    std::ofstream stream;
    std::int64_t begin;
};

} // namespace review
