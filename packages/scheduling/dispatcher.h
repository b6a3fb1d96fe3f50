#pragma once

// The leader of a cell: it places the tasks of jobs on workers, polls the workers, handles the ends of runs, and
// acknowledges an end to the worker only after the progress of the job has been recorded in the store.
//
// A new leader first reconciles with its predecessors: it fences the workers of the stored roster with its own epoch, adopts the
// runs that they report, and starts a task again only when no run of a former leader can be left. That a worker is not listed,
// does not answer or can't be reached says nothing about its runs. A leader that starts no more tasks on a worker names those
// that may still run there, so that a worker which is gone holds back only these.
//
// Example:
//
//     Dispatcher dispatcher({}, cellOf);
//     dispatcher.cellAcquired({ .cell = cell, .epoch = 3, .acquiredAt = version, .former = leadership.row() }, context);
//     dispatcher.storeFollowed(version, jobCache, context);
//     dispatcher.pollEnded(end, context);
//     dispatcher.tick(context);

#include "admission/admission.h"
#include "dispatch/dispatch.h"
#include "evacuation/evacuation.h"
#include "run_times/run_times.h"
#include "scheduling/best_effort_control.h"
#include "scheduling/cell_leadership.h"
#include "scheduling/cell_roster.h"
#include "scheduling/command_context.h"
#include "scheduling/crash_suspects.h"
#include "scheduling/crash_verdicts.h"
#include "scheduling/fleet.h"
#include "scheduling/former_runs.h"
#include "scheduling/job_execution.h"
#include "scheduling/placement.h"
#include "scheduling/planned_room.h"
#include "scheduling/recorder.h"
#include "scheduling/room_claims.h"
#include "scheduling/store_view.h"
#include "worker_health/worker_health.h"
#include <algorithm>
#include <array>
#include <span>

