#include "scheduling/client_requests.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    bool containsRow(const JobRowsRead& read, StoredRowKind kind)
    {
        return std::any_of(read.rows.begin(), read.rows.end(), [kind](const StoredRowChange& row) { return row.key.kind == kind && row.value; });
    }

} // namespace

ClientRequests::ClientRequests(Options options)
    : options(options)
{
}

void ClientRequests::refuse(ReplyToken token, const std::string& subject, ReplyStatus status, ReplyReason reason, CommandContext& context, Duration retryAfter)
{
    ++this->counts[reason];
    const DecisionEvent event = status == ReplyStatus::Unclear ? DecisionEvent::JobUnclear : DecisionEvent::JobRefused;
    context.add(LogDecision { event, subject, {}, std::string(replyReasonNames.nameOf(reason)), 0, 0 });
    const bool hasRetry = status == ReplyStatus::Refused;
    const Duration retryTime = retryAfter > Duration(0) ? retryAfter : this->options.retryAfter;
    context.add(ReplyToClient { .token = token, .status = status, .reason = reason, .retryAfter = hasRetry ? retryTime : Duration(0) });
}

void ClientRequests::submit(ReplyToken token, const JobDefinition& job, const JobCache& jobCache, CommandContext& context)
{
    const Call call { CallKind::Submit, token };
    if (const JobRecord* record = jobCache.find(job.id); record && record->isDefined())
        return this->answerFound(call, *record, context);
    if (this->unclearJobs.contains(job.id) && !this->isStoreAnswering)
        return this->refuse(token, job.id.value(), ReplyStatus::Unclear, ReplyReason::StoreUnclear, context);
    if (!this->isStoreAnswering)
        return this->refuse(token, job.id.value(), ReplyStatus::Refused, ReplyReason::StoreUnavailable, context);
    if (this->isFull())
        return this->refuse(token, job.id.value(), this->unclearJobs.contains(job.id) ? ReplyStatus::Unclear : ReplyStatus::Refused, ReplyReason::TooManyPending, context);
    this->write(WriteKind::AcceptJob, { { StoredRowKind::Definition, job.id.value() }, job }, call, context);
}

void ClientRequests::cancel(ReplyToken token, const JobId& job, const JobCache& jobCache, CommandContext& context)
{
    const Call call { CallKind::Cancel, token };
    const JobRecord* record = jobCache.find(job);
    if (!record || !record->isDefined())
        return this->read(job, call, context);
    if (isFinal(record->phase()))
        return this->answerFound(call, *record, context);
    this->write(WriteKind::CancelJob, { { StoredRowKind::Cancellation, job.value() }, CancellationRequest { context.wallTime } }, call, context);
}

void ClientRequests::lookUp(ReplyToken token, const JobId& job, const JobCache& jobCache, CommandContext& context)
{
    const Call call { CallKind::LookUp, token };
    if (const JobRecord* record = jobCache.find(job); record && record->isDefined())
        return this->answerFound(call, *record, context);
    this->read(job, call, context);
}

void ClientRequests::write(WriteKind kind, StoredRowPut put, Call call, CommandContext& context)
{
    // The row that each kind of write requires to be absent, in the order of WriteKind.
    static constexpr std::array<StoredRowKind, 3> absentRows { StoredRowKind::Definition, StoredRowKind::Cancellation, StoredRowKind::Definition };
    const auto inFlight = this->writeNumbers.find(put.key);
    if (inFlight != this->writeNumbers.end()) {
        this->writes.at(inFlight->second).calls.push_back(call);
        return;
    }
    const std::uint64_t number = context.nextWrite++;
    this->writeNumbers.emplace(put.key, number);
    const StoredRowKey key = put.key;
    context.add(WriteStoredRows { .write = number, .partition = partitionOf(key), .conditions = { { { absentRows[indexOf(kind)], key.name }, 0 } }, .puts = { put }, .removals = {} });
    this->writes.emplace(number, Write { kind, JobId(key.name), std::move(put), { call }, context.now });
}

void ClientRequests::read(const JobId& job, Call call, CommandContext& context)
{
    Read& read = this->reads[job];
    read.calls.push_back(call);
    if (read.calls.size() == 1)
        context.add(ReadJobRows { job });
}

