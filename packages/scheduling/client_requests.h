#pragma once

// What an entry host does with the calls of callers: it stores jobs and requests to cancel, and answers
// what is known.
//
// A job is accepted by one conditional insert at a place that its id alone determines, so a repeat at any
// host meets the same row. A refusal is given only when the job is surely not stored.
//
// Example:
//
//     ClientRequests clientRequests({});
//     clientRequests.submit(command, queue, cell, jobCache, context);
//     clientRequests.writeEnded(end, context);

#include "scheduling/command_context.h"
#include "scheduling/job_cache.h"
#include "scheduling/scheduling_commands.h"
#include <array>
#include <deque>
#include <set>

namespace dragonflytray {

using ReplyCounts = EnumArray<ReplyReason, std::uint64_t, replyReasonNames.size()>;

// ClientRequests holds the calls that wait for the store. Not thread-safe.
class ClientRequests {
public:
    struct Options {
        Duration retryAfter { std::chrono::seconds(1) }; // told with a refusal; the store's troubles last seconds
        std::size_t callsPending { 2000 }; // calls that wait for the store; bounds memory
        std::size_t unclearKept { 5000 }; // ids whose write may yet take effect
    };

    explicit ClientRequests(Options options);

    // submit() stores one whole job.
    void submit(ReplyToken token, const JobDefinition& job, const JobCache& jobCache, CommandContext& context);

    // cancel() stores a request to cancel.
    void cancel(ReplyToken token, const JobId& job, const JobCache& jobCache, CommandContext& context);

    // lookUp() answers for one job, from the store when it is not in the cache.
    void lookUp(ReplyToken token, const JobId& job, const JobCache& jobCache, CommandContext& context);

    // refuse() answers a call that can't be served; nothing was stored for it. `subject` is the job, or the path when
    // it names none.
    void refuse(ReplyToken token, const std::string& subject, ReplyStatus status, ReplyReason reason, CommandContext& context);

    // setStoreAnswering() notes whether the store can be reached.
    void setStoreAnswering(bool isAnswering) { this->isStoreAnswering = isAnswering; }

    // owns() says whether `write` is one of these requests in flight.
    bool owns(std::uint64_t write) const { return this->writes.contains(write); }

    // writeEnded() takes the end of a write. It returns what it surely stored, for the cache.
    std::optional<StoredRowChange> writeEnded(const RowsWriteEnded& end, CommandContext& context);

    // rowsRead() takes the end of a ReadJobRows, after the rows went into the cache.
    void rowsRead(const JobRowsRead& end, const JobCache& jobCache, CommandContext& context);

    // replies() counts the replies that are not what the caller wanted.
    const ReplyCounts& replies() const { return this->counts; }

private:
    // Call is what a caller waits for.
    enum class CallKind {
        Submit,
        Cancel,
        LookUp,
    };
    struct Call {
        CallKind kind { CallKind::Submit };
        ReplyToken token {};
    };
    struct Write {
        JobId job;
        StoredRowPut put;
        std::vector<Call> calls;
        Instant sentAt;
    };
    struct Read {
        std::vector<Call> calls;
    };

    void write(StoredRowPut put, Call call, CommandContext& context);
    void read(const JobId& job, Call call, CommandContext& context);
    void answerFound(const Call& call, const JobRecord& record, CommandContext& context);
    void answerUnread(const JobId& job, const Call& call, CommandContext& context);
    void answerAbsent(const JobId& job, const Call& call, CommandContext& context);
    void recordUnclear(const JobId& job);
    bool isFull() const { return this->writes.size() + this->reads.size() >= this->options.callsPending; }

    Options options;
    std::map<std::uint64_t, Write> writes;
    std::map<StoredRowKey, std::uint64_t> writeOf; // in flight, by row
    std::map<JobId, Read> reads;
    std::set<JobId> unclear;
    std::deque<JobId> unclearOrder;
    bool isStoreAnswering { true };
    ReplyCounts counts;
};

} // namespace dragonflytray
