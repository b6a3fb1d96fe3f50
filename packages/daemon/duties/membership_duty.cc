#include "daemon/duties/membership_duty.h"

#include "daemon/duties/decision_loop.h"

namespace dragonflytray {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(100);
    constexpr Duration reportInterval = std::chrono::milliseconds(500);

} // namespace

MembershipDuty::MembershipDuty(const Settings& settings, Rings& rings)
    : rings(rings)
    , membership({ .self = settings.host, .dataCentre = settings.dataCentre })
{
}

void MembershipDuty::run()
{
    runDecisions(
        this->rings.membership, tickInterval, [this](MembershipMessage message) { this->handle(std::move(message)); }, [this](Instant now) { this->tick(now); });
}

void MembershipDuty::handle(MembershipMessage message)
{
    if (const auto* command = std::get_if<MembershipCommand>(&message))
        return this->decide(*command);
    const auto& question = std::get<Question<MembershipQuery>>(message);
    (void)this->rings.callers.tryPush(ViewReady { question.token, this->membership.ask(question.query, BootClock::now()) }, RingRoom::Reserved);
}

void MembershipDuty::decide(const MembershipCommand& command)
{
    for (MembershipEffect& effect : this->membership.handle(command, BootClock::now()))
        std::visit([this](auto value) { this->carryOut(std::move(value)); }, std::move(effect));
    if (const auto* list = std::get_if<HostListRead>(&command))
        this->confirmList(list->isRead);
    if (this->membership.isReady() == this->wasReady)
        return;
    this->wasReady = this->membership.isReady();
    logInfo(LogPart::Membership, this->wasReady ? "This host is ready." : "This host is not ready.");
    (void)this->rings.callers.tryPush(ReadinessChanged { this->wasReady }, RingRoom::Reserved);
}

void MembershipDuty::ask(PlatformWork work)
{
    if (!this->rings.platform.tryPush({ PlatformOrigin::Membership, std::move(work) }))
        logWarning(LogPart::Membership, "The ring towards the platform is full.");
}

void MembershipDuty::carryOut(WriteTransaction effect)
{
    this->ask(std::move(effect));
}

void MembershipDuty::carryOut(ReadRows effect)
{
    this->ask(std::move(effect));
}

void MembershipDuty::carryOut(ReadObject effect)
{
    this->ask(std::move(effect));
}

void MembershipDuty::carryOut(WriteObject effect)
{
    this->ask(std::move(effect));
}

void MembershipDuty::carryOut(ReadHostList effect)
{
    this->listAskedAt.push_back(BootClock::now());
    this->ask(effect);
}

void MembershipDuty::confirmList(bool isRead)
{
    if (this->listAskedAt.empty())
        return;
    // Answers may cross: the oldest question still open can't be later than the one that was answered.
    const Instant askedAt = this->listAskedAt.front();
    this->listAskedAt.pop_front();
    if (isRead)
        (void)this->rings.shares.tryPush(HostListConfirmed { askedAt }, RingRoom::Reserved);
}

void MembershipDuty::carryOut(SendHeartbeat effect)
{
    (void)this->rings.peers.tryPush(std::move(effect));
}

void MembershipDuty::carryOut(const PublishHosts& effect)
{
    (void)this->rings.requests.tryPush(RoutingCommand(ChangeHosts { effect.hosts }), RingRoom::Reserved);
    (void)this->rings.batch.tryPush(BatchCommand(ChangeHosts { effect.hosts }), RingRoom::Reserved);
    (void)this->rings.shares.tryPush(ChangeHosts { effect.hosts }, RingRoom::Reserved);
    logInfo(LogPart::Membership, "The host list has " + std::to_string(effect.hosts.size()) + " hosts.");
}

void MembershipDuty::carryOut(const PublishConfiguration& effect)
{
    (void)this->rings.requests.tryPush(RoutingCommand(ChangeConfiguration { effect.inForce }), RingRoom::Reserved);
    (void)this->rings.batch.tryPush(BatchCommand(ChangeConfiguration { effect.inForce }), RingRoom::Reserved);
    (void)this->rings.shares.tryPush(ChangeConfiguration { effect.inForce }, RingRoom::Reserved);
    logInfo(LogPart::Membership, "Configuration version " + std::to_string(effect.inForce.version) + " is in force.");
    this->logEvacuations(effect.inForce.declaration->evacuatedDataCentres);
}

void MembershipDuty::logEvacuations(const std::vector<DataCentreName>& evacuated)
{
    if (evacuated == this->loggedEvacuations)
        return;
    this->loggedEvacuations = evacuated;
    std::string names;
    for (const DataCentreName& name : evacuated)
        names += (names.empty() ? "" : ", ") + name.value();
    logInfo(LogPart::Membership, evacuated.empty() ? "No data centre is evacuated any more." : "Evacuated data centres: " + names + ".");
}

void MembershipDuty::carryOut(ReplyToOperator effect)
{
    (void)this->rings.callers.tryPush(std::move(effect), RingRoom::Reserved);
}

void MembershipDuty::tick(Instant now)
{
    this->decide(MembershipTick {});
    if (now < this->nextReport)
        return;
    this->nextReport = now + reportInterval;
    const auto status = std::get<MembershipStatus>(this->membership.ask(StatusQuery {}, now));
    MetricsSnapshot snapshot { "membership", {} };
    snapshot.metrics.push_back({ "dragonflytray_configuration_version", MetricKind::Gauge, {}, static_cast<double>(status.version) });
    snapshot.metrics.push_back({ "dragonflytray_evacuated_data_centres", MetricKind::Gauge, {}, static_cast<double>(status.evacuatedDataCentres.size()) });
    snapshot.metrics.push_back({ "dragonflytray_host_list_age_seconds", MetricKind::Gauge, {}, toSeconds(status.listAge) });
    snapshot.metrics.push_back({ "dragonflytray_host_list_read_failures_total", MetricKind::Counter, {}, static_cast<double>(status.counts.failedListReads) });
    snapshot.metrics.push_back({ "dragonflytray_heartbeats_heard_total", MetricKind::Counter, {}, static_cast<double>(status.counts.heartbeatsReceived) });
    snapshot.metrics.push_back({ "dragonflytray_heartbeats_missed_total", MetricKind::Counter, {}, static_cast<double>(status.counts.missedHeartbeats) });
    for (const auto& entry : applyStatusNames)
        snapshot.metrics.push_back({ "dragonflytray_applies_total", MetricKind::Counter, { { "status", std::string(entry.name) } }, static_cast<double>(status.counts.applies[entry.value]) });
    appendRingMetrics(snapshot.metrics, "membership", this->rings.membership);
    (void)this->rings.telemetry.tryPush(std::move(snapshot));
}

} // namespace dragonflytray
