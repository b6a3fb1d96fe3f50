#include "scheduling/scheduler_fixture.h"

#include <algorithm>
#include <iterator>

namespace dragonflytray {

namespace {

    constexpr const char* hostName = "desk.example";
    constexpr const char* prefix = "/q/";
    constexpr Duration tickInterval = std::chrono::milliseconds(20);
    const DataCentreName dataCentre("rs-poa");

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
    scheduler = std::make_unique<Scheduler>(Scheduler::Options { .self = HostName(name), .home = dataCentre, .dataCentres = { { dataCentre, RegionName("sul-rs") } }, .dispatcher = this->dispatcherOptions });
    this->send(name, SchedulerTick { wallTimeAt(this->now) });
    this->send(name, ConfigurationFollowed { this->configuration });
    return *scheduler;
}

void SchedulerFixture::send(const std::string& name, const SchedulerCommand& command)
{
    for (const SchedulerEffect& effect : this->host(name).handle(command, this->now))
        this->carryOut(name, effect);
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
        std::erase_if(this->delayedStarts, [&](const DelayedStart& start) {
            if (start.due <= this->now)
                (void)this->startOn(start.start);
            return start.due <= this->now;
        });
        for (const std::string& name : names) {
            if (!this->isDisconnectedFromStore[name])
                this->deliverChanges(name);
            if (this->shouldDeliverLists && !this->isDisconnectedFromStore[name])
                this->deliverList(name);
            this->send(name, SchedulerTick { wallTimeAt(this->now) });
        }
        std::vector<std::pair<std::string, TaskCallEnded>> over;
        std::erase_if(this->timeouts, [&](const auto& call) {
            if (call.first <= this->now)
                over.push_back(call.second);
            return call.first <= this->now;
        });
        for (const auto& [name, end] : over)
            this->send(name, end);
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

void SchedulerFixture::deliverList(const std::string& name)
{
    const Instant time = this->now - this->listLag[name];
    if (time < this->listedUntil[name])
        return;
    WorkersListed list { {}, {}, false, this->storeVersionAt(time) };
    for (const auto& [id, worker] : this->workers) {
        if (worker.isChangedIn(this->listedUntil[name], time))
            list.changed.push_back(worker.entryAt(time));
    }
    this->listedUntil[name] = time;
    this->send(name, list);
}

ReplyStatus SchedulerFixture::submit(const std::string& name, const std::string& id, std::vector<StepDefinition> steps)
{
    SubmitJobSteps submit { .token = ReplyToken { 1 }, .host = hostName, .path = prefix + id, .job = {} };
    submit.job.spec = "spec of " + id;
    submit.job.steps = std::move(steps);
    this->replies.clear();
    this->send(name, submit);
    return this->replies.empty() ? ReplyStatus::Unclear : this->replies.back().status;
}

SimulatedWorker& SchedulerFixture::addWorker(const std::string& id, std::int64_t cores)
{
    ListedWorker entry { .id = WorkerId(id), .service = ServiceName("desk"), .endpoint = { "127.0.0.1", 1 }, .dataCentre = dataCentre, .labels = { "a", "r1" }, .rack = "r1", .capacity = { cores * 1000, 256000, 0 }, .isDraining = false, .startedAt = 1 };
    return this->workers.try_emplace(entry.id, entry, this->now).first->second;
}

void SchedulerFixture::restartHost(const std::string& name)
{
    this->hosts.erase(name);
    this->followed.erase(name);
    this->listedUntil.erase(name);
    std::erase_if(this->delayedReports, [&](const DelayedReport& report) { return report.host == name; });
    std::erase_if(this->timeouts, [&](const auto& call) { return call.second.first == name; });
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
    const RowsWriteEnded end = this->store.apply(effect);
    this->storeVersions.emplace_back(this->now, this->store.version());
    this->send(name, end);
}

void SchedulerFixture::execute(const std::string& name, const ReadJobRows& effect)
{
    this->send(name, this->isDisconnectedFromStore[name] ? JobRowsRead { effect.job, false, {} } : this->store.rowsOf(effect.job));
}

void SchedulerFixture::execute(const std::string& name, const PollWorker& effect)
{
    PollEnded end { .worker = effect.to.worker, .epoch = effect.to.epoch, .sentAt = this->now, .status = WorkerCallStatus::Unclear };
    if (this->unreachable.contains(effect.to.worker))
        end.status = WorkerCallStatus::NotSent;
    else if (!this->unresponsive.contains(effect.to.worker))
        end = this->workers.at(effect.to.worker).poll(effect, this->now);
    this->delayedReports.push_back({ name, std::move(end), this->now + tickInterval });
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

void SchedulerFixture::endWithoutAnswer(const std::string& name, TaskCallEnded end)
{
    constexpr Duration callTimeout = std::chrono::milliseconds(900);
    this->timeouts.push_back({ this->now + callTimeout, { name, std::move(end) } });
}

void SchedulerFixture::execute(const std::string& name, const StartTask& effect)
{
    this->starts.push_back(effect);
    const StepDefinition definition = this->stepOf(effect.run);
    SimulatedRun work { .id = effect.run, .need = definition.need, .end = definition.isLongRunning ? Instant::max() : this->now + this->taskDuration, .isFailing = this->shouldTasksFail, .checkpoint = {} };
    const SentStart start { .host = name, .call = effect, .work = work, .sentAt = this->now, .isFromLeader = this->leader() == name };
    WorkerCallStatus status = WorkerCallStatus::Unclear;
    if (this->startsToDelay > 0) {
        --this->startsToDelay;
        this->delayedStarts.push_back({ start, this->now + std::chrono::milliseconds(2000) });
        return this->endWithoutAnswer(name, { TaskCallKind::Start, effect.to.worker, effect.to.epoch, effect.run, status });
    }
    status = this->startOn(start);
    this->send(name, TaskCallEnded { TaskCallKind::Start, effect.to.worker, effect.to.epoch, effect.run, status });
}

void SchedulerFixture::execute(const std::string& name, const StopTask& effect)
{
    WorkerCallStatus status = WorkerCallStatus::Unclear;
    if (this->stopsToLose > 0) {
        --this->stopsToLose;
        return this->endWithoutAnswer(name, { TaskCallKind::Stop, effect.to.worker, effect.to.epoch, effect.run, status });
    }
    status = this->workers.at(effect.to.worker).stop(effect, this->now);
    this->send(name, TaskCallEnded { TaskCallKind::Stop, effect.to.worker, effect.to.epoch, effect.run, status });
}

void SchedulerFixture::execute(const std::string& name, const SetTaskSpeed& effect)
{
    this->send(name, TaskCallEnded { TaskCallKind::SetSpeed, effect.to.worker, effect.to.epoch, effect.run, WorkerCallStatus::Ok });
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
        if (!this->unlisted.contains(id))
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
