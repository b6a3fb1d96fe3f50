#pragma once

// The decisions of one entry host. It accepts jobs, keeps a copy of the stored jobs, and schedules the tasks of the cells
// whose lease it holds.
//
// Scheduler is a pure state machine: it uses no clock, thread, socket or encoding. The owner passes the time with each
// command, carries out the effects, and reports their results as further commands.
//
// Example:
//
//     Scheduler scheduler({ .self = HostName("entry-1"), .home = place.name, .dataCentres = { place } });
//     SchedulerEffects effects = scheduler.handle(SubmitJobSteps { token, host, path, job }, now);
//     SchedulerView view = scheduler.ask(QueueQuery { host, path }, now);

#include "scheduling/cancellation_check.h"
#include "scheduling/cell_leadership.h"
#include "scheduling/client_requests.h"
#include "scheduling/dispatcher.h"
#include "scheduling/host_registration.h"
#include "scheduling/scheduling_queries.h"
#include "scheduling/unmatched_cancellations.h"
#include <array>

namespace dragonflytray {

// DataCentrePlace is a data centre with the region that it belongs to.
struct DataCentrePlace {
    DataCentreName name;
    RegionName region;
};

// LeadershipScope defines how the workers are divided into cells.
enum class LeadershipScope {
    Whole, // one cell for all workers
    Region, // one cell per region
    DataCentre, // one cell per data centre
};

inline constexpr NameTable leadershipScopeNames { std::to_array<NameEntry<LeadershipScope>>({
    { LeadershipScope::Whole, "whole" },
    { LeadershipScope::Region, "region" },
    { LeadershipScope::DataCentre, "data-centre" },
}) };
static_assert(leadershipScopeNames.isWhole(LeadershipScope::DataCentre));

// cellsOf() returns the cell of each data centre.
std::map<DataCentreName, CellName> cellsOf(const std::vector<DataCentrePlace>& places, LeadershipScope scope);

// Scheduler contains the state of one entry host. Not thread-safe: it belongs to one duty.
class Scheduler {
public:
    struct Options {
        HostName self;
        DataCentreName home; // of this host
        std::vector<DataCentrePlace> dataCentres; // of the whole platform
        LeadershipScope scope { LeadershipScope::Whole };
        double processorShare { 1 }; // of a core; larger hosts are preferred as leaders
        EntryHost ownEntry {}; // what this host says of itself; without an agent it says nothing
        Duration lostHostRetention { std::chrono::minutes(5) }; // of a host's row while its agent fails at every attempt
        Dispatcher::Options dispatcher {};
        CancellationCheck::Options cancellationCheck {};
        ClientRequests::Options clientRequests {};
        bool refusesHopeless { false }; // jobs that the forecast of their cell shows to miss their late limit
        AdmissionControl::Options admission {};
        Duration lease { std::chrono::milliseconds(1500) }; // of a cell's leader
        Duration remoteCellDelay { std::chrono::milliseconds(1200) }; // added to the acquisition delay by hosts outside the cell
        double fullSizeShare { 0.5 }; // of a core; a host of this size can lead the largest fleet that is planned
        Duration maxSizeDelay { std::chrono::milliseconds(300) }; // acquisition delay of the smallest host; covers differences in start time
        Duration maxNameDelay { std::chrono::milliseconds(80) }; // spreads hosts of equal size; a write takes less than a tenth of it
        Duration storeTimeout { std::chrono::milliseconds(2500) }; // a host without an answer of the store for this long is not ready
        Duration maxCountAge { std::chrono::seconds(2) }; // of a number of pending jobs, as callers are promised
        Duration endedJobRetention { std::chrono::minutes(5) }; // before the rows of an ended job are removed
        Duration removalInterval { std::chrono::seconds(10) }; // between two removals of ended jobs
        UnmatchedCancellations::Options unmatchedCancellations {};
        std::size_t maxJobsPerRemovalWrite { 30 }; // of three rows each; the platform accepts at most 100 entries per transaction
        double remoteCellCost { 0.15 }; // seconds by which loadOf() another cell must be lower for it to be chosen
    };

    explicit Scheduler(Options options);

    // handle() applies one command and returns the effects to carry out, in order.
    SchedulerEffects handle(const SchedulerCommand& command, Instant now);

    // ask() answers one query.
    SchedulerView ask(const SchedulerQuery& query, Instant now) const;

    // isHandedOver() returns true if the leases of all cells are released after BeginHandover.
    bool isHandedOver() const;

private:
    using CommandHandler = void (Scheduler::*)(const SchedulerCommand&, CommandContext&);
    using QueryHandler = SchedulerView (Scheduler::*)(const SchedulerQuery&, Instant) const;
    static const std::array<CommandHandler, schedulerCommandNames.size()> commandHandlers;
    static const std::array<QueryHandler, schedulerQueryNames.size()> queryHandlers;

