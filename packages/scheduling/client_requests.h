#pragma once

// The calls of callers at an entry host: submissions, cancellations and look-ups.
//
// A job is accepted by one conditional insert of a row whose key and partition depend on the job's id alone, so that a
// repeated submission at any host finds the same row. A submission is refused only if the job is certainly not stored. If
// that is not known, the reply is Unclear, and the caller has to repeat the submission with the same id.
//
// A submission can take effect after its caller has cancelled the job, at another host or by a write that the store executes
// late. A cancellation of a job that is not stored is therefore stored as well before it is answered: whoever reads the job
// later finds it cancelled.
//
// Example:
//
//     ClientRequests clientRequests({});
//     clientRequests.submit(token, job, jobCache, context);
//     clientRequests.writeEnded(end, context);

#include "scheduling/command_context.h"
#include "scheduling/job_cache.h"
#include "scheduling/scheduling_commands.h"
#include <array>
#include <deque>
#include <set>

namespace dragonflytray {

using ReplyCounts = EnumArray<ReplyReason, std::uint64_t, replyReasonNames.size()>;

// ClientRequests contains the calls that wait for the store. Calls for the same row share one write or read. Not
// thread-safe.
class ClientRequests {
public:
    struct Options {
        Duration retryAfter { std::chrono::seconds(1) }; // reported with a refusal; outages of the store last seconds
        std::size_t maxPendingCalls { 2000 }; // reads and writes in flight; bounds memory
        std::size_t maxUnclearJobs { 5000 }; // jobs remembered because their write may still take effect
        std::size_t maxUnmatchedCancellations { 5000 }; // stored cancellations of jobs that are not stored; bounds rows and memory
    };

    explicit ClientRequests(Options options);

    // submit() stores a job, unless the cache contains it already. The reply follows when the store has answered.
    void submit(ReplyToken token, const JobDefinition& job, const JobCache& jobCache, CommandContext& context);

    // cancel() stores a cancellation request, unless the job has ended. A job that is not cached is read first. The reply is
    // NoSuchJob if it was not stored when the request was.
    void cancel(ReplyToken token, const JobId& job, const JobCache& jobCache, CommandContext& context);

    // lookUp() replies with the phase of a job. A job that is not cached is read from the store first.
    void lookUp(ReplyToken token, const JobId& job, const JobCache& jobCache, CommandContext& context);

    // refuse() replies that a call can't be served, counts the reason, and logs `subject`: the id of the job, or the path of
    // the call if it contains none. The reply of a refusal names `retryAfter`, or Options::retryAfter if it is zero.
    void refuse(ReplyToken token, const std::string& subject, ReplyStatus status, ReplyReason reason, CommandContext& context, Duration retryAfter = Duration(0));

    // setStoreAnswering() sets whether the store can be reached. Submissions are refused while it can't.
    void setStoreAnswering(bool isAnswering) { this->isStoreAnswering = isAnswering; }

    // mayBeStored() returns true if a write that this host has sent may have stored the job, or still may.
    bool mayBeStored(const JobId& job) const { return this->unclearJobs.contains(job) || this->writeNumbers.contains({ StoredRowKind::Definition, job.value() }); }

    // owns() returns true if `write` is a write of these calls that is in flight.
    bool owns(std::uint64_t write) const { return this->writes.contains(write); }

    // writeEnded() handles the result of a write and replies to its calls. It returns the row that the store is known to
    // contain now, for the job cache, or nothing. Requires owns(end.write).
    std::optional<StoredRowChange> writeEnded(const RowsWriteEnded& end, CommandContext& context);

    // rowsRead() handles the result of a ReadJobRows, whose rows must have been applied to `jobCache` before.
    void rowsRead(const JobRowsRead& end, const JobCache& jobCache, CommandContext& context);

    // replies() returns the number of refused calls since the start of the process, by reason.
    const ReplyCounts& replies() const { return this->counts; }

private:
    enum class CallKind {
        Submit,
        Cancel,
        LookUp,
    };
    // WriteKind is what a write does if the row that it requires to be absent is absent.
    enum class WriteKind {
        AcceptJob,
        CancelJob,
        CancelAbsentJob,
    };
    struct Call {
        CallKind kind { CallKind::Submit };
        ReplyToken token {};
        bool hasUnclearWrite { false }; // a write for this call may still take effect
    };
    struct Write {
        WriteKind kind { WriteKind::AcceptJob };
        JobId job;
        StoredRowPut put;
        std::vector<Call> calls;
        Instant sentAt;
    };
    struct Read {
        std::vector<Call> calls;
    };

    // write() and read() send a request to the store, or add `call` to the one in flight for the same row or job.
    void write(WriteKind kind, StoredRowPut put, Call call, CommandContext& context);
    void read(const JobId& job, Call call, CommandContext& context);

    // answerWritten() replies after a write that has taken effect, answerFound() for a job that is known, answerUnread() if the
    // store did not answer, answerAbsent() if the store does not contain the job.
    void answerWritten(const Write& write, const Call& call, CommandContext& context);
    void answerFound(const Call& call, const JobRecord& record, CommandContext& context);
    void answerUnread(const JobId& job, const Call& call, CommandContext& context);
    void answerAbsent(const JobRowsRead& end, const Call& call, const JobCache& jobCache, CommandContext& context);

    // cancelAbsent() stores the cancellation of a job that the store does not contain.
    void cancelAbsent(const JobRowsRead& end, const Call& call, const JobCache& jobCache, CommandContext& context);

    // recordUnclear() remembers that a write of the job may still take effect. The oldest such job is forgotten if there are
    // too many.
    void recordUnclear(const JobId& job);
    bool isFull() const { return this->writes.size() + this->reads.size() >= this->options.maxPendingCalls; }

    Options options;
    std::map<std::uint64_t, Write> writes; // in flight, by number
    std::map<StoredRowKey, std::uint64_t> writeNumbers; // of the writes in flight
    std::map<JobId, Read> reads; // in flight
    std::set<JobId> unclearJobs; // whose definition may still be stored by an earlier write
    std::deque<JobId> unclearJobsByAge; // the same, oldest first
    bool isStoreAnswering { true };
    ReplyCounts counts;
};

} // namespace dragonflytray
