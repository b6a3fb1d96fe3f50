// Handlers of the commands of callers: submit, cancel, look up, and refusals of queue queries.

#include "scheduling/scheduler.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    constexpr std::size_t jobIdLength = 16; // hexadecimal digits

    bool isJobId(std::string_view text)
    {
        return text.size() == jobIdLength && text.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
    }

    // isWellFormed() returns true if there is at least one step, and each step has tasks and depends only on earlier steps.
    bool isWellFormed(const JobDefinition& job)
    {
        for (std::size_t step = 0; step < job.steps.size(); ++step) {
            const StepDefinition& definition = job.steps[step];
            const bool isOrdered = std::all_of(definition.after.begin(), definition.after.end(), [&](std::uint32_t earlier) { return earlier < step; });
            if (!isOrdered || definition.count == 0)
                return false;
        }
        return !job.steps.empty();
    }

    // demandOf() returns what is decided about at admission; nothing for jobs without a time of completion that capacity determines:
    // long-running and repeated ones, and those with best-effort tasks.
    std::optional<JobDemand> demandOf(const JobDefinition& job)
    {
        const bool hasBestEffortStep = std::any_of(job.steps.begin(), job.steps.end(), [](const StepDefinition& step) { return step.isBestEffort; });
        if (job.isLongRunning() || hasBestEffortStep || job.repetitions > 0)
            return std::nullopt;
        JobDemand demand { .service = job.queue.service, .priority = job.queue.priority, .criticalPath = criticalPathOf(job), .coreMilliseconds = estimatedWorkOf(job), .minMillicores = job.steps.front().need.millicores, .minMegabytes = job.steps.front().need.megabytes, .lateLimit = lateLimitOf(job) };
        for (const StepDefinition& step : job.steps) {
            demand.minMillicores = std::min(demand.minMillicores, step.need.millicores);
            demand.minMegabytes = std::min(demand.minMegabytes, step.need.megabytes);
        }
        return demand;
    }

} // namespace

std::optional<Scheduler::JobAddress> Scheduler::resolve(ReplyToken token, const std::string& host, const std::string& path, CommandContext& context)
{
    if (this->configuration.version == 0) {
        this->clientRequests.refuse(token, path, ReplyStatus::Refused, ReplyReason::NoConfiguration, context);
        return std::nullopt;
    }
    const QueueRule* queue = this->configuration.findQueue(host, path);
    if (!queue) {
        this->clientRequests.refuse(token, path, ReplyStatus::NoSuchQueue, ReplyReason::UnknownRoute, context);
        return std::nullopt;
    }
    const std::string id = path.substr(queue->pathPrefix.size());
    if (!isJobId(id)) {
        this->clientRequests.refuse(token, path, ReplyStatus::Malformed, ReplyReason::BadRequest, context);
        return std::nullopt;
    }
    return JobAddress { queue, JobId(id) };
}

void Scheduler::submitJob(const SchedulerCommand& command, CommandContext& context)
{
    const auto& submit = std::get<SubmitJobSteps>(command);
    const auto address = this->resolve(submit.token, submit.host, submit.path, context);
    if (!address)
        return;
    if (!isWellFormed(submit.job))
        return this->clientRequests.refuse(submit.token, address->job.value(), ReplyStatus::Malformed, ReplyReason::BadRequest, context);
    JobDefinition job = submit.job;
    job.id = address->job;
    job.queue = *address->queue;
    job.acceptedAt = context.wallTime;
    job.cell = this->chooseCell(job, context.now);
    if (this->admit(submit.token, job, context))
        this->clientRequests.submit(submit.token, job, submit.timeAllowed, this->jobCache, context);
}

bool Scheduler::admit(ReplyToken token, const JobDefinition& job, CommandContext& context)
{
    const std::optional<JobDemand> demand = this->options.refusesHopeless ? demandOf(job) : std::nullopt;
    const JobRecord* known = this->jobCache.find(job.id);
    if (!demand || (known && known->isDefined()) || this->clientRequests.mayBeStored(job.id))
        return true;
    const CellLeadership& leadership = this->leaderships.at(job.cell);
    const std::optional<Forecast>& forecast = leadership.row().forecast;
    const ForecastView view { .forecast = forecast ? &*forecast : nullptr, .highestEpoch = leadership.row().epoch, .receivedAt = leadership.changedAt() };
    const AdmissionDecision decision = this->admissionControl.decide(*demand, view, context.wallTime, context.now);
    ++this->admissionCounts[decision.outcome];
    if (decision.outcome != AdmissionOutcome::Hopeless)
        return true;
    LogDecision line { DecisionEvent::JobHopeless, job.id.value(), {}, job.queue.name.value(), forecast->epoch, toMilliseconds(context.now - view.receivedAt) };
    line.inputs = { { DecisionInput::EarliestEndMilliseconds, toMilliseconds(decision.earliestEnd) }, { DecisionInput::LateLimitMilliseconds, toMilliseconds(demand->lateLimit) }, { DecisionInput::RetryAfterMilliseconds, toMilliseconds(decision.retryAfter) } };
    context.add(std::move(line));
    this->clientRequests.refuse(token, job.id.value(), ReplyStatus::Refused, ReplyReason::Hopeless, decision.retryAfter, context);
    return false;
}

void Scheduler::requestCancellation(const SchedulerCommand& command, CommandContext& context)
{
    const auto& request = std::get<RequestCancellation>(command);
    if (const auto address = this->resolve(request.token, request.host, request.path, context))
        this->clientRequests.cancel(request.token, address->job, this->jobCache, context);
}

void Scheduler::lookUpJob(const SchedulerCommand& command, CommandContext& context)
{
    const auto& request = std::get<LookUpJob>(command);
    if (const auto address = this->resolve(request.token, request.host, request.path, context))
        this->clientRequests.lookUp(request.token, address->job, this->jobCache, context);
}

void Scheduler::refuseQueueQuery(const SchedulerCommand& command, CommandContext& context)
{
    const auto& query = std::get<RefuseQueueQuery>(command);
    this->clientRequests.refuse(query.token, query.path, query.status, query.reason, context, leastUrgent);
}

} // namespace dragonflytray