    void submitJob(const SchedulerCommand& command, CommandContext& context);
    void requestCancellation(const SchedulerCommand& command, CommandContext& context);
    void lookUpJob(const SchedulerCommand& command, CommandContext& context);
    void refuseQueueQuery(const SchedulerCommand& command, CommandContext& context);
    void storedRowsRead(const SchedulerCommand& command, CommandContext& context);
    void rowsWriteEnded(const SchedulerCommand& command, CommandContext& context);
    void jobRowsRead(const SchedulerCommand& command, CommandContext& context);
    void rostersRead(const SchedulerCommand& command, CommandContext& context);
    void workersListed(const SchedulerCommand& command, CommandContext& context);
    void pollEnded(const SchedulerCommand& command, CommandContext& context);
    void taskCallEnded(const SchedulerCommand& command, CommandContext& context);
    void agentContact(const SchedulerCommand& command, CommandContext& context);
    void configurationFollowed(const SchedulerCommand& command, CommandContext& context);
    void evacuationsFollowed(const SchedulerCommand& command, CommandContext& context);
    void storeContact(const SchedulerCommand& command, CommandContext& context);
    void beginHandover(const SchedulerCommand& command, CommandContext& context);
    void tick(const SchedulerCommand& command, CommandContext& context);

    SchedulerView queueView(const SchedulerQuery& query, Instant now) const;
    SchedulerView readinessView(const SchedulerQuery& query, Instant now) const;
    SchedulerView summaryView(const SchedulerQuery& query, Instant now) const;

    // JobAddress is the queue and the job that the host and path of a call identify.
    struct JobAddress {
        const QueueRule* queue { nullptr };
        JobId job;
    };
    std::optional<JobAddress> resolve(ReplyToken token, const std::string& host, const std::string& path, CommandContext& context);

    // noteStoreAnswer() records that a read of the store was answered.
    void noteStoreAnswer(Instant now);

    // applyRow() applies one change of the store to the job cache, the dispatcher or the leadership of a cell.
    void applyRow(const StoredRowChange& change, CommandContext& context);
    void hostChanged(const StoredRowChange& change);
    void observeLease(const StoredRowChange& change, CommandContext& context);

    // applyLeadershipChange() starts or ends the scheduling of a cell.
    void applyLeadershipChange(const CellName& cell, LeadershipChange change, CommandContext& context);

    // applyLeaseResult() does so for the result of a read or write of the lease, which may show that a report is stored.
    void applyLeaseResult(const CellName& cell, LeadershipChange change, CommandContext& context);
    void loseCell(const CellName& cell, CommandContext& context);
    void storeRegained(CommandContext& context);

    // endExpiredLeaderships() gives up leaderships that have expired. It comes before each command, since a host that was
    // frozen may read answers of workers first.
    void endExpiredLeaderships(CommandContext& context);

    // maintainLeases() acquires, renews and releases leases that are due.
    void maintainLeases(CommandContext& context);

    // checkFencing() gives up leaderships whose calls a worker has rejected because it knows a higher epoch.
    void checkFencing(CommandContext& context);

    // chooseCell() returns the cell that should execute a new job: the home cell, unless another has clearly less load.
    CellName chooseCell(const JobDefinition& job, Instant now) const;

    // admit() decides by the forecast of the job's cell whether a new job is accepted, and refuses it if not.
    bool admit(ReplyToken token, const JobDefinition& job, CommandContext& context);

    // loadOf() returns the outstanding work of a cell in seconds of its whole capacity, plus penalties for a cell that has no
    // leader, lacks labels of the job, or is not the home cell.
    double loadOf(const CellName& cell, const JobDefinition& job, Instant now) const;

    void removeEndedJobs(CommandContext& context);
    void removeUnmatchedCancellations(CommandContext& context);
    void removeLostHosts(CommandContext& context);

    // checkCancellations() reads the cancellations of running jobs while the change feed is late. cancellationsChecked()
    // handles an answer to that.
    void checkCancellations(CommandContext& context);
    void cancellationsChecked(const RowsWriteEnded& end, CommandContext& context);

    Options options;
    JobCache jobCache;
    ClientRequests clientRequests;
    CancellationCheck cancellationCheck;
    AdmissionControl admissionControl;
    AdmissionCounts admissionCounts {};
    UnmatchedCancellations unmatchedCancellations;
    Dispatcher dispatcher;
    HostRegistration registration;
    std::map<CellName, CellLeadership> leaderships;
    CellName homeCell; // cell of this host's data centre
    SchedulingConfiguration configuration;
    RowVersion appliedVersion { 0 }; // of the store, up to which all changes have been applied
    bool hasReadStore { false }; // since the start of the process
    Instant lastJobsRead; // when changes of the stored jobs, or none, were last delivered
    Instant lastStoreAnswer;
    bool isStoreAnswering { true };
    WallTime wallTime { 0 }; // as of the last tick
    std::uint64_t nextWrite { 1 }; // number
    std::map<std::uint64_t, Instant> writesInFlight; // when each was sent, by number
    Instant nextRemovalAt;
    Instant nextCancellationRemovalAt;
    Instant nextHostRemovalAt;
    StageTimes stageTimes;
};

} // namespace dragonflytray