namespace dragonflytray {

// CellAcquired reports that this host holds the leader's lease of a cell.
struct CellAcquired {
    CellName cell;
    Epoch epoch { 0 };
    RowVersion acquiredAt { 0 }; // version of the write that took the lease; jobs accepted later have no runs of a former leader
    CellLease former; // the last report of the former leader
};

// Dispatcher runs the jobs of every cell that this host leads. It is pure: it adds effects to the context of a command
// and calls nothing itself. Not thread-safe.
class Dispatcher {
public:
    struct Options {
        Fleet::Options fleet {};
        Recorder::Options recorder {};
        BestEffortControl::Options bestEffort {};
        CrashSuspects::Options crashes {};
        CrashVerdicts::Options crashVerdicts {};
        Duration formerLeaderTimeout { std::chrono::seconds(5) }; // for which a former leader may act after its lease; equals CellLeadership::Options::storeOutageTimeout
        Duration maxLeaseAfterTerm { std::chrono::seconds(2) }; // for which a lease of a worker may outlast the time in which its grantor may act
        Duration maxJobsViewAge { std::chrono::seconds(2) }; // of what is known of jobs when a task is started; older views miss cancellations
        Duration maxWorkersViewAge { std::chrono::seconds(2) }; // the same of the list of workers; older views miss workers that began to drain
        Duration maxEvacuationsViewAge { 0 }; // the same of the operator's evacuations of data centres; 0: there are none
        DataCentreEvacuations::Options evacuations {};
        bool learnsRunTimes { false }; // run times of tasks correct the estimates from which the objectives of jobs follow
        bool judgesWorkers { false }; // workers that do worse than their peers get less work
        RunTimes::Options runTimes {};
        WorkerHealth::Options workerHealth {};
        bool sharesCapacity { false }; // queues of one priority share it; otherwise their jobs come in the order of their objectives
        QueueShares::Options queueShares {};
        bool publishesForecast { false }; // with the reports of its cells
        Duration storeSilenceTimeout { std::chrono::milliseconds(1500) }; // without any answer of the store, after which it counts as unavailable
        Duration pollWaitTimeout { std::chrono::milliseconds(1000) }; // for which a worker may delay its answer to a poll; at most a quarter of the lease
        Duration pollRetryDelay { std::chrono::milliseconds(150) }; // after a poll without an answer
        Duration unrecordedPollInterval { std::chrono::milliseconds(120) }; // between polls of a worker while its ends wait to be recorded
        Duration silentRunRetention { std::chrono::seconds(15) }; // of short runs after their lease on a worker that is listed but does not answer: their ends can still be read
        Duration renewalTimeout { std::chrono::milliseconds(1500) }; // for which leases of a worker that does not answer are still renewed
        Duration silenceReportTimeout { std::chrono::milliseconds(1500) }; // without an answer of a worker, after which it gets no more tasks and a report names those that may run there
        std::size_t maxTasksPerRosterPart { 1500 }; // named in a row of the roster; further workers stay there as if any task may run on them. A row of the store holds about 2,800
        std::size_t maxExposedRunsPerRosterPart { 500 }; // named there besides the tasks
        std::size_t maxRelocationsPerPass { 2 }; // long-running tasks that are moved off one draining worker at a time
        Duration relocationGrace { std::chrono::seconds(2) }; // of draining, after which tasks are stopped without room elsewhere, too, so that their ends are known before the worker leaves
        Duration startValidity { std::chrono::seconds(1) }; // after the decision to start a task, for which the start may be sent and carried out
        AgentChoice::Options agents {};
        DeliveryWindow::Options startWindow {}; // of starts under way to all workers; its target is half of startValidity, within which a start has to arrive
        std::size_t startOverheadBytes { 500 }; // of a start besides the job's spec and the checkpoint
        Duration lateStartMargin { std::chrono::seconds(1) }; // after the deadline of a start, for which the next incarnation of its worker, whose clock is behind, may still carry it out
        Duration stopTimeout { std::chrono::milliseconds(400) }; // within which a worker ends a run after a stop
        Duration stopRetryDelay { std::chrono::milliseconds(500) };
        Duration unhealthyCooldown { std::chrono::milliseconds(1500) }; // of a worker that reported itself unhealthy, rejected a start or could not be reached
        Duration noRoomCooldown { std::chrono::milliseconds(100) }; // of a worker that had no room for a start, or that a start could not reach in time
        Duration failureCooldown { std::chrono::seconds(4) }; // of a worker on which several runs in a row failed
        std::uint32_t failuresBeforeCooldown { 3 }; // failed runs in a row
        Duration failureAvoidanceTimeout { std::chrono::milliseconds(1500) }; // after a failed run, for which its task does not return to the worker
        Duration searchCooldown { std::chrono::milliseconds(100) }; // between searches for a worker for one task with placement constraints
        Duration dataLocalityTimeout { std::chrono::milliseconds(500) }; // for which a task waits for room in the rack that holds its data
        Duration roomClaimTimeout { std::chrono::milliseconds(750) }; // of a claim to the room of runs that are stopped; a stop and its report take less
        Duration clearingTimeout { std::chrono::milliseconds(2000) }; // of a claim to the room that short runs leave
        double maxClearedShare { 0.1 }; // share of the workers on which room that short runs leave may be claimed at a time
        Duration bestEffortWaitLimit { std::chrono::milliseconds(1000) }; // of a job with nothing running, after which one of its best-effort tasks may start at a reduced speed; users accept 3 s
        std::size_t maxUnplacedTasksPerPass { 48 }; // tasks that found no worker, after which a pass leaves the order of placement
        std::size_t maxUntriedTasksPerPass { 16 }; // further ones of the jobs that have not been tried for longest, after which it ends
        Duration lowHeadroomPollTimeout { std::chrono::milliseconds(350) }; // replaces pollWaitTimeout while best-effort tasks run beside a serving task near its target
        Duration longRunningYieldDelay { std::chrono::milliseconds(1500) }; // for which a long-running task leaves free room to short tasks
        Duration longRunningYieldTimeout { std::chrono::milliseconds(3000) }; // of absence, after which a long-running task is overdue; half of the absence that users accept
        Duration minLongRunningTime { std::chrono::seconds(4) }; // for which a long-running task runs after an absence before it may be evicted for a short one
        Duration longRunningTurn { std::chrono::seconds(8) }; // for which it runs before another long-running task may take its place
        Duration shortTaskWindow { std::chrono::seconds(5) }; // after the last start of a short task, in which more are expected
        double evictionDelayShare { 0.15 }; // share of a job's slack that a task waits before other runs are evicted for it
        double restartCostSeconds { 0.3 }; // seconds of work lost when a run with checkpoints is stopped
        std::size_t maxEvictionSearchesPerPass { 2 };
        Duration evictionSearchCooldown { std::chrono::milliseconds(100) }; // after a search that freed too little, for tasks that need as much or more
        Duration minPassInterval { std::chrono::milliseconds(10) }; // between two placement passes, however much changes
        double processorShare { 1 }; // of a core, that this host has
        double maxPlacementShare { 0.25 }; // of its processor that passes may take; a larger fleet or a smaller host makes fewer passes
        Duration passCostPerWorker { std::chrono::microseconds(1) }; // of a core, for one pass
        Duration searchCostPerWorker { std::chrono::nanoseconds(30) }; // of a core, for one search of a worker with room
        Duration evictionSearchCostPerWorker { std::chrono::nanoseconds(500) }; // of a core, for one search of runs to evict
        Duration waitReportThreshold { std::chrono::seconds(2) }; // for which a task waits before the log says why
        Duration waitReportInterval { std::chrono::seconds(1) };
        std::size_t maxWaitsPerReport { 8 };
        Duration idlePassInterval { std::chrono::milliseconds(50) }; // between two placement passes when nothing has changed
    };

    // `cellOf` maps each data centre to its cell.
    Dispatcher(Options options, const std::map<DataCentreName, CellName>& cellOf);

    // Commands. Those that take a context add their effects to it.

    // cellAcquired() reports that this host holds the lease of a cell. The cell is led once storeFollowed() and rostersRead() have
    // reached the version at which the lease was acquired.
    void cellAcquired(const CellAcquired& acquired, CommandContext& context);

