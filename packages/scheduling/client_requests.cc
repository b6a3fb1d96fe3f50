#include "scheduling/client_requests.h"

namespace dragonflytray {

ClientRequests::ClientRequests(Options options)
    : options(options)
{
}

void ClientRequests::refuse(ReplyToken token, const std::string& subject, ReplyStatus status, ReplyReason reason, CommandContext& context)
{
    ++this->counts[reason];
    const DecisionEvent event = status == ReplyStatus::Unclear ? DecisionEvent::JobUnclear : DecisionEvent::JobRefused;
    context.add(LogDecision { event, subject, {}, std::string(replyReasonNames.nameOf(reason)), 0, 0 });
    const bool hasRetry = status == ReplyStatus::Refused;
    context.add(ReplyToClient { .token = token, .status = status, .reason = reason, .retryAfter = hasRetry ? this->options.retryAfter : Duration(0) });
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
    this->write({ { StoredRowKind::Definition, job.id.value() }, job }, call, context);
}

void ClientRequests::cancel(ReplyToken token, const JobId& job, const JobCache& jobCache, CommandContext& context)
{
    const Call call { CallKind::Cancel, token };
    const JobRecord* record = jobCache.find(job);
    if (!record || !record->isDefined())
        return this->read(job, call, context);
    if (isFinal(record->phase()))
        return this->answerFound(call, *record, context);
    this->write({ { StoredRowKind::Cancellation, job.value() }, CancellationRequest { context.wallTime } }, call, context);
}

void ClientRequests::lookUp(ReplyToken token, const JobId& job, const JobCache& jobCache, CommandContext& context)
{
    const Call call { CallKind::LookUp, token };
    if (const JobRecord* record = jobCache.find(job); record && record->isDefined())
        return this->answerFound(call, *record, context);
    this->read(job, call, context);
}

void ClientRequests::write(StoredRowPut put, Call call, CommandContext& context)
{
    const auto inFlight = this->writeNumbers.find(put.key);
    if (inFlight != this->writeNumbers.end()) {
        this->writes.at(inFlight->second).calls.push_back(call);
        return;
    }
    const std::uint64_t number = context.nextWrite++;
    this->writeNumbers.emplace(put.key, number);
    const StoredRowKey key = put.key;
    context.add(WriteStoredRows { .write = number, .partition = partitionOf(key), .conditions = { { key, 0 } }, .puts = { put }, .removals = {} });
    this->writes.emplace(number, Write { JobId(key.name), std::move(put), { call }, context.now });
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
    const bool isStored = end.status == TransactionStatus::Committed || end.status == TransactionStatus::Conflict;
    for (const Call& call : write.calls) {
        if (isStored && call.kind == CallKind::Submit)
            context.stageTimes[Stage::Accept].record(context.now - write.sentAt);
        if (end.status == TransactionStatus::Ambiguous) {
            this->recordUnclear(write.job);
            this->read(write.job, call, context);
        } else if (!isStored) {
            this->answerUnread(write.job, call, context);
        } else {
            context.add(ReplyToClient { .token = call.token, .status = call.kind == CallKind::Submit ? ReplyStatus::Accepted : ReplyStatus::Cancelled });
        }
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
            this->answerAbsent(end.job, call, context);
    }
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

void ClientRequests::answerAbsent(const JobId& job, const Call& call, CommandContext& context)
{
    // A submission is read back only after a write with an unknown result, which may still take effect.
    if (call.kind == CallKind::Submit)
        return this->refuse(call.token, job.value(), ReplyStatus::Unclear, ReplyReason::StoreUnclear, context);
    this->refuse(call.token, job.value(), ReplyStatus::NoSuchJob, ReplyReason::UnknownId, context);
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
