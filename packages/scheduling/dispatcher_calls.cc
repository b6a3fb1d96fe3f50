// Calls of the dispatcher to workers: polls, starts and stops, and the handling of their results.

#include "scheduling/dispatcher.h"

#include <algorithm>

namespace dragonflytray {

void Dispatcher::pollWorkers(CommandContext& context)
{
    std::vector<WorkerId> removedWorkers;
    for (auto& [id, worker] : this->fleet.all()) {
        const auto cell = this->cells.find(worker.cell);
        if (cell == this->cells.end()) {
            if (!worker.isListed)
                removedWorkers.push_back(id);
            continue;
        }
        const bool isLeaseExpired = (worker.isSuspect || !worker.isListed) && context.now >= worker.leaseEnd && worker.clock;
        if (isLeaseExpired)
            this->giveUpLapsedRuns(worker, context);
        if (worker.isForgettable(context.now)) {
            this->logWorkerGone(worker, cell->second, context);
            removedWorkers.push_back(id);
            continue;
        }
        if (this->mayPoll(worker, context.now))
            this->poll(worker, context);
    }
    for (const WorkerId& id : removedWorkers) {
        this->workerHealth.forget(id.value());
        this->fleet.remove(id);
    }
}

void Dispatcher::logWorkerGone(const FleetWorker& worker, const Cell& cell, CommandContext& context)
{
    const bool hasAnswered = worker.lastAnswer != Instant();
    const Instant lastContact = hasAnswered ? worker.lastAnswer : cell.leadingSince;
    LogDecision gone { DecisionEvent::WorkerGone, worker.entry.id.value(), {}, "not-listed", cell.epoch, toMilliseconds(context.now - lastContact) };
    gone.inputs = { { DecisionInput::HasAnswered, hasAnswered ? 1 : 0 } };
    if (worker.unlistedSince != Instant())
        gone.inputs.push_back({ DecisionInput::UnlistedMilliseconds, toMilliseconds(context.now - worker.unlistedSince) });
    if (const Instant leaseEnd = worker.isFenced ? worker.leaseEnd : worker.formerLeaseEnd; leaseEnd != Instant())
        gone.inputs.push_back({ DecisionInput::LeaseMilliseconds, toMilliseconds(leaseEnd - context.now) });
    context.add(std::move(gone));
}

bool Dispatcher::mayPoll(const FleetWorker& worker, Instant now) const
{
    return !worker.isPollInFlight && now >= worker.nextPollAt && this->cells.contains(worker.cell);
}

void Dispatcher::poll(FleetWorker& worker, CommandContext& context)
{
    // Ends are acknowledged only until a poll that does so is answered, and to a worker that answers: another incarnation
    // counts its ends anew.
    const bool mayAcknowledge = !worker.isRestartListed() && !worker.isSuspect && worker.acknowledged > worker.forgottenEnd;
    PollWorker call { .to = this->addressOf(worker, context.now), .deadline = {}, .acknowledged = mayAcknowledge ? worker.acknowledged : 0, .wait = Duration(0) };
    worker.polledAcknowledged = call.acknowledged;
    // The lease of a worker that does not answer is renewed only for a while, so that its runs can be given up in the end.
    const Duration lease = this->grantableLease(worker, context.now);
    const bool mayRenew = !worker.reportedLease && (!worker.isSuspect || context.now < worker.lastAnswer + this->options.renewalTimeout);
    if (mayRenew && worker.isFenced && !worker.isRestartListed())
        call.deadline = worker.deadlineAt(context.now, lease);
    worker.acceptsUntilAfterPoll = {};
    if (call.deadline)
        this->fleet.recordPollLease(worker, context.now, lease);
    else
        worker.leaseEndBeforePoll = worker.leaseEnd;
    if (worker.isFenced && !worker.isSuspect && worker.unacknowledgedEnds.empty() && call.deadline)
        call.wait = this->pollWait(worker, lease, context.now);
    if (this->crashSuspects.isIsolated(worker.entry.id))
        call.wait = std::min(call.wait, this->options.crashes.crashWindow);
    worker.polledWait = call.wait;
    worker.isPollInFlight = true;
    worker.polledEndpoint = call.to.endpoint;
    context.add(std::move(call));
}

Duration Dispatcher::pollWait(const FleetWorker& worker, Duration granted, Instant now) const
{
    if (now < worker.acceptsUntil)
        return this->bestEffortControl.isHeadroomLow(worker) ? this->options.lowHeadroomPollTimeout : this->options.pollWaitTimeout;
    // Tasks can be placed only after the answer to a poll with a lease.
    return std::min(this->fleet.timeUntilStarts(worker, now, granted), this->options.pollWaitTimeout);
}

Duration Dispatcher::grantableLease(const FleetWorker& worker, Instant now) const
{
    // A successor has to wait for the last lease of this leader when it can't reach a worker.
    const Instant end = this->cells.at(worker.cell).leaseEnd + this->options.formerLeaderTimeout + this->options.maxLeaseAfterTerm;
    return std::clamp(Duration(end - now), Duration(0), this->fleet.lease());
}

void Dispatcher::stopRun(FleetWorker& worker, const TaskRunId& run, const char* cause, CommandContext& context)
{
    const auto allocation = worker.runs.find(run);
    if (allocation == worker.runs.end() || allocation->second.isStopping)
        return;
    allocation->second.isStopping = true;
    allocation->second.stopRequestedAt = context.now;
    if (JobExecution* job = this->findJobExecution(run.task.job)) {
        const TaskExecution* taskExecution = job->taskExecution(run.task);
        if (taskExecution && taskExecution->run == run.run && taskExecution->worker == worker.entry.id && isOnWorker(taskExecution->stage))
            job->setStage(run.task, TaskStage::Stopping, context.now);
    }
    context.add(StopTask { this->addressOf(worker, context.now), run });
    context.add(LogDecision { DecisionEvent::TaskStopped, formatRun(run), worker.entry.id.value(), cause, 0, 0 });
}

namespace {

