#pragma once

// A fixture that drives one Scheduler against a store and workers in memory.

#include "scheduling/simulation/simulated_store.h"
#include "scheduling/simulation/simulated_worker.h"
#include <catch2/catch.hpp>

namespace dragonflytray {

// SchedulerFixture carries out every effect at once, unless a test takes it out of `pending` first.
class SchedulerFixture {
public:
    SchedulerFixture();

    // host() is a scheduler under that name, made at first use.
    Scheduler& host(const std::string& name);

    // send() gives one command to a host, and carries out what follows.
    void send(const std::string& name, const SchedulerCommand& command);

    // run() lets time pass in ticks, with feeds, for the hosts named.
    void run(const std::vector<std::string>& names, Duration time);

    // submit() hands a job with these steps in, and is the reply.
    ReplyStatus submit(const std::string& name, const std::string& id, std::vector<StepDefinition> steps);

    // addWorker() lists a worker with that many cores.
    SimulatedWorker& addWorker(const std::string& id, std::int64_t cores);

    // phaseOf() is the phase that the store holds of a job.
    JobPhase phaseOf(const std::string& id) const;

    // runningOf() is the runs of a job on all workers.
    std::vector<TaskRunId> runningOf(const std::string& id) const;

protected:
    void carryOut(const std::string& name, const SchedulerEffect& effect);
    void carry(const std::string& name, const WriteStoredRows& effect);
    void carry(const std::string& name, const ReadJobRows& effect);
    void carry(const std::string& name, const PollWorker& effect);
    void carry(const std::string& name, const StartTask& effect);
    void carry(const std::string& name, const StopTask& effect);
    void carry(const std::string& name, const SetTaskSpeed& effect);
    void carry(const std::string& name, const ReplyToClient& effect);
    void carry(const std::string& name, const FollowWorkers& effect);
    void carry(const std::string& name, const LogDecision& effect);
    WorkerCallStatus startOn(const StartTask& call, const SimulatedRun& work);
    void endWithoutAnswer(const std::string& name, TaskCallEnded end);
    StepDefinition stepOf(const TaskRunId& run) const;

    // Held is a report that has not reached its host yet.
    struct Held {
        std::string host;
        PollEnded end;
        Instant due;
    };

    Instant now { std::chrono::hours(1) };
    SimulatedStore store;
    std::map<std::string, std::unique_ptr<Scheduler>> hosts;
    std::map<std::string, RowVersion> followed;
    std::map<std::string, bool> isCutFromStore;
    std::map<WorkerId, SimulatedWorker> workers;
    std::set<WorkerId> silent; // workers that no call reaches
    bool doTasksFail { false };
    bool areListsRead { true }; // answers of the feed of workers reach leaders
    std::set<WorkerId> unlisted; // workers that the list leaves out
    std::set<WorkerId> unreachable; // workers to which no poll can be sent
    std::vector<Held> held;
    // LateStart is an order that its worker carries out after it was given up.
    struct LateStart {
        StartTask call;
        SimulatedRun work;
        Instant due;
    };
    std::vector<LateStart> lateStarts;
    std::vector<std::pair<Instant, std::pair<std::string, TaskCallEnded>>> timeouts; // calls that end without an answer
    std::size_t mostAtOnce { 0 }; // runs of one task on all workers, seen after each start
    int startsLate { 0 }; // starts that get no answer and are carried out 1.5 s later
    int stopsLost { 0 }; // stops that get no answer and do nothing
    std::vector<ReplyToClient> replies;
    std::vector<StartTask> starts;
    std::vector<LogDecision> log;
    Duration taskTime { std::chrono::seconds(1) };
    SchedulingConfiguration configuration;
};

// stepOfTasks() is a step of `count` tasks of that many cores each.
StepDefinition stepOfTasks(std::uint32_t count, std::int64_t cores);

} // namespace dragonflytray
