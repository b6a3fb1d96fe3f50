#include "batch/batch.h"

namespace dragonflytray {

// One handler for each BatchCommandKind, in the order of the enumerators.
const std::array<Batch::Handler, batchCommandNames.size()> Batch::handlers {
    &Batch::submitJob,
    &Batch::cancelJob,
    &Batch::transactionEnded,
    &Batch::rowsRead,
    &Batch::workerReported,
    &Batch::workerUnreachable,
    &Batch::changeHosts,
    &Batch::changeConfiguration,
    &Batch::tick,
};

Batch::Batch(Options options)
    : options(std::move(options))
{
}

BatchEffects Batch::handle(const BatchCommand& command, Instant now)
{
    BatchEffects effects;
    (this->*handlers[command.index()])(command, now, effects);
    return effects;
}

BatchView Batch::ask(const BatchQuery& query, Instant now) const
{
    using Query = BatchView (Batch::*)(const BatchQuery&, Instant) const;
    static constexpr std::array<Query, std::variant_size_v<BatchQuery>> queries { &Batch::listJobs, &Batch::explainJob, &Batch::summary };
    return (this->*queries[query.index()])(query, now);
}

} // namespace dragonflytray
