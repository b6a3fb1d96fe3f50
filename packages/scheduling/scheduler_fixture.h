#pragma once

// A test fixture that runs one Scheduler per host against a store and workers in memory.
//
// Example:
//
//     this->addWorker("w1", 64);
//     this->run({ "a" }, std::chrono::seconds(3));
//     CHECK(this->submit("a", "00000000000000a1", { stepOfTasks(2, 4) }) == ReplyStatus::Accepted);

#include "scheduling/simulation/simulated_store.h"
#include "scheduling/simulation/simulated_worker.h"
#include <catch2/catch.hpp>
#include <functional>

namespace dragonflytray {

// SchedulerFixture carries out every effect immediately. Answers of polls are delivered one tick later; tests can delay or
// lose other answers, freeze and restart hosts, and crash workers or remove them from the list.
class SchedulerFixture {
public:
    static constexpr const char* homeDataCentre = "rs-poa"; // of the hosts
    static constexpr const char* otherDataCentre = "sc-fln";

    SchedulerFixture();

    // host() returns the scheduler of that name, which is created on first use.
    Scheduler& host(const std::string& name);

    // send() sends a command to a host and carries out the effects.
    void send(const std::string& name, const SchedulerCommand& command);

    // run() advances the time in ticks. Only the named hosts run and receive changes of the store meanwhile.
    void run(const std::vector<std::string>& names, Duration time);

    // submit() submits a job with these steps and returns the reply.
    ReplyStatus submit(const std::string& name, const std::string& id, std::vector<StepDefinition> steps);

    // addQueue() configures another queue of this name beside "quick", for hosts that are created later. submitTo() submits a job to it.
    void addQueue(const std::string& queue, int priority);
    ReplyStatus submitTo(const std::string& queue, const std::string& name, const std::string& id, std::vector<StepDefinition> steps);

    // addWorker() adds a worker with that many cores, in the data centre of the hosts unless another one is named. Leaders that read
    // the list earlier don't know it.
    SimulatedWorker& addWorker(const std::string& id, std::int64_t cores, const std::string& dataCentre = homeDataCentre);

    // evacuate() stores a request of the operator to evacuate a data centre, and withdraw() removes it. Hosts follow them where
    // `dispatcherOptions` asks for it.
    void evacuate(const std::string& dataCentre) { this->storeEvacuation(dataCentre, true); }
    void withdraw(const std::string& dataCentre) { this->storeEvacuation(dataCentre, false); }

    // restartHost() replaces the process of a host. What was in flight to the former one is lost.
    void restartHost(const std::string& name);

    // freezeHost() delays every command to a host until `time` has passed, and then delivers all of them in order.
    void freezeHost(const std::string& name, Duration time) { this->frozenUntil[name] = this->now + time; }

    // setStoreContact() connects a host to the store, or disconnects it.
    void setStoreContact(const std::string& name, bool isConnected);

    // crashWorker() ends the process of a worker, which answers no calls until restoreWorker() begins its next incarnation. Starts
    // that are carried out late may reach that one.
    void crashWorker(const WorkerId& id);
    void restoreWorker(const WorkerId& id);

    // replaceWorker() removes a worker that has crashed from the list, and adds another one at its address.
    void replaceWorker(const WorkerId& id, const std::string& successor);

    // leader() returns the holder of the lease in the store; empty: none.
    std::string leader() const;

    // phaseOf() returns the phase of a job in the store.
    JobPhase phaseOf(const std::string& id) const;

    // runningOf() returns the current runs of a job on all workers.
    std::vector<TaskRunId> runningOf(const std::string& id) const;

    // areOver() returns true if these jobs have ended and none of their tasks runs.
    bool areOver(const std::vector<std::string>& ids) const;

protected:
    // WriteFault is what happens to a write of the store. A write without an answer ends as ambiguous after a timeout.
    struct WriteFault {
        Duration effectDelay { 0 }; // if not zero, it takes effect that late, if its conditions hold then, and without an answer
        Duration answerDelay { 0 }; // during which other commands are delivered
        bool isAnswerLost { false };
    };
    using ChooseWriteFault = std::function<WriteFault(const std::string& host, const WriteStoredRows& write)>;

