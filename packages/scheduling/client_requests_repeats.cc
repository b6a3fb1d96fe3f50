// Advice to refused callers, and submissions that are written again.

#include "scheduling/client_requests.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    // Left of a caller's time for the answer: hosts that do not lead tick every 100 ms, and the latency between regions is 30 ms. At most
    // a part of the time is left, for callers that wait shortly.
    constexpr Duration answerTime = std::chrono::milliseconds(150);
    constexpr int maxAnswerPart = 4;

    // The reason of the advice for each ReplyReason, in its order. Calls that are not to be repeated get no advice.
    constexpr std::array adviceReasons {
        AdviceReason::NotReady, // None
        AdviceReason::NotReady, // NoConfiguration
        AdviceReason::NotReady, // JobsNotRead
        AdviceReason::StoreUnavailable, // StoreUnavailable
        AdviceReason::StoreUnavailable, // StoreUnclear
        AdviceReason::TooManyCalls, // TooManyPending
        AdviceReason::LimitReached, // TooManyCancellations
        AdviceReason::NotReady, // UnknownId
        AdviceReason::NotReady, // UnknownRoute
        AdviceReason::NotReady, // BadRequest
        AdviceReason::LimitReached, // Hopeless; the admission decision gives the time itself
    };
    static_assert(adviceReasons.size() == replyReasonNames.size());

} // namespace

Duration ClientRequests::retryAfter(ReplyStatus status, ReplyReason reason, int urgency, Instant now)
{
    if (!this->advisor)
        return status == ReplyStatus::Refused ? this->options.retryAfter : Duration(0);
    const bool isAdvised = status == ReplyStatus::Refused || (status == ReplyStatus::Unclear && !this->isStoreAnswering);
    return isAdvised ? this->advisor->advise(adviceReasons[indexOf(reason)], urgency, now) : Duration(0);
}

Duration ClientRequests::holdTime(Duration timeAllowed) const
{
    const Duration time = std::min(timeAllowed > Duration(0) ? timeAllowed : this->options.defaultDeadline, this->options.longestHold);
    return time - std::min(answerTime, time / maxAnswerPart);
}

bool ClientRequests::canRecordUnclear(const StoredRowKey& key) const
{
    return this->unclearRows.contains(key) || this->unclearRows.size() + this->writes.size() + this->reads.size() < this->options.maxUnclearJobs;
}

bool ClientRequests::mayTakeEffect(CallKind kind, const JobId& job) const
{
    if (kind == CallKind::Cancel && this->mayTakeEffect(cancellationOf(job)))
        return true;
    return kind != CallKind::LookUp && this->mayTakeEffect(definitionOf(job));
}

void ClientRequests::submitWithDeadline(const Call& call, const JobDefinition& job, CommandContext& context)
{
    const StoredRowPut put { definitionOf(job.id), job };
    const bool mayTakeEffect = this->mayTakeEffect(put.key);
    if (this->writeNumbers.contains(put.key))
        return this->write(WriteKind::AcceptJob, put, call, context);
    if (this->isFull() || !this->canRecordUnclear(put.key))
        return this->refuse(call.token, job.id.value(), mayTakeEffect ? ReplyStatus::Unclear : ReplyStatus::Refused, ReplyReason::TooManyPending, context, call.urgency);
    if (this->held.contains(job.id) || (mayTakeEffect && !this->isStoreAnswering))
        return this->hold(put, { call }, context);
    if (!this->isStoreAnswering)
        return this->refuse(call.token, job.id.value(), ReplyStatus::Refused, ReplyReason::StoreUnavailable, context, call.urgency);
    this->write(WriteKind::AcceptJob, put, call, context);
}

void ClientRequests::hold(const StoredRowPut& put, const std::vector<Call>& calls, CommandContext& context)
{
    if (calls.empty())
        return;
    const JobId job(put.key.name);
    Held& submission = this->held.try_emplace(job, Held { put, {}, context.now + this->options.repeatPause }).first->second;
    submission.calls.insert(submission.calls.end(), calls.begin(), calls.end());
    this->enqueue(job, submission);
    this->answerHopeless(context);
}