    DeliveryOutcome deliveryOutcomeOf(WorkerCallStatus status)
    {
        switch (status) {
        case WorkerCallStatus::TooLate:
        case WorkerCallStatus::Expired:
            return DeliveryOutcome::Late;
        case WorkerCallStatus::NotSent:
        case WorkerCallStatus::Unclear:
            return DeliveryOutcome::Unknown;
        default:
            return DeliveryOutcome::Delivered;
        }
    }

} // namespace

bool Dispatcher::isFencedByOther(const FleetWorker& worker, const FencingToken& token, WorkerCallStatus status)
{
    return status == WorkerCallStatus::Fenced && token.restarts >= worker.restarts;
}

std::size_t Dispatcher::chargeStart(JobExecution& job, const TaskExecution& taskExecution, const Endpoint& agent)
{
    const bool carriesSpec = agent == Endpoint() || job.agentsWithSpec.insert(agent).second;
    return (carriesSpec ? job.definition().spec.size() : 0) + taskExecution.checkpoint.size() + this->options.startOverheadBytes;
}

void Dispatcher::endDelivery(const TaskCallEnded& end, CommandContext& context)
{
    const auto start = this->startsUnderWay.find(end.run);
    if (end.kind != TaskCallKind::Start || start == this->startsUnderWay.end())
        return;
    const bool hadRoom = this->startWindow.hasRoom();
    this->startWindow.ended(start->second.bytes, deliveryOutcomeOf(end.status), context.now - start->second.decidedAt);
    this->startsUnderWay.erase(start);
    this->needsPass = this->needsPass || !hadRoom;
}

void Dispatcher::taskCallEnded(const TaskCallEnded& end, CommandContext& context)
{
    this->endDelivery(end, context);
    FleetWorker* worker = this->fleet.find(end.worker);
    const auto cell = worker ? this->cells.find(worker->cell) : this->cells.end();
    if (cell == this->cells.end() || cell->second.epoch != end.token.epoch)
        return;
    if (isFencedByOther(*worker, end.token, end.status)) {
        this->lastFencedEpoch = end.token.epoch;
        return;
    }
    if (end.kind == TaskCallKind::Start)
        this->handleStartEnded(*worker, end, context);
    else if (end.kind == TaskCallKind::Stop)
        this->handleStopEnded(*worker, end, context);
}

void Dispatcher::handleStartEnded(FleetWorker& worker, const TaskCallEnded& end, CommandContext& context)
{
    JobExecution* job = this->findJobExecution(end.run.task.job);
    TaskExecution* taskExecution = job ? job->taskExecution(end.run.task) : nullptr;
    const bool isCurrent = taskExecution && taskExecution->run == end.run.run && taskExecution->worker == worker.entry.id;
    if (!isCurrent || (taskExecution->stage != TaskStage::Starting && taskExecution->stage != TaskStage::Unclear))
        return;
    if (end.status == WorkerCallStatus::Ok) {
        context.stageTimes[Stage::Start].record(context.now - taskExecution->since);
        worker.runs[end.run].lastConfirmedAt = context.now;
        worker.runs[end.run].firstConfirmedAt = context.now;
        this->workerHealth.startAccepted(worker.runs[end.run].observedRun, context.now);
        this->markRunning(*job, end.run.task, context);
        return this->applyStartSpeed(worker, end.run, context);
    }
    if (end.status == WorkerCallStatus::Unclear)
        return job->setStage(end.run.task, TaskStage::Unclear, context.now);
    context.add(LogDecision { DecisionEvent::TaskLost, formatRun(end.run), worker.entry.id.value(), std::string(workerCallStatusNames.nameOf(end.status)), end.token.epoch, toMilliseconds(context.now - taskExecution->since) });
    if (end.status == WorkerCallStatus::NoRoom || end.status == WorkerCallStatus::TooLate || end.status == WorkerCallStatus::Expired)
        worker.cooldownUntil = std::max(worker.cooldownUntil, context.now + this->options.noRoomCooldown);
    if (end.status == WorkerCallStatus::Unhealthy || end.status == WorkerCallStatus::NotSent || end.status == WorkerCallStatus::Rejected)
        worker.cooldownUntil = std::max(worker.cooldownUntil, context.now + this->options.unhealthyCooldown);
    this->observeEnd(worker, end.run, runResultOf(end.status), context.now);
    this->fleet.release(worker, end.run);
    job->setStage(end.run.task, TaskStage::Waiting, context.now);
    if (job->definition().steps[end.run.task.step].isGang)
        this->stopGang(*job, end.run.task, context);
    this->needsPass = true;
}

void Dispatcher::handleStopEnded(FleetWorker& worker, const TaskCallEnded& end, CommandContext& context)
{
    const auto allocation = worker.runs.find(end.run);
    if (allocation == worker.runs.end())
        return;
    allocation->second.isStopConfirmed = end.status == WorkerCallStatus::Ok || end.status == WorkerCallStatus::StaleRun;
    // A stop that the worker may not have carried out is sent again if the next report still names the run.
    if (!allocation->second.isStopConfirmed) {
        allocation->second.isStopping = false;
        JobExecution* job = this->findJobExecution(end.run.task.job);
        TaskExecution* taskExecution = job ? job->taskExecution(end.run.task) : nullptr;
        if (taskExecution && taskExecution->run == end.run.run && taskExecution->stage == TaskStage::Stopping)
            job->setStage(end.run.task, TaskStage::Unclear, context.now);
        worker.nextPollAt = std::min(worker.nextPollAt, context.now + this->options.stopRetryDelay);
    }
}

} // namespace dragonflytray