    // ChooseStopDelay is the time for which a run goes on after its worker has answered a stop.
    using ChooseStopDelay = std::function<Duration(const TaskRunId& run)>;

    // ChangeWork changes what a run does on its worker.
    using ChangeWork = std::function<void(const WorkerId& worker, SimulatedRun& work)>;
    // ChooseTaskDuration is the time after which a run ends by itself.
    using ChooseTaskDuration = std::function<Duration(const TaskRunId& run)>;

    // SentStart is a start that a host has sent to a worker.
    struct SentStart {
        std::string host;
        StartTask call;
        SimulatedRun work;
        Instant sentAt;
        bool isFromLeader { false }; // the host held the lease in the store
    };

    // BegunRun is a run that its worker has begun.
    struct BegunRun {
        SentStart start;
        Instant at;
    };

    void carryOut(const std::string& name, const SchedulerEffect& effect);
    void execute(const std::string& name, const WriteStoredRows& effect);
    void execute(const std::string& name, const ReadJobRows& effect);
    void execute(const std::string& name, const ReadRosters& effect);
    void execute(const std::string& name, const PollWorker& effect);
    void execute(const std::string& name, const StartTask& effect);
    void execute(const std::string& name, const StopTask& effect);
    void execute(const std::string& name, const SetTaskSpeed& effect);
    void execute(const std::string& name, const ReplyToClient& effect);
    void execute(const std::string& name, const FollowWorkers& effect);
    void execute(const std::string& name, const LogDecision& effect);
    void applyToStore(const std::string& name, const WriteStoredRows& write, const WriteFault& fault);
    void runHost(const std::string& name);
    void carryOutDelayedCalls();
    void carryOutSlowStarts();
    void deliverDelayedCommands(const std::vector<std::string>& names);
    void deliverHeldCommands(const std::string& name);
    bool isFrozen(const std::string& name) const;
    bool canReach(const std::string& name, const WorkerId& worker) const { return !this->crashed.contains(worker) && !this->cutLinks.contains({ name, worker }); }
    void deliverChanges(const std::string& name);
    void deliverRosters(const std::string& name);
    void deliverList(const std::string& name);
    void storeEvacuation(const std::string& dataCentre, bool isEvacuated);
    void deliverEvacuations(const std::string& name);
    RowVersion storeVersionAt(Instant time) const;
    WorkerCallStatus startOn(const SentStart& start);
    void deliverAfter(Duration delay, const std::string& name, SchedulerCommand command);
    StepDefinition stepOf(const TaskRunId& run) const;

    // DelayedReport is the result of a poll that has not been delivered to its host yet.
    struct DelayedReport {
        std::string host;
        PollEnded end;
        Instant due;
    };