    // leaseExtended() reports the end of the lease of a cell. Without the lease a leader goes on for a while, but a successor
    // may lead already.
    void leaseExtended(const CellName& cell, Instant leaseEnd);

    // cellLost() drops a cell and the executions of its jobs.
    void cellLost(const CellName& cell);

    // agentChanged() sets or removes a host that can deliver orders for this leader. agentContact() reports whether it has answered.
    void agentChanged(const HostName& host, const AgentCandidate* candidate) { this->agents.hostChanged(host, candidate); }
    void agentContact(const Endpoint& agent, bool isAnswering, CommandContext& context);

    // beginHandover() makes the next reports name the runs on all workers. No task is started on a worker after the first of them.
    void beginHandover() { this->isHandingOver = true; }

    // composeReport() returns the report of a cell for the next renewal of its lease, and marks the workers that it enrols or
    // closes; it is empty while the cell is not led. Tasks are started on a worker only once a report that enrols it is stored, and
    // no more on one that a report closes, since it names the only tasks that may run there. Linear in all workers and the runs on
    // closed ones, and in the jobs where Options::publishesForecast is set.
    CellReport composeReport(const CellName& cell, Instant now, WallTime wallTime);

    // reportStored() reports that the store holds a report of composeReport(). The first one that was composed after all
    // workers were fenced sets how far the store has to be followed before the cell is reconciled.
    void reportStored(const CellName& cell, const StoredReport& report);

    // rostersRead() applies the rosters of all cells as read from the store.
    void rostersRead(const RostersRead& read, const JobCache& jobCache, CommandContext& context);

    // writeCommitted() reports that any write of this host that was sent at `sentAt` was committed at `version`.
    void writeCommitted(RowVersion version, Instant sentAt);

    // storeFollowed() reports that `jobCache` holds every change up to `version`.
    void storeFollowed(RowVersion version, const JobCache& jobCache, CommandContext& context);

    // jobChanged() applies a record that has changed in the store: a new job, the progress that another leader
    // recorded, or a cancellation. The record must outlive its execution here.
    void jobChanged(const JobRecord& record, CommandContext& context);

    // cancellationStored() ends a job whose cancellation is known before the change feed shows it, since this host has stored
    // or read it. It has no effect on a job that is not in execution.
    void cancellationStored(const JobRecord& record, CommandContext& context);

    // jobRemoved() drops the execution of a job that was removed from the store.
    void jobRemoved(const JobId& job);

    // workersListed() applies changes of the list of workers, received at `now`.
    void workersListed(const WorkersListed& change, Instant now);

    // evacuationsFollowed() applies a read of the evacuations of data centres.
    void evacuationsFollowed(const EvacuationsDelivered& delivered, CommandContext& context);

    // storeAnswered() reports an answer of the store to any call.
    void storeAnswered(Instant now) { this->lastStoreAnswer = now; }

    // storeLost() reports that a read of the store's change feed has failed.
    void storeLost() { this->isStoreLost = true; }

    // storeRegained() reports that the store answers again.
    void storeRegained() { this->isStoreLost = false; }

    // pollEnded() handles the answer of a worker to a poll, or its absence.
    void pollEnded(const PollEnded& end, CommandContext& context);

    // taskCallEnded() handles the answer of a worker to a start or a stop, or its absence. Of a change of speed it
    // handles only that this host was fenced.
    void taskCallEnded(const TaskCallEnded& end, CommandContext& context);

    // writeEnded() handles the end of a write of progress. It returns the cells of the jobs that a leader with a higher
    // epoch has written.
    std::vector<CellName> writeEnded(const RowsWriteEnded& end, CommandContext& context);

    // configurationChanged() applies the rules of the configured queues, also to jobs that are accepted already. Queues
    // that are no longer configured keep their last rules.
    void configurationChanged(const SchedulingConfiguration& configuration);

    // tick() does what is due: it opens occurrences, places tasks, polls workers and writes progress.
    void tick(CommandContext& context);

    // Queries.

    // owns() says whether `write` is a write of progress in flight.
    bool owns(std::uint64_t write) const { return this->recorder.owns(write); }

    // leads() says whether this host leads a cell or waits to lead it.
    bool leads(const CellName& cell) const { return this->cells.contains(cell) || this->acquiredCells.contains(cell); }
    bool leadsAny() const { return !this->cells.empty() || !this->acquiredCells.empty(); }

    // isWaitingToLead() says whether the lease is held but the store is not followed far enough yet.
    bool isWaitingToLead(const CellName& cell) const { return this->acquiredCells.contains(cell); }

    // fencedEpoch() is the own epoch that a worker last rejected because it knows a higher one; nothing if none did
    // since a cell was last acquired.
    std::optional<Epoch> fencedEpoch() const { return this->lastFencedEpoch; }

    // isReportDue() says whether a report should be stored soon, since new workers wait to be enrolled or the cell to be
    // reconciled. Workers that answer again wait for the next renewal: a report is received by every host. Linear in all
    // workers.
    bool isReportDue(const CellName& cell, Instant now) const;

