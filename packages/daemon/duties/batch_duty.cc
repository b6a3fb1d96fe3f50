#include "daemon/duties/batch_duty.h"

#include "daemon/duties/decision_loop.h"

namespace dragonflytray {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(50);
    constexpr Duration reportInterval = std::chrono::milliseconds(500);

} // namespace

BatchDuty::BatchDuty(const Settings& settings, Rings& rings)
    : rings(rings)
    , batch({ .self = settings.host, .dataCentre = settings.dataCentre })
{
}

void BatchDuty::run()
{
    runDecisions(
        this->rings.batch, tickInterval, [this](BatchMessage message) { this->handle(std::move(message)); }, [this](Instant now) { this->tick(now); });
}

void BatchDuty::handle(BatchMessage message)
{
    if (const auto* command = std::get_if<BatchCommand>(&message))
        return this->decide(*command);
    const auto& question = std::get<Question<BatchQuery>>(message);
    (void)this->rings.callers.tryPush(ViewReady { question.token, this->batch.ask(question.query, BootClock::now()) }, RingRoom::Reserved);
}

void BatchDuty::decide(const BatchCommand& command)
{
    for (BatchEffect& effect : this->batch.handle(command, BootClock::now()))
        std::visit([this](auto value) { this->carryOut(std::move(value)); }, std::move(effect));
}

void BatchDuty::carryOut(WriteTransaction effect)
{
    const TransactionId id = effect.transaction.id;
    if (!this->rings.platform.tryPush({ PlatformOrigin::Batch, std::move(effect) }))
        this->decide(TransactionResult { id, TransactionStatus::Unavailable, 0, {} });
}

void BatchDuty::carryOut(ReadRows effect)
{
    if (!this->rings.platform.tryPush({ PlatformOrigin::Batch, std::move(effect) }))
        this->decide(RowsRead {});
}

void BatchDuty::carryOut(ContactWorker effect)
{
    const HostName worker = effect.worker;
    const Epoch epoch = effect.epoch;
    if (!this->rings.workers.tryPush(std::move(effect), RingRoom::Reserved))
        this->decide(WorkerUnreachable { worker, epoch });
}

void BatchDuty::carryOut(ReplyToSubmitter effect)
{
    if (!this->rings.callers.tryPush(std::move(effect), RingRoom::Reserved))
        logError(LogPart::Batch, "A reply was dropped because the ring towards callers is full.");
}

void BatchDuty::tick(Instant now)
{
    this->decide(BatchTick {});
    if (now < this->nextReport)
        return;
    this->nextReport = now + reportInterval;
    this->reportMetrics(now);
}

void BatchDuty::reportMetrics(Instant now)
{
    const auto summary = std::get<BatchSummary>(this->batch.ask(BatchSummaryQuery {}, now));
    if (summary.isLeader != this->wasLeader)
        logInfo(LogPart::Batch, summary.isLeader ? "This host leads its data centre at epoch " + std::to_string(summary.epoch) + "." : "This host no longer leads its data centre.");
    this->wasLeader = summary.isLeader;
    if (summary.isEvacuated != this->wasEvacuated)
        logInfo(LogPart::Batch, summary.isEvacuated ? "This data centre is evacuated: no job is started, and its leader moves queued jobs." : "This data centre is no longer evacuated.");
    this->wasEvacuated = summary.isEvacuated;
    // Told again and again: a duty that was paused does not lead until it hears so anew.
    (void)this->rings.shares.tryPush(LeaderChanged { summary.leader, summary.epoch, summary.isLeader, now }, RingRoom::Reserved);
    MetricsSnapshot snapshot { "batch", {} };
    snapshot.metrics.push_back({ "dragonflytray_is_leader", MetricKind::Gauge, {}, summary.isLeader ? 1.0 : 0.0 });
    for (const auto& entry : jobStateNames)
        snapshot.metrics.push_back({ "dragonflytray_jobs", MetricKind::Gauge, { { "state", std::string(entry.name) } }, static_cast<double>(summary.jobs[entry.value]) });
    snapshot.metrics.push_back({ "dragonflytray_jobs_moved_total", MetricKind::Counter, {}, static_cast<double>(summary.movedJobs) });
    appendRefusals(snapshot.metrics, "job", summary.refusals);
    appendRetries(snapshot.metrics, "job", summary.retries);
    appendRingMetrics(snapshot.metrics, "batch", this->rings.batch);
    (void)this->rings.telemetry.tryPush(std::move(snapshot));
}

} // namespace dragonflytray
