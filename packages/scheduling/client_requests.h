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
// With Options::longestRetryAfter, refused callers are told when to come back (RetryAdvisor), and a submission whose write has no
// clear result is written again under the same condition while its caller waits (HeldSubmissions).
//
// Example:
//
//     ClientRequests clientRequests({});
//     clientRequests.submit(token, job, timeAllowed, jobCache, context);
//     clientRequests.writeEnded(end, context);

#include "retry_advice/retry_advice.h"
#include "scheduling/command_context.h"
#include "scheduling/job_cache.h"
#include "scheduling/scheduling_commands.h"
#include <array>
#include <set>

namespace dragonflytray {

using ReplyCounts = EnumArray<ReplyReason, std::uint64_t, replyReasonNames.size()>;
using RepeatCounts = EnumArray<TransactionStatus, std::uint64_t, transactionStatusNames.size()>;

// RetrySummary contains the values of the metrics of advice and repeated writes, since the start of the process.
struct RetrySummary {
    AdviceCounts told; // callers
    Duration longestAdvice { 0 };
    RepeatCounts repeatResults; // of submissions that were written again
    std::size_t heldSubmissions { 0 }; // at present, between two tries
};

// ClientRequests contains the calls that wait for the store. Calls for the same row share one write or read. Not
// thread-safe.
class ClientRequests {
public:
    struct Options {
        Duration retryAfter { std::chrono::seconds(1) }; // reported with a refusal; outages of the store last seconds
        std::size_t maxPendingCalls { 2000 }; // reads and writes in flight; bounds memory
        std::size_t maxUnclearJobs { 5000 }; // jobs remembered because their write may still take effect
        std::size_t maxUnmatchedCancellations { 5000 }; // stored cancellations of jobs that are not stored; bounds rows and memory
        Duration longestRetryAfter { 0 }; // of the advice to callers; 0: it is `retryAfter`, and nothing is written again
        Duration defaultDeadline { std::chrono::seconds(3) }; // of a submission whose caller gives none, from its arrival
        Duration longestHold { std::chrono::seconds(10) }; // of a submission; most outages are over by then, and the cancellation of a job that is not stored is kept for 5 minutes
        Duration repeatPause { std::chrono::milliseconds(100) }; // between the result of a write and the next try
        std::size_t maxRepeatsInFlight { 8 }; // of one host; some tens of hosts then send what the partitions of the store take in half a second
        Duration unclearRetention { std::chrono::minutes(5) }; // after which a write no longer takes effect; they are late by seconds
        HeldSubmissions::Options heldSubmissions {};
    };

    explicit ClientRequests(Options options);

    // submit() stores a job, unless the cache contains it already. The reply follows when the store has answered; with
    // longestRetryAfter, before `timeAllowed` has passed. 0: the default.
    void submit(ReplyToken token, const JobDefinition& job, Duration timeAllowed, const JobCache& jobCache, CommandContext& context);

    // cancel() stores a cancellation request, unless the job has ended. A job that is not cached is read first. The reply is
    // NoSuchJob if it was not stored when the request was.
    void cancel(ReplyToken token, const JobId& job, const JobCache& jobCache, CommandContext& context);

    // lookUp() replies with the phase of a job. A job that is not cached is read from the store first.
    void lookUp(ReplyToken token, const JobId& job, const JobCache& jobCache, CommandContext& context);

    // refuse() replies that a call can't be served, counts the reason, and logs `subject`: the id of the job, or the path of
    // the call if it contains none. `urgency` is that of the queue.
    void refuse(ReplyToken token, const std::string& subject, ReplyStatus status, ReplyReason reason, CommandContext& context, int urgency = mostUrgent);

    // refuse() with `retryAfter` does so for a reason that gives the time to return itself.
    void refuse(ReplyToken token, const std::string& subject, ReplyStatus status, ReplyReason reason, Duration retryAfter, CommandContext& context);

    // storeContactChanged() sets whether the store can be reached. Submissions are refused while it can't.
    void storeContactChanged(bool isAnswering, CommandContext& context);

    // jobStored() is called for every job that is read from the store.
    void jobStored(const JobRecord& record, CommandContext& context);

    // tick() answers callers whose time ends, and tries held submissions again.
    void tick(CommandContext& context);

    // mayBeStored() returns true if a write that this host has sent may have stored the job, or still may.
    bool mayBeStored(const JobId& job) const { return this->held.contains(job) || this->mayTakeEffect(definitionOf(job)); }

    // owns() returns true if `write` is a write of these calls that is in flight.
    bool owns(std::uint64_t write) const { return this->writes.contains(write); }

    // writeEnded() handles the result of a write and replies to its calls. It returns the row that the store is known to
    // contain now, for the job cache, or nothing. Requires owns(end.write).
    std::optional<StoredRowChange> writeEnded(const RowsWriteEnded& end, CommandContext& context);

    // rowsRead() handles the result of a ReadJobRows, whose rows must have been applied to `jobCache` before.
    void rowsRead(const JobRowsRead& end, const JobCache& jobCache, CommandContext& context);

