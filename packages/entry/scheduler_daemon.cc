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

    // The balancer takes a host out after two missed probes, one a second.
    constexpr Duration balancerDelay = std::chrono::milliseconds(2600);
    constexpr Duration stopReserve = std::chrono::milliseconds(800); // of the time until SIGKILL
    constexpr Duration lastAnswers = std::chrono::milliseconds(300); // of the reserve, for answers at the end of the drain

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
    const Instant limit = BootClock::now() + this->duties->drainLimit;
    EntryRings& rings = this->duties->rings;
    (void)rings.scheduling.tryPush(SchedulerCommand(BeginHandover {}), RingRoom::Reserved);
    (void)rings.front.tryPush(BeginDrain { .acceptFor = balancerDelay }, RingRoom::Reserved);
    if (!rings.handedOver.popWithin(limit - BootClock::now()))
        logWarning(LogPart::Daemon, "The time to drain is over; not every lease is given up.");
    if (rings.callersEnded.popWithin(limit - BootClock::now()))
        return;
    logWarning(LogPart::Daemon, "The time to drain is over; calls that are open are answered as unclear.");
    (void)rings.front.tryPush(EndDrain {}, RingRoom::Reserved);
    (void)rings.callersEnded.popWithin(lastAnswers);
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