    // agentsFailedSince() returns the hosts that have failed to deliver at every attempt since `time` or before.
    std::vector<HostName> agentsFailedSince(Instant time) const { return this->agents.failedSince(time); }

    // isDelegating() says whether other hosts deliver the orders of this leader.
    bool isDelegating() const { return this->leadsAny() && this->agents.isDelegating(); }

    // startWindowBytes() is the number of bytes of starts that may be under way, startBytesUnderWay() of those that are.
    std::size_t startWindowBytes() const { return this->startWindow.bytes(); }
    std::size_t startBytesUnderWay() const { return this->startWindow.bytesUnderWay(); }

    // unrecordedJobs() is the number of jobs with progress that is not recorded.
    std::size_t unrecordedJobs() const { return this->recorder.unrecordedJobs(); }

    // viewedAt() is a time such that every change of jobs, workers and, where they are followed, evacuations that the store
    // acknowledged before it is known here; the default value if there is none yet.
    Instant viewedAt() const;

    // jobsViewedAt() is the same of jobs alone.
    Instant jobsViewedAt() const { return this->jobsView.asOf(); }

    // viewAge() is the time since viewedAt() in ms; nothing if there is none yet.
    std::optional<std::int64_t> viewAge(Instant now) const;

    // followsEvacuations() says whether data centres of this deployment may be evacuated.
    bool followsEvacuations() const { return this->options.maxEvacuationsViewAge > Duration(0); }

    // mayStartTasks() says whether tasks may be started: what is known of jobs, workers and evacuations is recent, or was when the store
    // last answered. While it does not, hosts without it can't accept changes, and one that reaches it soon fences this host.
    bool mayStartTasks(Instant now) const;

    // evacuations() are the evacuations of data centres that are known here. evacuatedRuns() is the number of runs on workers there.
    // Linear in all workers.
    const DataCentreEvacuations& evacuations() const { return this->dataCentreEvacuations; }
    std::size_t evacuatedRuns() const;

    // health() is what is known of workers that do worse than their peers, observedRunTimes() the run times of tasks. Both are empty
    // unless they are asked for.
    bool judgesWorkers() const { return this->options.judgesWorkers; }
    bool learnsRunTimes() const { return this->options.learnsRunTimes; }
    const WorkerHealth& health() const { return this->workerHealth; }
    const RunTimes& observedRunTimes() const { return this->runTimes; }

    // queueDebts() is what the queues of this leader take, and how far they are ahead of each other; empty unless
    // Options::sharesCapacity is set.
    std::vector<QueueDebt> queueDebts() const { return this->queueShares.debts(); }

    // activeJobs() is the number of jobs in execution.
    std::size_t activeJobs() const { return this->jobExecutions.size(); }

    // runningTasks() is the number of runs on all workers. Linear in all workers.
    std::size_t runningTasks() const;

    // runningJobs() returns the jobs in execution that have not ended and have runs on workers. Linear in all runs.
    std::vector<JobId> runningJobs() const;

private:
    // Cell is one cell that this host leads.
    struct Cell {
        Epoch epoch { 0 };
        RowVersion acquiredAt { 0 };
        Instant leadingSince {};
        Instant leaseEnd {}; // of the own lease of the cell
        Instant formerLeaseEnd {}; // by which every lease that a former leader granted has expired
        bool isRosterComplete { false }; // the former leader's runs are on workers of the roster, or in `formerRuns`
        bool areWorkersFenced { false }; // no worker has runs of former leaders that are neither known here nor in `formerRuns`
        std::uint64_t reconciliationReport { 0 }; // first report composed after that; 0: none yet
        RowVersion reconciliationVersion { 0 }; // of that report, up to which the store has to be followed first; 0: not known yet
        bool isReconciled { false }; // every run of former leaders is accounted for
        FormerRuns formerRuns {}; // believed alive until their worker answers or the leases of former leaders have expired
    };

    // beginToLeadFollowed() begins to lead the acquired cells of which the jobs and the roster are known. inheritWorkers() adds the
    // workers on which former leaders may have started tasks. beginToLead() opens the jobs of a cell that are stored and not ended.
    void beginToLeadFollowed(const JobCache& jobCache, CommandContext& context);
    void inheritWorkers(const CellAcquired& acquired, Cell& cell);
    void beginToLead(const CellAcquired& acquired, const JobCache& jobCache, CommandContext& context);

    // Ends of runs. handleEnd() applies one reported end and keeps it for acknowledgement, which acknowledge() does once
    // isRecorded(). releaseTask() makes a task wait again after a run without success; stopGang() stops the other members
    // of a gang.
    void handleEnd(FleetWorker& worker, const EndedRun& end, CommandContext& context);
    void handleDone(JobExecution& job, const TaskId& task, CommandContext& context);
    void handleFailure(JobExecution& job, FleetWorker& worker, const EndedRun& end, CommandContext& context);
    // mayCoolAfterFailures() keeps half of the workers of a service in use: if most of them fail, the cause is unlikely to be the
    // workers.
    bool mayCoolAfterFailures(const FleetWorker& worker, Instant now);
    void releaseTask(JobExecution& job, const TaskRunId& run, const std::string& checkpoint, CommandContext& context);
    void stopGang(JobExecution& job, const TaskId& task, CommandContext& context);
    void acknowledge(FleetWorker& worker, CommandContext& context);
    bool isRecorded(const UnacknowledgedEnd& end) const;

