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
    , heldSubmissions(options.heldSubmissions)
{
    if (options.longestRetryAfter > Duration(0))
        this->advisor.emplace(RetryAdvisor::Options { .longestRetryAfter = options.longestRetryAfter });
}

void ClientRequests::refuse(ReplyToken token, const std::string& subject, ReplyStatus status, ReplyReason reason, CommandContext& context, int urgency)
{
    this->refuse(token, subject, status, reason, this->retryAfter(status, reason, urgency, context.now), context);
}

void ClientRequests::refuse(ReplyToken token, const std::string& subject, ReplyStatus status, ReplyReason reason, Duration retryAfter, CommandContext& context)
{
    ++this->counts[reason];
    const DecisionEvent event = status == ReplyStatus::Unclear ? DecisionEvent::JobUnclear : DecisionEvent::JobRefused;
    LogDecision line { event, subject, {}, std::string(replyReasonNames.nameOf(reason)), 0, 0 };
    if (this->advisor && retryAfter > Duration(0))
        line.inputs = { { DecisionInput::RetryAfterMilliseconds, toMilliseconds(retryAfter) } };
    context.add(std::move(line));
    context.add(ReplyToClient { .token = token, .status = status, .reason = reason, .retryAfter = retryAfter });
}

void ClientRequests::submit(ReplyToken token, const JobDefinition& job, Duration timeAllowed, const JobCache& jobCache, CommandContext& context)
{
    Call call { .kind = CallKind::Submit, .token = token, .urgency = job.queue.priority };
    if (const JobRecord* record = jobCache.find(job.id); record && record->isDefined())
        return this->answerFound(call, *record, context);
    if (this->advisor) {
        call.answerBy = context.now + this->holdTime(timeAllowed);
        return this->submitWithDeadline(call, job, context);
    }
    const bool mayBeStored = this->mayTakeEffect(definitionOf(job.id));
    if (mayBeStored && !this->isStoreAnswering)
        return this->refuse(token, job.id.value(), ReplyStatus::Unclear, ReplyReason::StoreUnclear, context);
    if (!this->isStoreAnswering)
        return this->refuse(token, job.id.value(), ReplyStatus::Refused, ReplyReason::StoreUnavailable, context);
    if (this->isFull())
        return this->refuse(token, job.id.value(), mayBeStored ? ReplyStatus::Unclear : ReplyStatus::Refused, ReplyReason::TooManyPending, context);
    this->write(WriteKind::AcceptJob, { definitionOf(job.id), job }, call, context);
}

void ClientRequests::cancel(ReplyToken token, const JobId& job, const JobCache& jobCache, CommandContext& context)
{
    const Call call { CallKind::Cancel, token };
    if (this->advisor && !this->canRecordUnclear(cancellationOf(job)))
        return this->refuse(token, job.value(), this->mayTakeEffect(call.kind, job) ? ReplyStatus::Unclear : ReplyStatus::Refused, ReplyReason::TooManyPending, context);
    const JobRecord* record = jobCache.find(job);
    if (!record || !record->isDefined())
        return this->read(job, call, context);
    if (isFinal(record->phase()))
        return this->answerFound(call, *record, context);
    this->write(WriteKind::CancelJob, { cancellationOf(job), CancellationRequest { context.wallTime } }, call, context);
}

void ClientRequests::lookUp(ReplyToken token, const JobId& job, const JobCache& jobCache, CommandContext& context)
{
    const Call call { .kind = CallKind::LookUp, .token = token, .urgency = leastUrgent };
    if (const JobRecord* record = jobCache.find(job); record && record->isDefined())
        return this->answerFound(call, *record, context);
    this->read(job, call, context);
}

void ClientRequests::write(WriteKind kind, StoredRowPut put, Call call, CommandContext& context)
{
    const auto inFlight = this->writeNumbers.find(put.key);
    if (inFlight != this->writeNumbers.end()) {
        this->writes.at(inFlight->second).calls.push_back(call);
        return;
    }
    const JobId job(put.key.name);
    this->send({ kind, job, std::move(put), { call }, context.now }, context);
}

void ClientRequests::send(Write write, CommandContext& context)
{
    // The row that each kind of write requires to be absent, in the order of WriteKind.
    static constexpr std::array<StoredRowKind, 3> absentRows { StoredRowKind::Definition, StoredRowKind::Cancellation, StoredRowKind::Definition };
    const std::uint64_t number = context.nextWrite++;
    const StoredRowKey& key = write.put.key;
    this->writeNumbers.emplace(key, number);
    context.add(WriteStoredRows { .write = number, .partition = partitionOf(key), .conditions = { { { absentRows[indexOf(write.kind)], key.name }, 0 } }, .puts = { write.put }, .removals = {} });
    this->writes.emplace(number, std::move(write));
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
        this->recordUnclear(this->advisor ? write.put.key : definitionOf(write.job), context.now);
    if (write.isRepeat) {
        --this->repeatsInFlight;
        ++this->repeatResults[end.status];
    }
    if (this->advisor && isStored)
        this->forgetUnclear(write.put.key);
    if (this->advisor && write.kind == WriteKind::AcceptJob && !isStored && this->unclearRows.contains(write.put.key))
        this->hold(write.put, write.calls, context);
    else
        this->answerCalls(write, end.status, isStored, context);
    if (end.status != TransactionStatus::Unavailable) // it may have been reported while the write was sent; another one would end likewise
        this->resumeHeld(context);
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

void ClientRequests::answerCalls(const Write& write, TransactionStatus status, bool isStored, CommandContext& context)
{
    for (Call call : write.calls) {
        call.hasUnclearWrite |= status == TransactionStatus::Ambiguous;
        if (isStored)
            this->answerWritten(write, call, context);
        else if (status == TransactionStatus::Unavailable)
            this->answerUnread(write.job, call, context);
        else
            this->read(write.job, call, context);
    }
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
    const bool isUnclear = this->advisor ? this->mayTakeEffect(call.kind, job) : call.kind != CallKind::LookUp && this->unclearRows.contains(definitionOf(job));
    const ReplyReason reason = isUnclear ? ReplyReason::StoreUnclear : ReplyReason::StoreUnavailable;
    this->refuse(call.token, job.value(), isUnclear ? ReplyStatus::Unclear : ReplyStatus::Refused, reason, context, call.urgency);
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
        return this->refuse(call.token, name, this->advisor && this->mayTakeEffect(call.kind, end.job) ? ReplyStatus::Unclear : ReplyStatus::Refused, ReplyReason::TooManyCancellations, context);
    this->write(WriteKind::CancelAbsentJob, { cancellationOf(end.job), CancellationRequest { context.wallTime } }, call, context);
}

void ClientRequests::recordUnclear(const StoredRowKey& key, Instant now)
{
    if (this->advisor)
        this->forgetUnclear(key); // its age is that of the last write
    if (!this->unclearRows.emplace(key, now).second)
        return;
    this->unclearRowsByAge.emplace(now, key);
    if (!this->advisor && this->unclearRows.size() > this->options.maxUnclearJobs)
        this->forgetUnclear(StoredRowKey(this->unclearRowsByAge.begin()->second));
}

void ClientRequests::forgetUnclear(const StoredRowKey& key)
{
    const auto found = this->unclearRows.find(key);
    if (found == this->unclearRows.end())
        return;
    this->unclearRowsByAge.erase({ found->second, key });
    this->unclearRows.erase(found);
}

} // namespace dragonflytray
