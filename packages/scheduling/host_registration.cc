#include "scheduling/host_registration.h"

namespace dragonflytray {

HostRegistration::HostRegistration(Options options)
    : options(std::move(options))
{
}

bool HostRegistration::isCurrent() const
{
    if (this->options.entry.agent.port == 0)
        return true;
    return this->isWithdrawn ? !this->stored : this->stored == this->options.entry;
}

void HostRegistration::observe(const EntryHost* row)
{
    this->stored = row ? std::optional(*row) : std::nullopt;
}

void HostRegistration::maintain(CommandContext& context)
{
    if (this->isCurrent() || this->writeInFlight != 0)
        return;
    if (this->nextWriteAt == Instant()) {
        constexpr std::size_t hashBuckets = 1000;
        this->nextWriteAt = context.now + this->options.maxFirstDelay * (std::hash<std::string>()(this->options.self.value()) % hashBuckets) / hashBuckets;
    }
    if (!this->isWithdrawn && context.now < this->nextWriteAt)
        return;
    const StoredRowKey key { StoredRowKind::EntryHost, this->options.self.value() };
    WriteStoredRows write { .write = context.nextWrite++, .partition = partitionOf(key), .conditions = {}, .puts = {}, .removals = {} };
    if (this->isWithdrawn)
        write.removals.push_back(key);
    else
        write.puts.push_back({ key, this->options.entry });
    this->writeInFlight = write.write;
    context.add(std::move(write));
}

void HostRegistration::writeEnded(const RowsWriteEnded& end, Instant now)
{
    this->writeInFlight = 0;
    this->nextWriteAt = now + this->options.writeInterval;
    if (end.status == TransactionStatus::Committed)
        this->stored = this->isWithdrawn ? std::nullopt : std::optional(this->options.entry);
}

} // namespace dragonflytray
