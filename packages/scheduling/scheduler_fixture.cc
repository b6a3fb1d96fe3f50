#include "scheduling/scheduler_fixture.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dragonflytray {

namespace {

    constexpr const char* hostName = "desk.example";
    constexpr const char* prefix = "/q/";
    constexpr Duration tickInterval = std::chrono::milliseconds(20);
    constexpr Duration callTimeout = std::chrono::milliseconds(900); // of calls to workers
    const DataCentreName dataCentre(SchedulerFixture::homeDataCentre);

    WallTime wallTimeAt(Instant now)
    {
        return toMilliseconds(now.time_since_epoch());
    }

} // namespace

StepDefinition stepOfTasks(std::uint32_t count, std::int64_t cores)
{
    return { .count = count, .need = { cores * 1000, 1000, 0 }, .estimate = std::chrono::seconds(1) };
}

SchedulerFixture::SchedulerFixture()
{
    QueueRule queue { .name = QueueName("quick"), .host = hostName, .pathPrefix = prefix, .service = ServiceName("desk"), .priority = 0, .maxAttempts = 2, .slackFactor = 2, .targetLatency = std::chrono::seconds(1) };
    this->configuration = { .version = 1, .queues = { queue } };
}

Scheduler& SchedulerFixture::host(const std::string& name)
{
    std::unique_ptr<Scheduler>& scheduler = this->hosts[name];
    if (scheduler)
        return *scheduler;
    scheduler = std::make_unique<Scheduler>(Scheduler::Options { .self = HostName(name), .home = dataCentre, .dataCentres = { { dataCentre, RegionName("sul-rs") }, { DataCentreName(otherDataCentre), RegionName("sul-sc") } }, .ownEntry = this->ownEntries[name], .dispatcher = this->dispatcherOptions, .clientRequests = this->clientRequestsOptions, .refusesHopeless = this->refusesHopeless });
    this->send(name, SchedulerTick { wallTimeAt(this->now) });
    this->send(name, ConfigurationFollowed { this->configuration });
    return *scheduler;
}

void SchedulerFixture::send(const std::string& name, const SchedulerCommand& command)
{
    if (this->isFrozen(name))
        return this->heldCommands[name].push_back(command);
    for (const SchedulerEffect& effect : this->host(name).handle(command, this->now))
        this->carryOut(name, effect);
}

bool SchedulerFixture::isFrozen(const std::string& name) const
{
    const auto until = this->frozenUntil.find(name);
    return until != this->frozenUntil.end() && this->now < until->second;
}

void SchedulerFixture::carryOut(const std::string& name, const SchedulerEffect& effect)
{
    std::visit([&](const auto& value) { this->execute(name, value); }, effect);
}

void SchedulerFixture::run(const std::vector<std::string>& names, Duration time)
{
    for (const Instant end = this->now + time; this->now < end; this->now += tickInterval) {
        for (auto& [id, worker] : this->workers)
            worker.advance(this->now);
        this->carryOutDelayedCalls();
        for (const std::string& name : names)
            this->runHost(name);
        this->deliverDelayedCommands(names);
        std::vector<DelayedReport> due;
        std::erase_if(this->delayedReports, [&](const DelayedReport& report) {
            if (report.due > this->now)
                return false;
            due.push_back(report);
            return true;
        });
        for (const DelayedReport& report : due) {
            if (std::find(names.begin(), names.end(), report.host) != names.end())
                this->send(report.host, report.end);
        }
    }
}

void SchedulerFixture::carryOutSlowStarts()
{
    while (!this->slowStarts.empty() && this->slowStarts.front().due <= this->now) {
        const SentStart start = this->slowStarts.front().start;
        this->slowStarts.pop_front();
        const bool isExpired = this->now >= start.call.expiresAt;
        const WorkerCallStatus status = isExpired ? WorkerCallStatus::Expired : this->startOn(start);
        const TaskCallEnded end { TaskCallKind::Start, start.call.to.worker, start.call.to.token, start.call.run, status };
        if (this->startPropagation > Duration(0))
            this->deliverAfter(this->startPropagation, start.host, end);
        else
            this->send(start.host, end);
    }
}

