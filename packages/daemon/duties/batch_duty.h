#pragma once

// The duty that decides about jobs: it owns `Batch`.

#include "daemon/messages.h"
#include "daemon/settings.h"

namespace dragonflytray {

// BatchDuty carries commands and queries to `Batch` and its effects to the other duties.
class BatchDuty {
public:
    BatchDuty(const Settings& settings, Rings& rings);

    // run() returns once the ring of batch messages is closed and empty.
    void run();

private:
    void handle(BatchMessage message);
    void decide(const BatchCommand& command);
    void carryOut(WriteTransaction effect);
    void carryOut(ReadRows effect);
    void carryOut(ContactWorker effect);
    void carryOut(ReplyToSubmitter effect);
    void tick(Instant now);
    void reportMetrics(Instant now);

    Rings& rings;
    Batch batch;
    Instant nextReport;
    bool wasLeader { false };
    bool wasEvacuated { false };
};

} // namespace dragonflytray