std::optional<StoredRowChange> ClientRequests::writeEnded(const RowsWriteEnded& end, CommandContext& context)
{
    const auto found = this->writes.find(end.write);
    const Write write = std::move(found->second);
    this->writes.erase(found);
    this->writeNumbers.erase(write.put.key);
    // A conflict shows that the row is there already; that of CancelAbsentJob shows that the job has been stored meanwhile.
    const bool isStored = end.status == TransactionStatus::Committed || (end.status == TransactionStatus::Conflict && write.kind != WriteKind::CancelAbsentJob);
    if (end.status == TransactionStatus::Ambiguous)
        this->recordUnclear(write.job);
    for (Call call : write.calls) {
        call.hasUnclearWrite |= end.status == TransactionStatus::Ambiguous;
        if (isStored)
            this->answerWritten(write, call, context);
        else if (end.status == TransactionStatus::Unavailable)
            this->answerUnread(write.job, call, context);
        else
            this->read(write.job, call, context);
    }
    const bool isJob = write.put.key.kind == StoredRowKind::Definition;
    if (isStored)
        context.add(LogDecision { isJob ? DecisionEvent::JobAccepted : DecisionEvent::JobCancelled, write.job.value(), {}, std::string(transactionStatusNames.nameOf(end.status)), end.revision, 0 });
    if (end.status == TransactionStatus::Committed)
        return StoredRowChange { write.put.key, end.revision, write.put.value };
    for (const StoredRowChange& conflict : end.conflicts) {
        if (conflict.key == write.put.key)
            return conflict;
    }
    return std::nullopt;
}

void ClientRequests::rowsRead(const JobRowsRead& end, const JobCache& jobCache, CommandContext& context)
{
    const auto found = this->reads.find(end.job);
    if (found == this->reads.end())
        return;
    const std::vector<Call> calls = std::move(found->second.calls);
    this->reads.erase(found);
    const JobRecord* record = jobCache.find(end.job);
    for (const Call& call : calls) {
        if (record && record->isDefined() && (call.kind != CallKind::Cancel || isFinal(record->phase())))
            this->answerFound(call, *record, context);
        else if (record && record->isDefined())
            this->cancel(call.token, end.job, jobCache, context);
        else if (!end.isRead)
            this->answerUnread(end.job, call, context);
        else
            this->answerAbsent(end, call, jobCache, context);
    }
}

void ClientRequests::answerWritten(const Write& write, const Call& call, CommandContext& context)
{
    if (write.kind == WriteKind::CancelAbsentJob)
        return this->refuse(call.token, write.job.value(), ReplyStatus::NoSuchJob, ReplyReason::UnknownId, context);
    if (call.kind == CallKind::Submit)
        context.stageTimes[Stage::Accept].record(context.now - write.sentAt);
    context.add(ReplyToClient { .token = call.token, .status = call.kind == CallKind::Submit ? ReplyStatus::Accepted : ReplyStatus::Cancelled });
}

void ClientRequests::answerFound(const Call& call, const JobRecord& record, CommandContext& context)
{
    static constexpr std::array<ReplyStatus, 3> statuses { ReplyStatus::Accepted, ReplyStatus::Cancelled, ReplyStatus::JobFound };
    context.add(ReplyToClient { .token = call.token, .status = statuses[indexOf(call.kind)], .phase = record.phase() });
}

void ClientRequests::answerUnread(const JobId& job, const Call& call, CommandContext& context)
{
    const bool isUnclear = call.kind != CallKind::LookUp && this->unclearJobs.contains(job);
    const ReplyReason reason = isUnclear ? ReplyReason::StoreUnclear : ReplyReason::StoreUnavailable;
    this->refuse(call.token, job.value(), isUnclear ? ReplyStatus::Unclear : ReplyStatus::Refused, reason, context);
}

void ClientRequests::answerAbsent(const JobRowsRead& end, const Call& call, const JobCache& jobCache, CommandContext& context)
{
    // A submission is read back only after a write with an unknown result, which may still take effect.
    if (call.kind == CallKind::Submit)
        return this->refuse(call.token, end.job.value(), ReplyStatus::Unclear, ReplyReason::StoreUnclear, context);
    if (call.kind == CallKind::Cancel)
        return this->cancelAbsent(end, call, jobCache, context);
    this->refuse(call.token, end.job.value(), ReplyStatus::NoSuchJob, ReplyReason::UnknownId, context);
}

void ClientRequests::cancelAbsent(const JobRowsRead& end, const Call& call, const JobCache& jobCache, CommandContext& context)
{
    const std::string& name = end.job.value();
    if (call.hasUnclearWrite && containsRow(end, StoredRowKind::Cancellation))
        return this->refuse(call.token, name, ReplyStatus::NoSuchJob, ReplyReason::UnknownId, context);
    if (call.hasUnclearWrite)
        return this->refuse(call.token, name, ReplyStatus::Unclear, ReplyReason::StoreUnclear, context);
    if (jobCache.unmatchedCancellations().size() >= this->options.maxUnmatchedCancellations)
        return this->refuse(call.token, name, ReplyStatus::Refused, ReplyReason::TooManyCancellations, context);
    this->write(WriteKind::CancelAbsentJob, { { StoredRowKind::Cancellation, name }, CancellationRequest { context.wallTime } }, call, context);
}

void ClientRequests::recordUnclear(const JobId& job)
{
    if (!this->unclearJobs.insert(job).second)
        return;
    this->unclearJobsByAge.push_back(job);
    if (this->unclearJobsByAge.size() <= this->options.maxUnclearJobs)
        return;
    this->unclearJobs.erase(this->unclearJobsByAge.front());
    this->unclearJobsByAge.pop_front();
}

} // namespace dragonflytray
