#pragma once

// What one entry host decides: as the taker of jobs, as a follower of what is stored, and as the leader of
// the cells whose lease it holds.
//
// Scheduler is pure: it knows no clock, thread, socket or encoding.
//
// Example:
//
//     Scheduler scheduler({ .self = HostName("entry-1"), .home = place.name, .dataCentres = { place } });
//     SchedulerEffects effects = scheduler.handle(SubmitJobSteps { token, host, path, job }, now);
//     SchedulerView view = scheduler.ask(QueueQuery { host, path }, now);

#include "scheduling/cell_leadership.h"
#include "scheduling/client_requests.h"
#include "scheduling/dispatcher.h"
#include "scheduling/scheduling_queries.h"
#include <array>

namespace dragonflytray {

// DataCentrePlace is one data centre and its region.
struct DataCentrePlace {
    DataCentreName name;
    RegionName region;
};

// LeadershipScope says what one leader decides for.
enum class LeadershipScope {
    Whole, // every worker
    Region,
    DataCentre,
};

inline constexpr NameTable leadershipScopeNames { std::to_array<NameEntry<LeadershipScope>>({
    { LeadershipScope::Whole, "whole" },
    { LeadershipScope::Region, "region" },
    { LeadershipScope::DataCentre, "data-centre" },
}) };
static_assert(leadershipScopeNames.isWhole(LeadershipScope::DataCentre));

// cellsOf() is the cell of each data centre.
std::map<DataCentreName, CellName> cellsOf(const std::vector<DataCentrePlace>& places, LeadershipScope scope);

// Scheduler owns what one entry host knows. Not thread-safe: one duty owns it.
class Scheduler {
public:
    struct Options {
        HostName self;
        DataCentreName home; // the data centre of this host
        std::vector<DataCentrePlace> dataCentres;
        LeadershipScope scope { LeadershipScope::Whole };
        double processorShare { 1 }; // of a core; larger hosts lead first
        Dispatcher::Options dispatcher {};
        ClientRequests::Options clientRequests {};
        Duration lease { std::chrono::milliseconds(1500) }; // of a cell's leader
        Duration foreignDelay { std::chrono::milliseconds(1200) }; // a host outside the cell waits longer by this
        double fullShare { 0.5 }; // of a core; a host of this size can lead the largest fleet that is planned
        Duration sizeSpread { std::chrono::milliseconds(300) }; // by which the smallest host takes a lease later; hosts start within it
        Duration nameSpread { std::chrono::milliseconds(80) }; // over which hosts of one size try; a write takes under a tenth of it
        Duration storeTimeout { std::chrono::milliseconds(2500) }; // without an answer of the store the host is not ready
        Duration retention { std::chrono::minutes(5) }; // of ended jobs
        Duration sweepInterval { std::chrono::seconds(10) }; // between two removals of ended jobs
        std::size_t removalsInWrite { 30 }; // jobs
        double foreignCost { 0.15 }; // load that another cell must be lower by to be chosen
    };

    explicit Scheduler(Options options);

    // handle() changes the state by one command and returns what has to be done.
    SchedulerEffects handle(const SchedulerCommand& command, Instant now);

    // ask() answers one query from the state.
    SchedulerView ask(const SchedulerQuery& query, Instant now) const;

    // isHandedOver() says whether every lease is given up after BeginHandover.
    bool isHandedOver() const;

private:
    using Handler = void (Scheduler::*)(const SchedulerCommand&, CommandContext&);
    using Answerer = SchedulerView (Scheduler::*)(const SchedulerQuery&, Instant) const;
    static const std::array<Handler, schedulerCommandNames.size()> handlers;
    static const std::array<Answerer, schedulerQueryNames.size()> answerers;

    void submitJob(const SchedulerCommand& command, CommandContext& context);
    void requestCancellation(const SchedulerCommand& command, CommandContext& context);
    void lookUpJob(const SchedulerCommand& command, CommandContext& context);
    void storedRowsRead(const SchedulerCommand& command, CommandContext& context);
    void rowsWriteEnded(const SchedulerCommand& command, CommandContext& context);
    void jobRowsRead(const SchedulerCommand& command, CommandContext& context);
    void workersListed(const SchedulerCommand& command, CommandContext& context);
    void pollEnded(const SchedulerCommand& command, CommandContext& context);
    void taskCallEnded(const SchedulerCommand& command, CommandContext& context);
    void configurationFollowed(const SchedulerCommand& command, CommandContext& context);
    void storeContact(const SchedulerCommand& command, CommandContext& context);
    void beginHandover(const SchedulerCommand& command, CommandContext& context);
    void tick(const SchedulerCommand& command, CommandContext& context);

    SchedulerView queueView(const SchedulerQuery& query, Instant now) const;
    SchedulerView readinessView(const SchedulerQuery& query, Instant now) const;
    SchedulerView summaryView(const SchedulerQuery& query, Instant now) const;

    // JobAddress is a queue and the id of a job in it, as a caller's host and path name them.
    struct JobAddress {
        const QueueRule* queue { nullptr };
        JobId job;
    };
    std::optional<JobAddress> resolve(ReplyToken token, const std::string& host, const std::string& path, CommandContext& context);

    void followRow(const StoredRowChange& change, CommandContext& context);
    void observeLease(const StoredRowChange& change, CommandContext& context);
    void applyLeadershipChange(const CellName& cell, LeadershipChange change, const std::vector<TaskId>& unconfirmed, CommandContext& context);
    void loseCell(const CellName& cell, CommandContext& context);
    void storeRegained(CommandContext& context);
    void keepLeases(CommandContext& context);
    void checkFence(CommandContext& context);
    CellName chooseCell(const JobDefinition& job, Instant now) const;
    double loadOf(const CellName& cell, const JobDefinition& job, Instant now) const;
    void removeEnded(CommandContext& context);

    Options options;
    JobCache jobCache;
    ClientRequests clientRequests;
    Dispatcher dispatcher;
    std::map<CellName, CellLeadership> leaderships;
    CellName homeCell;
    SchedulingConfiguration configuration;
    RowVersion followed { 0 };
    bool hasFollowed { false };
    Instant lastStoreAnswer;
    bool isStoreAnswering { true };
    WallTime wallTime { 0 };
    std::uint64_t nextWrite { 1 };
    Instant nextSweep;
    StageTimes stageTimes;
};

} // namespace dragonflytray