    // replies() returns the number of refused calls since the start of the process, by reason.
    const ReplyCounts& replies() const { return this->counts; }

    // retries() returns nothing without Options::longestRetryAfter.
    std::optional<RetrySummary> retries() const;

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
        int urgency { mostUrgent }; // of its queue
        Instant answerBy { Instant::max() }; // of a submission with advice
    };
    struct Write {
        WriteKind kind { WriteKind::AcceptJob };
        JobId job;
        StoredRowPut put;
        std::vector<Call> calls;
        Instant sentAt;
        bool isRepeat { false }; // of a submission whose former writes may still take effect
    };
    struct Read {
        std::vector<Call> calls;
    };
    // Held is a submission between two tries.
    struct Held {
        StoredRowPut put;
        std::vector<Call> calls;
        Instant notBefore; // of the next try
    };

    // write() and read() send a request to the store, or add `call` to the one in flight for the same row or job. send() sends a
    // write.
    void write(WriteKind kind, StoredRowPut put, Call call, CommandContext& context);
    void send(Write write, CommandContext& context);
    void read(const JobId& job, Call call, CommandContext& context);

    // holdTime() returns the part of a caller's time after which it is answered.
    Duration holdTime(Duration timeAllowed) const;

    // submitWithDeadline() is submit() with advice, of a job that is not known to be stored.
    void submitWithDeadline(const Call& call, const JobDefinition& job, CommandContext& context);

    // hold() keeps a submission that may be stored until the next try. enqueue() puts it in its place among those that are held.
    void hold(const StoredRowPut& put, const std::vector<Call>& calls, CommandContext& context);
    void enqueue(const JobId& job, const Held& submission);

    // answerHopeless() answers the callers for whom the next try would come too late. resumeHeld() then sends the tries that are due.
    void answerHopeless(CommandContext& context);
    void resumeHeld(CommandContext& context);
    void writeAgain(const JobId& job, CommandContext& context);

    // answerOverdue() answers callers whose time ends while a write is in flight.
    void answerOverdue(CommandContext& context);

    // retryAfter() returns what the caller is told, or 0.
    Duration retryAfter(ReplyStatus status, ReplyReason reason, int urgency, Instant now);

    // answerCalls() continues the calls of a write that has ended and is not tried again.
    void answerCalls(const Write& write, TransactionStatus status, bool isStored, CommandContext& context);

    // answerWritten() replies after a write that has taken effect, answerFound() for a job that is known, answerUnread() if the
    // store did not answer, answerAbsent() if the store does not contain the job.
    void answerWritten(const Write& write, const Call& call, CommandContext& context);
    void answerFound(const Call& call, const JobRecord& record, CommandContext& context);
    void answerUnread(const JobId& job, const Call& call, CommandContext& context);
    void answerAbsent(const JobRowsRead& end, const Call& call, const JobCache& jobCache, CommandContext& context);

    // cancelAbsent() stores the cancellation of a job that the store does not contain.
    void cancelAbsent(const JobRowsRead& end, const Call& call, const JobCache& jobCache, CommandContext& context);

    static StoredRowKey definitionOf(const JobId& job) { return { StoredRowKind::Definition, job.value() }; }
    static StoredRowKey cancellationOf(const JobId& job) { return { StoredRowKind::Cancellation, job.value() }; }

    // recordUnclear() remembers that a write of the row may still take effect. The oldest such row is forgotten if there are too
    // many. With advice it is forgotten by its age instead, and calls are refused if there is no room to remember them.
    void recordUnclear(const StoredRowKey& key, Instant now);
    void forgetUnclear(const StoredRowKey& key);
    bool canRecordUnclear(const StoredRowKey& key) const;

    // mayTakeEffect() returns true if a write of the row that was sent before may still take effect.
    bool mayTakeEffect(const StoredRowKey& key) const { return this->unclearRows.contains(key) || this->writeNumbers.contains(key); }

    // The same for a submission or a cancellation of the job; false for a look-up.
    bool mayTakeEffect(CallKind kind, const JobId& job) const;
    bool isFull() const { return this->writes.size() + this->reads.size() + this->held.size() >= this->options.maxPendingCalls; }

    Options options;
    std::map<std::uint64_t, Write> writes; // in flight, by number
    std::map<StoredRowKey, std::uint64_t> writeNumbers; // of the writes in flight
    std::map<JobId, Read> reads; // in flight
    std::map<StoredRowKey, Instant> unclearRows; // which an earlier write may still store, and since when; without advice the definition stands for every row of its job
    std::set<std::pair<Instant, StoredRowKey>> unclearRowsByAge; // the same, oldest first
    std::optional<RetryAdvisor> advisor; // nothing: no advice, and nothing is written again
    std::map<JobId, Held> held;
    HeldSubmissions heldSubmissions; // the order of `held`
    std::size_t repeatsInFlight { 0 };
    RepeatCounts repeatResults;
    bool isStoreAnswering { true };
    ReplyCounts counts;
};

} // namespace dragonflytray