    // Reports of workers. adoptIncarnation() gives up the runs that an earlier incarnation has confirmed. reconcileRuns()
    // compares what a worker reports with what it is believed to run: runs of former leaders are adopted, or kept as orphaned
    // until their step opens; unwanted ones are stopped; missing ones are stopped or given up by markRunLost().
    void adoptIncarnation(FleetWorker& worker, const PollEnded& end, CommandContext& context);
    void reconcileRuns(FleetWorker& worker, const PollEnded& end, CommandContext& context);
    void confirmRun(FleetWorker& worker, const RunningTask& task, RunAllocation& allocation, CommandContext& context);
    bool isUnwanted(const FleetWorker& worker, const TaskRunId& run);
    void adoptRun(FleetWorker& worker, const RunningTask& task, CommandContext& context);
    void adoptOrphanedRuns(JobExecution& job, CommandContext& context);
    void handleMissingRun(FleetWorker& worker, const TaskRunId& run, const PollEnded& end, CommandContext& context);
    void throttleBestEffort(FleetWorker& worker, CommandContext& context);
    void applyStartSpeed(const FleetWorker& worker, const TaskRunId& run, CommandContext& context); // call it once a run is confirmed
    void setSpeed(const FleetWorker& worker, const SpeedChange& change, CommandContext& context);
    void markRunLost(FleetWorker& worker, const TaskRunId& run, RunLossCause cause, CommandContext& context);
    // After a restart of a worker, markFormerRunsLost() gives up the runs that were confirmed before the poll was sent.
    // expectLateStarts() lets the others be stopped again: their starts may still arrive at the new incarnation.
    void markFormerRunsLost(FleetWorker& worker, const PollEnded& end, CommandContext& context);
    void expectLateStarts(FleetWorker& worker, CommandContext& context);
    void markRunsLost(FleetWorker& worker, RunLossCause cause, CommandContext& context);
    // giveUpLapsedRuns() gives up the runs of a silent worker whose lease has expired. A worker that goes on listing itself keeps the
    // ends of its runs, so that a short run which may have ended as done is kept for longer: markRunLapsed() records that it does not run.
    void giveUpLapsedRuns(FleetWorker& worker, CommandContext& context);
    void markRunLapsed(const FleetWorker& worker, const TaskRunId& run, CommandContext& context);
    void handleFailedPoll(FleetWorker& worker, const PollEnded& end, CommandContext& context);

    // Crashes of workers. endOf() returns the end of a worker with the runs that may have caused it, before these are given up;
    // attributeCrash() counts it against their tasks, and attributeLapsedRuns() does so for runs that were given up before the worker
    // answered again. judgeCrashes() passes the verdicts that are due, and giveUpCrashedTasks() fails the job of a task that has
    // crashed too many workers, also under former leaders. A long-running task is not given up, but starts with a delay. settleRuns() acquits suspects, a gang once
    // isWholeRunSettled(). admissionOf() restricts the workers on which a task is placed; reserveWorker() returns true if one is kept
    // for a suspect. crashObstacleTo() is what forbids a start of a suspect.
    WorkerEnd endOf(const FleetWorker& worker, const PollEnded& end, Instant now) const;
    void recordContactLoss(const FleetWorker& worker, Instant now);
    std::vector<TaskRunId> crashSuspectsAmong(std::vector<TaskRunId> runs);
    void attributeLapsedRuns(const FleetWorker& worker, bool isOtherIncarnation, WallTime startedAt, CommandContext& context);
    void attributeCrash(const FleetWorker& worker, const WorkerEnd& end, CommandContext& context);
    void judgeCrashes(CommandContext& context);
    bool isCrashLimitReached(const JobExecution& job, const TaskId& suspect) const;
    void giveUpCrashedTasks(JobExecution& job, CommandContext& context);
    void giveUp(JobExecution& job, const TaskId& suspect, CommandContext& context);
    void settleRuns(FleetWorker& worker, const PollEnded& end, CommandContext& context);
    bool isWholeRunSettled(JobExecution& job, const TaskRunId& run);
    std::optional<PlacementOutcome> crashObstacleTo(JobExecution& job, const TaskId& task, Instant now) const;
    static bool isCrashSuspect(const JobExecution& job, const TaskId& task);
    static bool isCrashRecorded(JobExecution& job, const TaskId& task);
    std::function<bool(const FleetWorker&)> admissionOf(const JobExecution& job, const TaskId& task) const;
    bool reserveWorker(JobExecution& job, const TaskId& task, Instant now);

