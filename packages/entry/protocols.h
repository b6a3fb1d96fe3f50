#pragma once

// The encodings that a scheduler daemon needs towards callers, workers and the store, as tables of
// functions. The duties own connections, time-outs and rings; a front end brings one table of each kind.
//
// Example:
//
//     SchedulerDaemon daemon(settings, { &callerProtocol, &workerProtocol, &storeProtocol });

#include "scheduling/scheduling.h"
#include "transport/transport.h"

namespace dragonflytray {

// CallerCall is one decoded call of a caller. ReplyStatus: the call can't be understood.
using CallerCall = std::variant<SubmitJobSteps, RequestCancellation, LookUpJob, QueueQuery, ReplyStatus>;

// HttpOutcome is how a send ended.
using HttpOutcome = tl::expected<HttpResponse, SendFailure>;

// CallerProtocol decodes what callers send and encodes what they get. All functions are pure.
struct CallerProtocol {
    CallerCall (*decode)(const HttpRequest& request, ReplyToken token);
    HttpResponse (*encodeReply)(const ReplyToClient& reply);
    HttpResponse (*encodeQueue)(const QueueView& view);
    bool (*isReadinessProbe)(const HttpRequest& request);
};

// WorkerProtocol encodes calls to workers and decodes their answers. All functions are pure.
struct WorkerProtocol {
    HttpRequest (*encodePoll)(const PollWorker& call);
    HttpRequest (*encodeStart)(const StartTask& call);
    HttpRequest (*encodeStop)(const StopTask& call);
    HttpRequest (*encodeSetSpeed)(const SetTaskSpeed& call);
    PollEnded (*decodePoll)(const HttpOutcome& outcome);
    WorkerCallStatus (*decodeCall)(const HttpOutcome& outcome);
};

// FeedKind is one of the tables that a host reads, and the stream of its changes.
enum class FeedKind {
    Jobs, // jobs, leases of cells and hosts
    Configuration,
    Workers,
    Rosters, // read as a whole by a new leader; its changes are not followed
};

inline constexpr NameTable feedKindNames { std::to_array<NameEntry<FeedKind>>({
    { FeedKind::Jobs, "jobs" },
    { FeedKind::Configuration, "configuration" },
    { FeedKind::Workers, "workers" },
    { FeedKind::Rosters, "rosters" },
}) };
static_assert(feedKindNames.isWhole(FeedKind::Rosters));

// FeedStatus says what a read of a feed brought.
enum class FeedStatus {
    Read,
    HistoryGone, // changes are lost; everything has to be read anew
    Failed,
};

// FeedPage is one answer of a feed, or one page of a scan.
struct FeedPage {
    FeedStatus status { FeedStatus::Failed };
    RowVersion revision { 0 };
    std::vector<StoredRowChange> rows; // of Jobs and Rosters
    std::vector<ListedWorker> workers;
    std::vector<WorkerId> removedWorkers;
    std::optional<SchedulingConfiguration> configuration;
    std::vector<EvacuationChange> evacuations; // of data centres
    std::string nextKey; // of a scan; empty: this was the last page
    std::size_t unreadable { 0 }; // entries that could not be understood
};

// StoreProtocol encodes calls to the store and decodes its answers. All functions are pure.
struct StoreProtocol {
    HttpRequest (*encodeWrite)(const WriteStoredRows& write);
    RowsWriteEnded (*decodeWrite)(const WriteStoredRows& write, const HttpOutcome& outcome);
    HttpRequest (*encodeJobRead)(const JobId& job);
    JobRowsRead (*decodeJobRead)(const JobId& job, const HttpOutcome& outcome);
    HttpRequest (*encodeFeed)(FeedKind feed, RowVersion after, Duration wait);
    HttpRequest (*encodeScan)(FeedKind feed, std::uint32_t partition, const std::string& startKey);
    FeedPage (*decodePage)(FeedKind feed, const HttpOutcome& outcome);
};

// Protocols is one table of each kind.
struct Protocols {
    const CallerProtocol* callers { nullptr };
    const WorkerProtocol* workers { nullptr };
    const StoreProtocol* store { nullptr };
};

} // namespace dragonflytray