void SchedulerFixture::carryOutDelayedCalls()
{
    this->carryOutSlowStarts();
    std::erase_if(this->delayedStarts, [&](const DelayedStart& start) {
        if (start.due <= this->now && !this->crashed.contains(start.start.call.to.worker))
            (void)this->startOn(start.start);
        return start.due <= this->now;
    });
    std::erase_if(this->delayedStops, [&](const DelayedStop& stop) {
        if (stop.due <= this->now && !this->crashed.contains(stop.call.to.worker))
            (void)this->workers.at(stop.call.to.worker).stop(stop.call, this->now);
        return stop.due <= this->now;
    });
    std::erase_if(this->delayedWrites, [&](const DelayedWrite& write) {
        if (write.due > this->now)
            return false;
        this->store.apply(write.write);
        this->storeVersions.emplace_back(this->now, this->store.version());
        return true;
    });
}

void SchedulerFixture::runHost(const std::string& name)
{
    if (this->isFrozen(name)) {
        const std::vector<SchedulerCommand>& held = this->heldCommands[name];
        const bool isChangeHeld = std::any_of(held.begin(), held.end(), [](const SchedulerCommand& command) { return std::holds_alternative<StoredRowsRead>(command); });
        if (!isChangeHeld && !this->isDisconnectedFromStore[name] && this->followed[name] < this->store.version())
            this->deliverChanges(name); // the answer that was awaited when the host froze
        return;
    }
    this->deliverHeldCommands(name);
    if (!this->isDisconnectedFromStore[name])
        this->deliverChanges(name);
    this->deliverRosters(name);
    if (this->shouldDeliverLists && !this->isDisconnectedFromStore[name])
        this->deliverList(name);
    if (this->dispatcherOptions.maxEvacuationsViewAge > Duration(0) && !this->isDisconnectedFromStore[name])
        this->deliverEvacuations(name);
    this->send(name, SchedulerTick { wallTimeAt(this->now) });
}

void SchedulerFixture::deliverHeldCommands(const std::string& name)
{
    for (SchedulerCommand& command : std::exchange(this->heldCommands[name], {})) {
        if (auto* report = std::get_if<PollEnded>(&command))
            report->receivedAt = this->now;
        this->send(name, command);
    }
}

void SchedulerFixture::deliverDelayedCommands(const std::vector<std::string>& names)
{
    std::vector<DelayedCommand> due;
    std::erase_if(this->delayedCommands, [&](const DelayedCommand& command) {
        const bool isDue = command.due <= this->now && std::find(names.begin(), names.end(), command.host) != names.end();
        if (isDue)
            due.push_back(command);
        return isDue;
    });
    std::stable_sort(due.begin(), due.end(), [](const DelayedCommand& left, const DelayedCommand& right) { return left.due < right.due; });
    for (const DelayedCommand& command : due)
        this->send(command.host, command.command);
}

RowVersion SchedulerFixture::storeVersionAt(Instant time) const
{
    const auto next = std::upper_bound(this->storeVersions.begin(), this->storeVersions.end(), time, [](Instant bound, const auto& entry) { return bound < entry.first; });
    return next == this->storeVersions.begin() ? 0 : std::prev(next)->second;
}

void SchedulerFixture::deliverChanges(const std::string& name)
{
    const RowVersion version = this->storeVersionAt(this->now - this->feedLag[name]);
    if (version < this->followed[name])
        return;
    this->send(name, this->store.changesAfter(this->followed[name], version));
    this->followed[name] = version;
}

void SchedulerFixture::deliverRosters(const std::string& name)
{
    const auto due = this->rostersDue.find(name);
    if (due == this->rostersDue.end() || this->now < due->second || this->isDisconnectedFromStore[name])
        return;
    this->rostersDue.erase(due);
    RostersRead read = this->store.rosters();
    std::erase_if(read.rows, [this](const StoredRowChange& row) { return this->unreadableRows.contains(row.key); });
    this->send(name, read);
}

void SchedulerFixture::deliverList(const std::string& name)
{
    const Instant time = this->now - this->listLag[name];
    if (time < this->listedUntil[name])
        return;
    WorkersListed list { {}, {}, false, this->storeVersionAt(time) };
    for (const auto& [id, worker] : this->workers) {
        if (!worker.isChangedIn(this->listedUntil[name], time))
            continue;
        if (worker.isListedAt(time) && !this->unlisted.contains(id))
            list.changed.push_back(worker.entryAt(time));
        else
            list.removed.push_back(id);
    }
    this->listedUntil[name] = time;
    this->send(name, list);
}

