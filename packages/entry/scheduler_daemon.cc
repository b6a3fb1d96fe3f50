#include "entry/scheduler_daemon.h"

#include "entry/duties/agent_duty.h"
#include "entry/duties/front_duty.h"
#include "entry/duties/journal_duty.h"
#include "entry/duties/scheduling_duty.h"
#include "entry/duties/store_duty.h"
#include "entry/duties/worker_call_duty.h"
#include <list>

namespace dragonflytray {

namespace {

    // The balancer takes a host out after two missed probes, one a second; then calls in progress end.
    constexpr Duration balancerDelay = std::chrono::milliseconds(2600);
    constexpr Duration drainStep = std::chrono::milliseconds(100);
    constexpr Duration stopReserve = std::chrono::milliseconds(800); // of the time until SIGKILL

} // namespace

struct SchedulerDaemon::Duties {
    Duties(const EntrySettings& settings, const Protocols& protocols)
        : front(settings, this->rings, *protocols.callers)
        , scheduling(settings, this->rings)
        , workers(this->rings, *protocols.workers)
        , agent(settings, this->rings, *protocols.workers)
        , store(settings, this->rings, *protocols.store)
        , journal(this->rings)
        , drainLimit(settings.shutdownLimit - stopReserve)
    {
    }

    template <typename Duty>
    void launch(const char* name, Duty& duty)
    {
        this->threads.emplace_back(DutyThread::Options { .name = name }, [&duty] { duty.run(); });
    }

    EntryRings rings;
    FrontDuty front;
    SchedulingDuty scheduling;
    WorkerCallDuty workers;
    AgentDuty agent;
    StoreDuty store;
    JournalDuty journal;
    Duration drainLimit;
    std::list<DutyThread> threads;
};

SchedulerDaemon::SchedulerDaemon(const EntrySettings& settings, const Protocols& protocols)
    : duties(std::make_unique<Duties>(settings, protocols))
{
}

SchedulerDaemon::~SchedulerDaemon() = default;

tl::expected<void, std::string> SchedulerDaemon::start()
{
    if (auto started = this->duties->front.start(); !started)
        return started;
    if (auto started = this->duties->agent.start(); !started)
        return started;
    this->duties->launch("journal", this->duties->journal);
    this->duties->launch("workers", this->duties->workers);
    this->duties->launch("agent", this->duties->agent);
    this->duties->launch("scheduling", this->duties->scheduling);
    this->duties->launch("front", this->duties->front);
    this->duties->launch("store", this->duties->store);
    return {};
}

void SchedulerDaemon::drain()
{
    const Instant begin = BootClock::now();
    EntryRings& rings = this->duties->rings;
    (void)rings.scheduling.tryPush(SchedulerCommand(BeginHandover {}), RingRoom::Reserved);
    (void)rings.front.tryPush(BeginDrain {}, RingRoom::Reserved);
    bool isHandedOver = false;
    while (BootClock::now() < begin + this->duties->drainLimit) {
        isHandedOver = rings.handedOver.popWithin(drainStep).has_value() || isHandedOver;
        const bool isQuiet = this->duties->front.openRequests() == 0;
        if (isHandedOver && isQuiet && BootClock::now() >= begin + balancerDelay)
            return;
    }
    logWarning(LogPart::Daemon, "The time to drain is over; calls that are open end without an answer.");
}

void SchedulerDaemon::stop()
{
    EntryRings& rings = this->duties->rings;
    rings.scheduling.close();
    this->duties->front.stop();
    this->duties->workers.stop();
    this->duties->agent.stop();
    this->duties->store.stop();
    rings.journal.close();
    this->duties->threads.clear();
}

} // namespace dragonflytray