    // Observation of runs, for RunTimes and WorkerHealth. observeStart() and observeEnd() report the start and the end of a run; call
    // the latter before its allocation is released. judgeWorkers() logs what WorkerHealth has found, and applyHealth() restricts
    // placement by it, linear in all workers while it has found something. Only tasks that end by themselves and alone are observed, and
    // may be probes.
    static PeerGroupName peersOf(const FleetWorker& worker);
    static RunResult runResultOf(RunOutcome outcome);
    static RunResult runResultOf(WorkerCallStatus status); // of a start that was not accepted
    bool mayProbe(const JobExecution& job, const TaskId& task) const;
    void observeStart(const JobExecution& job, const TaskId& task, FleetWorker& worker, RunAllocation& allocation, Instant now);
    void observeEnd(FleetWorker& worker, const TaskRunId& run, RunResult result, Instant now);
    void judgeWorkers(CommandContext& context);
    void applyHealth(Instant now);
    Duration expectedRunTime(const JobDefinition& job, std::uint32_t step) const;
    Duration expectedCriticalPath(const JobDefinition& job) const;

    // Relocation of long-running tasks from draining workers. relocateRuns() stops those that have room elsewhere, which they claim,
    // besides what `plannedRoom` holds for others, and all of them after Options::relocationGrace. planAbsentTasks() plans room for the
    // long-running tasks that wait or are being stopped.
    void relocateFromDrainingWorkers(CommandContext& context);
    void relocateRuns(FleetWorker& worker, std::optional<PlannedRoom>& plannedRoom, CommandContext& context);
    void planAbsentTasks(PlannedRoom& plannedRoom, Instant now);
    void planAbsentTasks(JobExecution& job, const StepExecution& stepExecution, PlannedRoom& plannedRoom, Instant now);

    // Calls to workers.
    // endDelivery() takes a start from those under way.
    void endDelivery(const TaskCallEnded& end, CommandContext& context);
    void handleStartEnded(FleetWorker& worker, const TaskCallEnded& end, CommandContext& context);
    void handleStopEnded(FleetWorker& worker, const TaskCallEnded& end, CommandContext& context);
    void pollWorkers(CommandContext& context);
    void poll(FleetWorker& worker, CommandContext& context);
    // possibleTasksOn() returns the tasks that a successor may not take for free while it has not heard the worker: those with
    // runs there, those whose end is read and not stored and mayForbidNextRun(), and those that former leaders named. One end stands
    // for all tasks of a gang.
    std::set<TaskId> possibleTasksOn(const Cell& cell, const FleetWorker& worker) const;
    bool mayForbidNextRun(const UnacknowledgedEnd& end) const; // it may be one as done, or as failed of a task whose attempts are limited
    std::set<TaskId> tasksEndedBy(const UnacknowledgedEnd& end) const;
    std::int64_t capacityOf(const CellName& name) const;
    std::vector<std::string> labelsOf(const CellName& name) const;
    void logWorkerGone(const FleetWorker& worker, const Cell& cell, CommandContext& context);
    bool mayPoll(const FleetWorker& worker, Instant now) const;
    // isFencedByOther() returns true if a call was rejected for the token of another leader, not for one that this leader has sent
    // since, after a restart of the worker.
    static bool isFencedByOther(const FleetWorker& worker, const FencingToken& token, WorkerCallStatus status);
    Duration grantableLease(const FleetWorker& worker, Instant now) const;
    Duration pollWait(const FleetWorker& worker, Duration granted, Instant now) const; // for which a worker may delay its answer to a poll with a lease
    void stopRun(FleetWorker& worker, const TaskRunId& run, const char* cause, CommandContext& context);
    WorkerAddress addressOf(const FleetWorker& worker, Instant now);
    // chargeStart() records that `agent` receives the spec of a job, which it does once, and returns the bytes of the start.
    std::size_t chargeStart(JobExecution& job, const TaskExecution& taskExecution, const Endpoint& agent);
    void countWorkers();

    // Jobs. advance() completes a job or opens the steps that are due. markDirty() queues changed progress for recording.
    // queueRuleOf() is the configured rule of a job's queue, or the one under which the job was accepted.
    void openJob(const JobRecord& record, const Cell& cell, CommandContext& context);
    void advance(JobExecution& job, CommandContext& context);
    void markRunning(JobExecution& job, const TaskId& task, CommandContext& context); // call it once a run is confirmed
    void finish(JobExecution& job, JobPhase phase, CommandContext& context);
    void stopTasks(JobExecution& job, const char* cause, CommandContext& context);
    void markDirty(JobExecution& job);
    void removeFinishedJobs(CommandContext& context);
    JobExecution* findJobExecution(const JobId& job);
    const QueueRule& queueRuleOf(const JobExecution& job) const;

    // reportWaits() logs why the tasks that have waited longest do not run, the long-running ones first: their stage, or the obstacle
    // that the last pass met at their step.
    void reportWaits(CommandContext& context);
    void addBestEffortInputs(JobExecution& job, const TaskId& task, Instant now, LogDecision& line);
    PlacementOutcome obstacleOf(const StepExecution& stepExecution) const;