void SchedulerFixture::storeEvacuation(const std::string& dataCentreName, bool isEvacuated)
{
    // A row of another table; the store's versions count all transactions.
    const RowsWriteEnded end = this->store.apply(WriteStoredRows {});
    this->storeVersions.emplace_back(this->now, end.revision);
    this->evacuations.push_back({ this->now, { DataCentreName(dataCentreName), isEvacuated, end.revision } });
}

void SchedulerFixture::deliverEvacuations(const std::string& name)
{
    EvacuationsDelivered delivered { {}, false, this->storeVersionAt(this->now - this->evacuationLag[name]) };
    for (const auto& [storedAt, change] : this->evacuations) {
        if (change.version > this->evacuationsFollowed[name] && change.version <= delivered.revision)
            delivered.changes.push_back(change);
    }
    this->evacuationsFollowed[name] = std::max(this->evacuationsFollowed[name], delivered.revision);
    this->send(name, EvacuationsFollowed { std::move(delivered) });
}

void SchedulerFixture::addQueue(const std::string& queue, int priority)
{
    QueueRule rule = this->configuration.queues.front();
    rule.name = QueueName(queue);
    rule.pathPrefix = "/" + queue + "/";
    rule.priority = priority;
    this->configuration.queues.push_back(rule);
}

ReplyStatus SchedulerFixture::submit(const std::string& name, const std::string& id, std::vector<StepDefinition> steps)
{
    return this->submitTo(this->configuration.queues.front().name.value(), name, id, std::move(steps));
}

ReplyStatus SchedulerFixture::submitTo(const std::string& queue, const std::string& name, const std::string& id, std::vector<StepDefinition> steps)
{
    const auto rule = std::find_if(this->configuration.queues.begin(), this->configuration.queues.end(), [&](const QueueRule& candidate) { return candidate.name.value() == queue; });
    REQUIRE(rule != this->configuration.queues.end());
    SubmitJobSteps submit { .token = ReplyToken { 1 }, .host = hostName, .path = rule->pathPrefix + id, .job = {} };
    submit.job.spec = "spec of " + id;
    submit.job.steps = std::move(steps);
    this->replies.clear();
    this->send(name, submit);
    return this->replies.empty() ? ReplyStatus::Unclear : this->replies.back().status;
}

SimulatedWorker& SchedulerFixture::addWorker(const std::string& id, std::int64_t cores, const std::string& dataCentreName)
{
    ListedWorker entry { .id = WorkerId(id), .service = ServiceName("desk"), .endpoint = { "127.0.0.1", static_cast<std::uint16_t>(this->workers.size() + 1) }, .dataCentre = DataCentreName(dataCentreName), .labels = { "a", "r1" }, .rack = "r1", .capacity = { cores * 1000, 256000, 0 }, .isDraining = false, .startedAt = this->workerStartTime };
    return this->workers.try_emplace(entry.id, entry, this->now).first->second;
}

void SchedulerFixture::restartHost(const std::string& name)
{
    this->hosts.erase(name);
    this->followed.erase(name);
    this->listedUntil.erase(name);
    this->evacuationsFollowed.erase(name);
    this->rostersDue.erase(name);
    std::erase_if(this->delayedReports, [&](const DelayedReport& report) { return report.host == name; });
    std::erase_if(this->delayedCommands, [&](const DelayedCommand& command) { return command.host == name; });
    this->heldCommands.erase(name);
    this->frozenUntil.erase(name);
}

void SchedulerFixture::setStoreContact(const std::string& name, bool isConnected)
{
    this->isDisconnectedFromStore[name] = !isConnected;
    this->send(name, StoreContact { isConnected });
}

void SchedulerFixture::crashWorker(const WorkerId& id)
{
    this->crashed.insert(id);
    this->workers.at(id).restart(this->now);
}

void SchedulerFixture::restoreWorker(const WorkerId& id)
{
    this->crashed.erase(id);
    this->workers.at(id).restart(this->now);
    this->workers.at(id).list(this->now);
}

void SchedulerFixture::replaceWorker(const WorkerId& id, const std::string& successor)
{
    this->crashed.erase(id);
    this->replaced.insert(id);
    this->workers.at(id).unlist(this->now);
    ListedWorker entry = this->workers.at(id).entry();
    entry.id = WorkerId(successor);
    SimulatedWorker& worker = this->workers.try_emplace(entry.id, entry, this->now).first->second;
    worker.unlist(Instant());
    worker.list(this->now);
}

