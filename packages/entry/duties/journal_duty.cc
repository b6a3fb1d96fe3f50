#include "entry/duties/journal_duty.h"

namespace dragonflytray {

namespace {

    constexpr Duration window = std::chrono::seconds(1);
    constexpr std::uint32_t linesInWindow = 60; // of one kind of event; a full cell starts about as many tasks a second

} // namespace

JournalDuty::JournalDuty(EntryRings& rings)
    : rings(rings)
{
}

void JournalDuty::run()
{
    while (!this->rings.journal.isDrained()) {
        if (auto message = this->rings.journal.popWithin(window))
            std::visit([this](auto value) { this->on(std::move(value)); }, std::move(*message));
        if (BootClock::now() >= this->windowEnd)
            this->writeSums();
    }
}

void JournalDuty::on(const LogDecision& message)
{
    Allowance& allowance = this->allowances[message.event];
    ++allowance.total;
    if (allowance.written >= linesInWindow) {
        ++allowance.left;
        return;
    }
    ++allowance.written;
    std::vector<LogField> fields { { "id", message.subject }, { "worker", message.worker }, { "outcome", message.outcome }, { "version", std::to_string(message.version) }, { "ageMs", std::to_string(message.ageMilliseconds) }, { "viewAgeMs", message.viewAgeMilliseconds ? std::to_string(*message.viewAgeMilliseconds) : "" } };
    for (const DecisionInputValue& input : message.inputs)
        fields.push_back({ decisionInputNames.nameOf(input.input), std::to_string(input.value) });
    logFields(LogPart::Scheduling, decisionEventNames.nameOf(message.event), fields);
}

void JournalDuty::writeSums()
{
    this->windowEnd = BootClock::now() + window;
    for (const auto& entry : decisionEventNames) {
        Allowance& allowance = this->allowances[entry.value];
        if (allowance.left > 0)
            logFields(LogPart::Scheduling, entry.name, { { "outcome", "summed" }, { "lines", std::to_string(allowance.left) } });
        allowance.written = 0;
        allowance.left = 0;
    }
}

void JournalDuty::on(MetricsSnapshot message)
{
    this->board.update(std::move(message));
}

void JournalDuty::on(const MetricsWanted& message)
{
    (void)this->rings.front.tryPush(MetricsRendered { message.token, this->render() }, RingRoom::Reserved);
}

std::string JournalDuty::render()
{
    MetricsSnapshot snapshot { "journal", {} };
    for (const auto& entry : decisionEventNames)
        snapshot.metrics.push_back({ "dragonflytray_decisions_total", MetricKind::Counter, { { "event", std::string(entry.name) } }, static_cast<double>(this->allowances[entry.value].total) });
    const RingStatistics statistics = this->rings.journal.statistics();
    snapshot.metrics.push_back({ "dragonflytray_log_lines_dropped_total", MetricKind::Counter, {}, static_cast<double>(statistics.refused) });
    this->board.update(std::move(snapshot));
    return this->board.render();
}

} // namespace dragonflytray
