#pragma once

// The duty that decides: it owns the Scheduler and carries its effects to the other duties.

#include "entry/entry_messages.h"
#include "entry/entry_settings.h"

namespace dragonflytray {

// SchedulingDuty runs on a thread of its own until its ring is closed and empty.
class SchedulingDuty {
public:
    SchedulingDuty(const EntrySettings& settings, EntryRings& rings);

    void run();

private:
    void handle(SchedulingMessage message);
    void decide(const SchedulerCommand& command);
    void tick(Instant now);
    void reportMetrics(const SchedulerSummary& summary);
    static void addRetryMetrics(const RetrySummary& retries, std::vector<Metric>& metrics);
    void reportReadiness(Instant now);

    void carryOut(WriteStoredRows effect);
    void carryOut(ReadJobRows effect);
    void carryOut(PollWorker effect);
    void carryOut(StartTask effect);
    void carryOut(StopTask effect);
    void carryOut(SetTaskSpeed effect);
    void carryOut(ReplyToClient effect);
    void carryOut(ReadRosters effect);
    void carryOut(FollowWorkers effect);
    void carryOut(LogDecision effect);

    // callWorker() hands a call over, or ends it as not sent when the ring has no room.
    template <typename TaskCall>
    void callWorker(TaskCallKind kind, TaskCall call, RingRoom room);

    EntryRings& rings;
    Scheduler scheduler;
    Instant nextTick;
    Instant nextReport;
    bool isLeading { false };
    bool wasReady { false };
    bool isDraining { false };
    bool hasHandedOver { false };
};

} // namespace dragonflytray