std::string SchedulerFixture::leader() const
{
    const StoredRowChange* row = this->store.find({ StoredRowKind::CellLease, "whole" });
    return row ? std::get<CellLease>(*row->value).holder.value() : std::string();
}

JobPhase SchedulerFixture::phaseOf(const std::string& id) const
{
    const StoredRowChange* row = this->store.find({ StoredRowKind::Progress, id });
    return row ? std::get<JobProgress>(*row->value).phase : JobPhase::Queued;
}

std::vector<TaskRunId> SchedulerFixture::runningOf(const std::string& id) const
{
    std::vector<TaskRunId> runs;
    for (const auto& [name, worker] : this->workers) {
        for (const auto& [run, work] : worker.running()) {
            if (run.task.job.value() == id)
                runs.push_back(run);
        }
    }
    return runs;
}

bool SchedulerFixture::areOver(const std::vector<std::string>& ids) const
{
    return std::all_of(ids.begin(), ids.end(), [this](const std::string& id) { return isFinal(this->phaseOf(id)) && this->runningOf(id).empty(); });
}

StepDefinition SchedulerFixture::stepOf(const TaskRunId& run) const
{
    const StoredRowChange* row = this->store.find({ StoredRowKind::Definition, run.task.job.value() });
    return std::get<JobDefinition>(*row->value).steps.at(run.task.step);
}

void SchedulerFixture::execute(const std::string& name, const WriteStoredRows& effect)
{
    const bool isProgress = !effect.puts.empty() && effect.puts.front().key.kind == StoredRowKind::Progress;
    if (this->isDisconnectedFromStore[name] || (isProgress && this->areProgressWritesRefused))
        return this->send(name, RowsWriteEnded { effect.write, TransactionStatus::Unavailable, 0, {} });
    this->applyToStore(name, effect, this->chooseWriteFault ? this->chooseWriteFault(name, effect) : WriteFault {});
}

void SchedulerFixture::applyToStore(const std::string& name, const WriteStoredRows& write, const WriteFault& fault)
{
    constexpr Duration writeTimeout = std::chrono::seconds(1);
    const RowsWriteEnded timeout { write.write, TransactionStatus::Ambiguous, 0, {} };
    if (fault.effectDelay > Duration(0)) {
        this->delayedWrites.push_back({ write, this->now + fault.effectDelay });
        return this->deliverAfter(writeTimeout, name, timeout);
    }
    const RowsWriteEnded end = this->store.apply(write);
    this->storeVersions.emplace_back(this->now, this->store.version());
    if (fault.isAnswerLost)
        return this->deliverAfter(writeTimeout, name, timeout);
    if (fault.answerDelay > Duration(0))
        return this->deliverAfter(fault.answerDelay, name, end);
    this->send(name, end);
}

void SchedulerFixture::execute(const std::string& name, const ReadJobRows& effect)
{
    this->send(name, this->isDisconnectedFromStore[name] ? JobRowsRead { effect.job, false, {} } : this->store.rowsOf(effect.job));
}

void SchedulerFixture::execute(const std::string& name, const ReadRosters&)
{
    this->rostersDue[name] = this->now + this->rosterLag[name];
    this->deliverRosters(name);
}

void SchedulerFixture::execute(const std::string& name, const PollWorker& effect)
{
    PollEnded end { .worker = effect.to.worker, .token = effect.to.token, .sentAt = this->now, .status = WorkerCallStatus::Unclear };
    Duration delay = tickInterval;
    if (this->unreachable.contains(effect.to.worker)) {
        end.status = WorkerCallStatus::NotSent;
    } else if (this->replaced.contains(effect.to.worker)) {
        end.status = WorkerCallStatus::OtherIncarnation;
    } else if (this->canReach(name, effect.to.worker) && !this->unresponsive.contains(effect.to.worker)) {
        PollEnded answer = this->workers.at(effect.to.worker).poll(effect, this->now);
        if (this->pollsToLose > 0)
            delay = callTimeout;
        else
            end = std::move(answer);
        this->pollsToLose = std::max(this->pollsToLose - 1, 0);
    } else {
        delay = this->pollTimeout;
    }
    this->delayedReports.push_back({ name, std::move(end), this->now + delay });
}