    Instant now { std::chrono::hours(1) };
    Dispatcher::Options dispatcherOptions; // of hosts that are created later
    ClientRequests::Options clientRequestsOptions; // the same
    bool refusesHopeless { false }; // the same
    std::map<std::string, EntryHost> ownEntries; // the same, by host
    SimulatedStore store;
    std::map<std::string, std::unique_ptr<Scheduler>> hosts;
    std::map<std::string, RowVersion> followed;
    std::map<std::string, bool> isDisconnectedFromStore;
    std::map<std::string, Instant> frozenUntil; // by host
    std::map<std::string, std::vector<SchedulerCommand>> heldCommands; // of frozen hosts
    ChooseWriteFault chooseWriteFault; // none: every write is answered at once
    std::map<std::string, Duration> feedLag; // by which a host receives changes of the store late; reads and writes are answered at once
    std::map<std::string, Instant> rostersDue; // when the hosts that have asked for the rosters receive them
    std::map<std::string, Duration> rosterLag; // by which a host receives the rosters late
    std::set<StoredRowKey> unreadableRows; // rows of rosters that can't be decoded, and so are missing from what hosts receive
    std::map<std::string, Duration> listLag; // by which a host receives changes of the list of workers late
    std::vector<std::pair<Instant, RowVersion>> storeVersions; // after each transaction
    std::map<std::string, Duration> evacuationLag; // by which a host receives requests to evacuate data centres late
    std::vector<std::pair<Instant, EvacuationChange>> evacuations; // as stored, in the order of versions
    std::map<std::string, RowVersion> evacuationsFollowed; // by host
    std::map<std::string, Instant> listedUntil; // time up to which a host has received changes of the list
    std::map<WorkerId, SimulatedWorker> workers;
    std::set<WorkerId> unresponsive; // workers that do not answer polls
    bool shouldTasksFail { false };
    bool areProgressWritesRefused { false };
    bool shouldDeliverLists { true }; // whether hosts receive answers of the feed of workers
    Duration pollTimeout { std::chrono::milliseconds(20) }; // after which a poll without an answer ends
    ChangeWork changeWork; // none: runs do what the fixture says of all of them
    std::set<WorkerId> refusing; // workers that answer polls and refuse starts
    std::set<WorkerId> unlisted; // workers that are missing from the list
    std::set<WorkerId> unreachable; // workers to which polls can't be sent
    std::set<WorkerId> crashed; // workers whose process does not run
    std::set<WorkerId> replaced; // workers at whose address another one answers
    std::set<std::pair<std::string, WorkerId>> cutLinks; // hosts and workers between which calls have no effect and no answer
    WallTime workerStartTime { 1 }; // of workers that are added later; 0: they never give one
    std::vector<DelayedReport> delayedReports;
    // DelayedStart is a start that its worker carries out after the call has timed out.
    struct DelayedStart {
        SentStart start;
        Instant due;
    };
    std::vector<DelayedStart> delayedStarts;
    // SlowStart is a start that waits for the link of its host.
    struct SlowStart {
        SentStart start;
        Instant due;
    };
    std::deque<SlowStart> slowStarts;
    Duration startTransmission { 0 }; // time for which a start occupies the link of its host, on which they follow each other
    Duration startPropagation { 0 }; // time that a start takes from that link to its worker, and its answer back; only beside startTransmission
    // DelayedStop is a stop that its worker has answered and not carried out yet.
    struct DelayedStop {
        StopTask call;
        Instant due;
    };
    std::vector<DelayedStop> delayedStops;
    ChooseStopDelay chooseStopDelay; // none: a stop ends the run at once
    // DelayedWrite is a write that takes effect after the call has timed out.
    struct DelayedWrite {
        WriteStoredRows write;
        Instant due;
    };
    std::vector<DelayedWrite> delayedWrites;
    // DelayedCommand is a result that has not been delivered to its host yet, as a late answer or a timeout.
    struct DelayedCommand {
        std::string host;
        SchedulerCommand command;
        Instant due;
    };
    std::vector<DelayedCommand> delayedCommands;
    std::size_t maxConcurrentRuns { 0 }; // of one task on all workers, counted after each start
    int startsToDelay { 0 }; // number of next starts that get no answer and are carried out after startDelay
    Duration startDelay { std::chrono::seconds(2) };
    int pollsToLose { 0 }; // number of next polls that have an effect but get no answer
    int stopsToLose { 0 }; // number of next stops that get no answer and have no effect
    std::vector<ReplyToClient> replies;
    std::vector<StartTask> starts;
    std::vector<BegunRun> begunRuns; // in the order of time
    std::vector<LogDecision> log;
    Duration taskDuration { std::chrono::seconds(1) };
    ChooseTaskDuration chooseTaskDuration; // none: taskDuration
    SchedulingConfiguration configuration;
};

// stepOfTasks() returns a step of `count` tasks that need `cores` cores each.
StepDefinition stepOfTasks(std::uint32_t count, std::int64_t cores);

} // namespace dragonflytray