void ClientRequests::enqueue(const JobId& job, const Held& submission)
{
    HeldSubmission entry { .job = job, .urgency = submission.calls.front().urgency, .answerBy = Instant::max(), .notBefore = submission.notBefore };
    for (const Call& call : submission.calls) {
        entry.urgency = std::min(entry.urgency, call.urgency);
        entry.answerBy = std::min(entry.answerBy, call.answerBy);
    }
    this->heldSubmissions.hold(entry);
}

void ClientRequests::resumeHeld(CommandContext& context)
{
    if (!this->advisor)
        return;
    this->answerHopeless(context);
    if (!this->isStoreAnswering)
        return;
    for (const JobId& job : this->heldSubmissions.takeDue(context.now, this->options.maxRepeatsInFlight - this->repeatsInFlight))
        this->writeAgain(job, context);
}

void ClientRequests::answerHopeless(CommandContext& context)
{
    const Instant nextTry = this->isStoreAnswering ? context.now : this->advisor->expectedEnd(context.now);
    for (const JobId& job : this->heldSubmissions.takeHopeless(nextTry)) {
        const auto found = this->held.find(job);
        std::erase_if(found->second.calls, [&](const Call& call) {
            if (!this->heldSubmissions.isHopeless(call.answerBy, nextTry))
                return false;
            this->refuse(call.token, job.value(), ReplyStatus::Unclear, ReplyReason::StoreUnclear, context, call.urgency);
            return true;
        });
        if (found->second.calls.empty())
            this->held.erase(found);
        else
            this->enqueue(job, found->second);
    }
}

void ClientRequests::writeAgain(const JobId& job, CommandContext& context)
{
    Held submission = std::move(this->held.extract(job).mapped());
    ++this->repeatsInFlight;
    context.add(LogDecision { DecisionEvent::WriteRetried, job.value(), {}, "submission-unclear", 0, 0 });
    this->send({ .kind = WriteKind::AcceptJob, .job = job, .put = std::move(submission.put), .calls = std::move(submission.calls), .sentAt = context.now, .isRepeat = true }, context);
}

void ClientRequests::answerOverdue(CommandContext& context)
{
    for (auto& [number, write] : this->writes) {
        std::erase_if(write.calls, [&, job = write.job](const Call& call) {
            if (context.now < call.answerBy)
                return false;
            this->refuse(call.token, job.value(), ReplyStatus::Unclear, ReplyReason::StoreUnclear, context, call.urgency);
            return true;
        });
    }
}

void ClientRequests::storeContactChanged(bool isAnswering, CommandContext& context)
{
    this->isStoreAnswering = isAnswering;
    if (!this->advisor)
        return;
    if (isAnswering)
        this->advisor->storeRegained(context.now);
    else
        this->advisor->storeLost(context.now);
    this->resumeHeld(context);
}

void ClientRequests::jobStored(const JobRecord& record, CommandContext& context)
{
    if (!this->advisor)
        return;
    const JobId& job = record.definition.id;
    this->forgetUnclear(definitionOf(job));
    if (record.cancellationVersion > 0)
        this->forgetUnclear(cancellationOf(job));
    const auto found = this->held.find(job);
    if (found == this->held.end())
        return;
    for (const Call& call : found->second.calls)
        this->answerFound(call, record, context);
    this->heldSubmissions.release(job);
    this->held.erase(found);
}

void ClientRequests::tick(CommandContext& context)
{
    if (!this->advisor)
        return;
    this->answerOverdue(context);
    this->resumeHeld(context);
    while (!this->unclearRowsByAge.empty() && this->unclearRowsByAge.begin()->first + this->options.unclearRetention < context.now)
        this->forgetUnclear(StoredRowKey(this->unclearRowsByAge.begin()->second));
}

std::optional<RetrySummary> ClientRequests::retries() const
{
    if (!this->advisor)
        return std::nullopt;
    return RetrySummary { .told = this->advisor->told(), .longestAdvice = this->advisor->longestAdvice(), .repeatResults = this->repeatResults, .heldSubmissions = this->held.size() };
}

} // namespace dragonflytray