    // Runs of former leaders. A cell is reconciled when all workers on which any task may run are fenced and the store is followed
    // beyond that, or when the leases of former leaders have expired. Then tasks may be started that have no known run and are not
    // in Cell::formerRuns. accountForWorker() records that the runs on a worker are known, accountForTasks() applies what is left
    // in Cell::formerRuns to the jobs.
    void accountForWorker(FleetWorker& worker);
    void accountForTasks(const CellName& name, const Cell& cell, Instant now);
    // boundLease() sets FleetWorker::reportedLease for a report that closes the worker, or takes it back. Leases are bounded on workers
    // that don't answer for a while or, when this leader hands over, that may be gone.
    void boundLease(const Cell& cell, FleetWorker& worker, bool isClosed, std::uint64_t report, Instant now) const;
    // nameExposedRuns() names the runs that may crash the worker, or have, before a successor hears it, while the part has room for them.
    // hasLostContactAtOnceAfterStart() says whether a run has probably just ended the worker. A successor has to know that at once.
    bool hasLostContactAtOnceAfterStart(const FleetWorker& worker, Instant now) const;
    void nameExposedRuns(const FleetWorker& worker, std::size_t& namedInPart, RosterEntry& entry) const;
    void reconcileCells(CommandContext& context);
    void reconcile(const CellName& name, Cell& cell, bool haveLeasesExpired, CommandContext& context);
    bool hasUnknownRuns(const CellName& name) const;
    std::vector<DecisionInputValue> takeoverInputs(const CellName& name, const Cell& cell) const;

    // Placement. placeTasks() makes a pass over the waiting tasks, unless the last one was too recent or starts are paused,
    // as updatePause() decides. A pass begins with placeClaimants(): it starts the tasks whose claimed room is complete, and holds the
    // free part of the others' room until the pass ends. Then it tries overdue tasks, and all others, under limits of their own.
    // A waiting long-running task yields free room to short tasks while mayYield(), for Options::longRunningYieldDelay after room was
    // found (isYielding()). An overdue one takes the place of another one that has had its turn, or claims room that short runs leave.
    struct PlacementPass;
    Duration passInterval() const;
    void updatePause(CommandContext& context);
    // applyEvacuations() restricts the workers of data centres that are evacuated or fill up again. Linear in all workers while there
    // are any.
    void applyEvacuations(Instant now);
    void logEvacuation(DecisionEvent event, const EvacuationTransition& transition, CommandContext& context) const;
    void placeTasks(CommandContext& context);
    void placeClaimants(PlacementPass& pass, CommandContext& context);
    void holdRoom(const JobExecution& job, const RoomClaim& claim, PlacementPass& pass);
    void claimRoom(const JobExecution& job, RoomClaim claim, PlacementPass& pass);
    // PlacementOrder is the jobs with waiting tasks in the order in which a pass tries them, and those with overdue tasks.
    struct PlacementOrder {
        std::vector<JobExecution*> overdueJobs;
        std::vector<JobExecution*> jobs;
    };
    PlacementOrder placementOrder(CommandContext& context);
    // PlacementEntry is a job with waiting tasks and what its place in the order depends on.
    struct PlacementEntry {
        int rank { 0 };
        Instant deadline;
        JobExecution* job { nullptr };
    };
    // shareCapacity() reorders sorted entries of equal rank by the shares of their queues. Long-running and best-effort jobs keep their
    // places. Linear in the jobs in execution.
    void shareCapacity(std::vector<PlacementEntry>& entries, CommandContext& context);
    void followQueueUses(Instant now);
    void reportQueueDebts(CommandContext& context);
    // forecastOf() returns the forecast of a cell; nothing until the runs of former leaders are accounted for.
    std::optional<Forecast> forecastOf(const CellName& name, Instant now, WallTime wallTime) const;
    void addPrecedingWork(JobExecution& job, Instant now, Forecast& forecast) const;
    // placeJobs() and placeStep() try the overdue tasks, or all others. placeJobs() returns the number of jobs that it tried before
    // Options::maxUnplacedTasksPerPass found no worker.
    std::size_t placeJobs(const std::vector<JobExecution*>& jobs, bool areOverdue, PlacementPass& pass, CommandContext& context);
    // placeLongestUntried() tries the jobs that have not been tried for longest, so that the number of passes which don't reach a
    // job is bounded however many earlier jobs find no worker.
    void placeLongestUntried(std::span<JobExecution* const> jobs, PlacementPass& pass, CommandContext& context);
    void placeJob(JobExecution& job, bool areOverdue, PlacementPass& pass, CommandContext& context);
    // isOverdue() says whether a long-running task waits that has been absent for Options::longRunningYieldTimeout. overdueSince() is the
    // least recent begin of absence of such a task of a job.
    bool isOverdue(const StepDefinition& step, const TaskExecution& taskExecution, Instant now) const;
    std::optional<Instant> overdueSince(JobExecution& job, Instant now) const;
    // obstacleTo() is what forbids a start of the task wherever there is room.
    std::optional<PlacementOutcome> obstacleTo(JobExecution& job, const TaskId& task, Instant now) const;
    // hasWaitedTooLong() says whether nothing of the job has been at work for Options::bestEffortWaitLimit.
    bool hasWaitedTooLong(const JobExecution& job, Instant now) const;
    // minSpeedPercentFor() is the share of its full speed below which a best-effort task is not started. Once its job has waited too
    // long, any speed at which it may run will do.
    int minSpeedPercentFor(const JobExecution& job, const StepDefinition& step, Instant now) const;
    void placeStep(JobExecution& job, StepExecution& stepExecution, bool areOverdue, PlacementPass& pass, CommandContext& context);
    PlacementRequest requestFor(JobExecution& job, const TaskId& task, Instant now);
    FleetWorker* findWorker(JobExecution& job, const TaskId& task, Instant now);
    bool mayIgnoreDataLocality(const StepDefinition& step, const TaskExecution& taskExecution, Instant now) const;
    PlacementOutcome placeGang(JobExecution& job, StepExecution& stepExecution, PlacementPass& pass, CommandContext& context);
    // findGangWorkers() returns the workers for the members of a gang, in their order; fewer if not all of them find one.
    std::vector<FleetWorker*> findGangWorkers(JobExecution& job, const StepExecution& stepExecution, const std::set<std::string>& excludedRacks, Instant now);
    PlacementOutcome placeTask(JobExecution& job, const TaskId& task, PlacementPass& pass, CommandContext& context);
    void startTask(JobExecution& job, const TaskId& task, FleetWorker& worker, std::uint64_t run, CommandContext& context);
    bool evictFor(const JobExecution& job, const TaskId& task, const PlacementRequest& request, PlacementPass& pass, CommandContext& context);
    bool clearWorkerFor(const JobExecution& job, const TaskId& task, PlacementRequest request, PlacementPass& pass);
    bool mayEvictFor(const JobExecution& job, const StepDefinition& step, const TaskExecution& taskExecution, Instant now);
    RunAllocation allocationFor(const JobExecution& job, const StepDefinition& step) const;
    bool hasOrphanedRun(const TaskId& task) const;
    bool mayStartAgain(const JobExecution& job, const TaskExecution& taskExecution, Instant now) const;
    bool mayYield(const StepDefinition& step, const TaskExecution& taskExecution, Instant now) const;
    bool isYielding(const TaskExecution& taskExecution, Instant now) const;
    std::uint32_t countRunsOfStep(const TaskId& task, const WorkerId& worker);