WorkerCallStatus SchedulerFixture::startOn(const SentStart& start)
{
    const StartTask& call = start.call;
    SimulatedWorker& worker = this->workers.at(call.to.worker);
    const std::size_t runsBefore = worker.running().count(call.run);
    const WorkerCallStatus status = worker.start(call, start.work, this->now);
    if (status == WorkerCallStatus::Ok && runsBefore == 0)
        this->begunRuns.push_back({ start, this->now });
    std::size_t runs = 0;
    for (const TaskRunId& run : this->runningOf(call.run.task.job.value()))
        runs += run.task == call.run.task ? 1 : 0;
    this->maxConcurrentRuns = std::max(this->maxConcurrentRuns, runs);
    return status;
}

void SchedulerFixture::deliverAfter(Duration delay, const std::string& name, SchedulerCommand command)
{
    this->delayedCommands.push_back({ name, std::move(command), this->now + delay });
}

void SchedulerFixture::execute(const std::string& name, const StartTask& effect)
{
    this->starts.push_back(effect);
    const StepDefinition definition = this->stepOf(effect.run);
    const Duration duration = this->chooseTaskDuration ? this->chooseTaskDuration(effect.run) : this->taskDuration;
    SimulatedRun work { .id = effect.run, .need = needOf(definition), .end = definition.isLongRunning ? Instant::max() : this->now + duration, .isFailing = this->shouldTasksFail, .checkpoint = {} };
    if (this->changeWork)
        this->changeWork(effect.to.worker, work);
    const SentStart start { .host = name, .call = effect, .work = work, .sentAt = this->now, .isFromLeader = this->leader() == name };
    TaskCallEnded end { TaskCallKind::Start, effect.to.worker, effect.to.token, effect.run, WorkerCallStatus::Unclear };
    if (this->replaced.contains(effect.to.worker)) {
        end.status = WorkerCallStatus::OtherIncarnation;
        return this->send(name, end);
    }
    if (!this->canReach(name, effect.to.worker))
        return this->deliverAfter(callTimeout, name, end);
    if (this->refusing.contains(effect.to.worker)) {
        end.status = WorkerCallStatus::Unhealthy;
        return this->send(name, end);
    }
    if (this->startTransmission > Duration(0)) {
        const Instant freeAt = this->slowStarts.empty() ? this->now : this->slowStarts.back().due - this->startPropagation;
        return this->slowStarts.push_back({ start, std::max(freeAt, this->now) + this->startTransmission + this->startPropagation });
    }
    if (this->startsToDelay > 0) {
        --this->startsToDelay;
        this->delayedStarts.push_back({ start, this->now + this->startDelay });
        return this->deliverAfter(callTimeout, name, end);
    }
    end.status = this->startOn(start);
    this->send(name, end);
}

void SchedulerFixture::execute(const std::string& name, const StopTask& effect)
{
    TaskCallEnded end { TaskCallKind::Stop, effect.to.worker, effect.to.token, effect.run, WorkerCallStatus::Unclear };
    if (!this->canReach(name, effect.to.worker))
        return this->deliverAfter(callTimeout, name, end);
    if (this->stopsToLose > 0) {
        --this->stopsToLose;
        return this->deliverAfter(callTimeout, name, end);
    }
    if (const Duration delay = this->chooseStopDelay ? this->chooseStopDelay(effect.run) : Duration(0); delay > Duration(0)) {
        this->delayedStops.push_back({ effect, this->now + delay });
        end.status = WorkerCallStatus::Ok;
        return this->send(name, end);
    }
    end.status = this->workers.at(effect.to.worker).stop(effect, this->now);
    this->send(name, end);
}

void SchedulerFixture::execute(const std::string& name, const SetTaskSpeed& effect)
{
    this->send(name, TaskCallEnded { TaskCallKind::SetSpeed, effect.to.worker, effect.to.token, effect.run, WorkerCallStatus::Ok });
}

void SchedulerFixture::execute(const std::string&, const ReplyToClient& effect)
{
    this->replies.push_back(effect);
}

void SchedulerFixture::execute(const std::string& name, const FollowWorkers& effect)
{
    if (!effect.shouldFollow)
        return;
    const Instant time = this->now - this->listLag[name];
    WorkersListed list { {}, {}, true, this->storeVersionAt(time) };
    for (const auto& [id, worker] : this->workers) {
        if (worker.isListedAt(time) && !this->unlisted.contains(id))
            list.changed.push_back(worker.entryAt(time));
    }
    this->listedUntil[name] = time;
    this->send(name, list);
}

void SchedulerFixture::execute(const std::string&, const LogDecision& effect)
{
    this->log.push_back(effect);
}

} // namespace dragonflytray
