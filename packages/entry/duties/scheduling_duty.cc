#include "entry/duties/scheduling_duty.h"

#include <chrono>

namespace dragonflytray {

namespace {

    constexpr Duration leaderTick = std::chrono::milliseconds(20); // commits and retries are due in steps of it
    constexpr Duration followerTick = std::chrono::milliseconds(100); // a lease is taken within it
    constexpr Duration reportInterval = std::chrono::seconds(1);

    WallTime wallTime()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

} // namespace

SchedulingDuty::SchedulingDuty(const EntrySettings& settings, EntryRings& rings)
    : rings(rings)
    , scheduler(schedulerOptions(settings))
{
}

void SchedulingDuty::run()
{
    while (!this->rings.scheduling.isDrained()) {
        const Instant now = BootClock::now();
        if (now >= this->nextTick)
            this->tick(now);
        if (auto message = this->rings.scheduling.popWithin(std::max(this->nextTick - now, Duration(0))))
            this->handle(std::move(*message));
    }
}

void SchedulingDuty::handle(SchedulingMessage message)
{
    if (const auto* command = std::get_if<SchedulerCommand>(&message)) {
        this->isDraining = this->isDraining || std::holds_alternative<BeginHandover>(*command);
        return this->decide(*command);
    }
    const auto& question = std::get<AskQueue>(message);
    const auto view = std::get<QueueView>(this->scheduler.ask(question.query, BootClock::now()));
    if (view.status != ReplyStatus::QueueFound)
        return this->decide(RefuseQueueQuery { question.token, question.query.path, view.status, view.reason });
    (void)this->rings.front.tryPush(QueueAnswered { question.token, view }, RingRoom::Reserved);
}

void SchedulingDuty::decide(const SchedulerCommand& command)
{
    for (SchedulerEffect& effect : this->scheduler.handle(command, BootClock::now()))
        std::visit([this](auto value) { this->carryOut(std::move(value)); }, std::move(effect));
}

void SchedulingDuty::tick(Instant now)
{
    this->nextTick = now + (this->isLeading ? leaderTick : followerTick);
    this->decide(SchedulerTick { wallTime() });
    if (this->isDraining && !this->hasHandedOver && this->scheduler.isHandedOver()) {
        this->hasHandedOver = true;
        (void)this->rings.handedOver.tryPush(HandedOver {});
    }
    this->reportReadiness(now);
    if (now < this->nextReport)
        return;
    this->nextReport = now + reportInterval;
    const auto summary = std::get<SchedulerSummary>(this->scheduler.ask(SchedulerSummaryQuery {}, now));
    this->isLeading = summary.ledCells > 0;
    this->reportMetrics(summary);
}

void SchedulingDuty::reportReadiness(Instant now)
{
    const bool isReady = std::get<ReadinessView>(this->scheduler.ask(ReadinessQuery {}, now)).isReady && !this->isDraining;
    if (isReady != this->wasReady && this->rings.front.tryPush(HostReadiness { isReady }, RingRoom::Reserved))
        this->wasReady = isReady;
}

void SchedulingDuty::reportMetrics(const SchedulerSummary& summary)
{
    MetricsSnapshot snapshot { "scheduling", {} };
    const auto gauge = [&](const char* name, double value) { snapshot.metrics.push_back({ name, MetricKind::Gauge, {}, value }); };
    gauge("dragonflytray_configuration_version", static_cast<double>(summary.configurationVersion));
    gauge("dragonflytray_store_version", static_cast<double>(summary.followedVersion));
    gauge("dragonflytray_store_age_seconds", static_cast<double>(summary.storeAgeMilliseconds) / 1000.0);
    if (summary.viewAgeMilliseconds)
        gauge("dragonflytray_view_age_seconds", static_cast<double>(*summary.viewAgeMilliseconds) / 1000.0);
    gauge("dragonflytray_known_jobs", static_cast<double>(summary.knownJobs));
    gauge("dragonflytray_active_jobs", static_cast<double>(summary.activeJobs));
    gauge("dragonflytray_running_tasks", static_cast<double>(summary.runningTasks));
    gauge("dragonflytray_owed_jobs", static_cast<double>(summary.unrecordedJobs));
    gauge("dragonflytray_led_cells", static_cast<double>(summary.ledCells));
    gauge("dragonflytray_highest_epoch", static_cast<double>(summary.highestEpoch));
    gauge("dragonflytray_delegating", summary.isDelegating ? 1 : 0);
    gauge("dragonflytray_start_window_bytes", static_cast<double>(summary.startWindowBytes));
    gauge("dragonflytray_start_bytes_under_way", static_cast<double>(summary.startBytesUnderWay));
    if (summary.followsEvacuations) {
        gauge("dragonflytray_evacuated_data_centres", static_cast<double>(summary.evacuatedDataCentres));
        gauge("dragonflytray_evacuated_runs", static_cast<double>(summary.evacuatedRuns));
    }
    if (summary.retries)
        addRetryMetrics(*summary.retries, snapshot.metrics);
    if (summary.judgesWorkers) {
        gauge("dragonflytray_reduced_workers", static_cast<double>(summary.reducedWorkers));
        gauge("dragonflytray_quarantined_workers", static_cast<double>(summary.quarantinedWorkers));
        gauge("dragonflytray_spared_workers", static_cast<double>(summary.sparedWorkers));
    }
    if (summary.learnsRunTimes || summary.judgesWorkers)
        gauge("dragonflytray_run_time_keys", static_cast<double>(summary.runTimeKeys));
    for (const QueueDebt& debt : summary.queueDebts) {
        const std::map<std::string, std::string> labels { { "queue", debt.use.queue.value() } };
        snapshot.metrics.push_back({ "dragonflytray_queue_cores", MetricKind::Gauge, labels, debt.use.cores });
        snapshot.metrics.push_back({ "dragonflytray_queue_debt_core_seconds", MetricKind::Gauge, labels, debt.debt });
    }
    for (const auto& entry : admissionOutcomeNames) {
        if (summary.refusesHopeless)
            snapshot.metrics.push_back({ "dragonflytray_admissions_total", MetricKind::Counter, { { "outcome", std::string(entry.name) } }, static_cast<double>(summary.admissions[entry.value]) });
    }
    for (const auto& entry : replyReasonNames)
        snapshot.metrics.push_back({ "dragonflytray_refusals_total", MetricKind::Counter, { { "reason", std::string(entry.name) } }, static_cast<double>(summary.replies[entry.value]) });
    for (const auto& entry : stageNames)
        snapshot.metrics.push_back({ "dragonflytray_stage_seconds", MetricKind::Histogram, { { "stage", std::string(entry.name) } }, 0, summary.stageTimes[entry.value] });
    (void)this->rings.journal.tryPush(std::move(snapshot));
}

void SchedulingDuty::addRetryMetrics(const RetrySummary& retries, std::vector<Metric>& metrics)
{
    for (const auto& entry : adviceReasonNames)
        metrics.push_back({ "dragonflytray_retry_advice_total", MetricKind::Counter, { { "reason", std::string(entry.name) } }, static_cast<double>(retries.told[entry.value]) });
    for (const auto& entry : transactionStatusNames)
        metrics.push_back({ "dragonflytray_repeated_submissions_total", MetricKind::Counter, { { "result", std::string(entry.name) } }, static_cast<double>(retries.repeatResults[entry.value]) });
    metrics.push_back({ "dragonflytray_longest_retry_after_seconds", MetricKind::Gauge, {}, toSeconds(retries.longestAdvice) });
    metrics.push_back({ "dragonflytray_held_submissions", MetricKind::Gauge, {}, static_cast<double>(retries.heldSubmissions) });
}

void SchedulingDuty::carryOut(WriteStoredRows effect)
{
    const std::uint64_t write = effect.write;
    if (!this->rings.store.tryPush(std::move(effect), RingRoom::Reserved))
        this->decide(RowsWriteEnded { write, TransactionStatus::Unavailable, 0, {} });
}

void SchedulingDuty::carryOut(ReadJobRows effect)
{
    const JobId job = effect.job;
    if (!this->rings.store.tryPush(std::move(effect)))
        this->decide(JobRowsRead { job, false, {} });
}

void SchedulingDuty::carryOut(ReadRosters effect)
{
    if (!this->rings.store.tryPush(effect, RingRoom::Reserved))
        logError(LogPart::Scheduling, "The rosters can't be read because the ring towards the store is full.");
}

void SchedulingDuty::carryOut(PollWorker effect)
{
    PollEnded failed { .worker = effect.to.worker, .token = effect.to.token, .sentAt = BootClock::now(), .status = WorkerCallStatus::NotSent };
    if (!this->rings.workers.tryPush(std::move(effect), RingRoom::Reserved))
        this->decide(std::move(failed));
}

template <typename TaskCall>
void SchedulingDuty::callWorker(TaskCallKind kind, TaskCall call, RingRoom room)
{
    TaskCallEnded failed { kind, call.to.worker, call.to.token, call.run, WorkerCallStatus::NotSent };
    if (!this->rings.workers.tryPush(std::move(call), room))
        this->decide(std::move(failed));
}

void SchedulingDuty::carryOut(StartTask effect)
{
    this->callWorker(TaskCallKind::Start, std::move(effect), RingRoom::Ordinary);
}

void SchedulingDuty::carryOut(StopTask effect)
{
    this->callWorker(TaskCallKind::Stop, std::move(effect), RingRoom::Reserved);
}

void SchedulingDuty::carryOut(SetTaskSpeed effect)
{
    this->callWorker(TaskCallKind::SetSpeed, std::move(effect), RingRoom::Ordinary);
}

void SchedulingDuty::carryOut(ReplyToClient effect)
{
    if (!this->rings.front.tryPush(effect, RingRoom::Reserved))
        logError(LogPart::Scheduling, "A reply was dropped because the ring towards callers is full.");
}

void SchedulingDuty::carryOut(FollowWorkers effect)
{
    this->isLeading = effect.shouldFollow;
    if (!this->rings.store.tryPush(effect, RingRoom::Reserved))
        logError(LogPart::Scheduling, "The list of workers can't be followed because the ring towards the store is full.");
}

void SchedulingDuty::carryOut(LogDecision effect)
{
    // The ring counts what it refuses; a decision never waits for its line.
    (void)this->rings.journal.tryPush(std::move(effect));
}

} // namespace dragonflytray