    Options options;
    Fleet fleet;
    Recorder recorder;
    AgentChoice agents;
    DeliveryWindow startWindow;
    // StartUnderWay is a start whose call has not ended.
    struct StartUnderWay {
        std::size_t bytes { 0 };
        Instant decidedAt;
    };
    std::map<TaskRunId, StartUnderWay> startsUnderWay;
    BestEffortControl bestEffortControl;
    CrashSuspects crashSuspects;
    CrashVerdicts crashVerdicts;
    JobExecutions jobExecutions;
    std::map<CellName, CellAcquired> acquiredCells; // until the store is followed up to their acquisition
    std::map<CellName, Cell> cells;
    std::map<CellName, CellRoster> rosters;
    std::uint64_t lastReport { 0 }; // number
    bool isHandingOver { false }; // beginHandover() was called
    std::map<QueueName, QueueRule> queues;
    RowVersion followedVersion { 0 };
    RowVersion rostersReadAt { 0 }; // version that the rosters were last read at
    StoreView jobsView;
    StoreView workersView;
    StoreView evacuationsView;
    DataCentreEvacuations dataCentreEvacuations;
    bool areWorkersRestricted { false }; // by the last applyEvacuations()
    RunTimes runTimes;
    WorkerHealth workerHealth;
    bool areSuspectsRestricted { false }; // by the last applyHealth()
    std::optional<WallTime> nextOccurrenceDue; // when the next occurrence of any job is due
    std::optional<Epoch> lastFencedEpoch; // own epoch that a worker rejected
    std::set<WorkerId> workersWithUnacknowledgedEnds; // ends handled but not yet recorded
    std::map<TaskRunId, WorkerId> orphanedRuns; // runs on workers that belong to no open task
    Instant lastStoreAnswer; // to any call
    bool isStoreLost { false }; // the last read of the change feed failed
    bool areStartsPaused { false }; // !mayStartTasks() at the last placement pass
    bool needsPass { false }; // something has changed since the last placement pass
    // FailedEvictionSearch is a search for runs to evict that could not free enough.
    struct FailedEvictionSearch {
        CellName cell;
        ServiceName service;
        TaskResources need;
        bool isLongRunning { false };
        bool isOverdue { false };
        int priority { 0 };
        Instant until;
    };
    std::vector<FailedEvictionSearch> failedEvictionSearches;
    RoomClaims roomClaims;
    QueueShares queueShares;
    Instant nextDebtReportAt;
    Instant lastPass;
    std::chrono::duration<double> lastPassCost { 0 }; // of a core, for the last pass, as estimated from its searches
    Instant nextWaitReportAt;
    Instant lastShortTaskStart; // of a task that is neither long-running nor best-effort
    std::map<JobId, Instant> finishedJobs; // jobs with a final phase that still have runs or unrecorded progress, and when they ended
};

} // namespace dragonflytray
