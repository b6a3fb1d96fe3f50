#include "daemon/daemon.h"

#include "daemon/duties/batch_duty.h"
#include "daemon/duties/caller_duty.h"
#include "daemon/duties/membership_duty.h"
#include "daemon/duties/peer_duty.h"
#include "daemon/duties/platform_duty.h"
#include "daemon/duties/request_duty.h"
#include "daemon/duties/runner_duty.h"
#include "daemon/duties/share_duty.h"
#include "daemon/duties/telemetry_duty.h"
#include "daemon/duties/worker_duty.h"
#include <list>

namespace dragonflytray {

struct Daemon::Duties {
    explicit Duties(const Settings& settings)
        : rings(settings.limits.ringMessages)
        , callers(settings, this->rings)
        , requests(settings, this->rings)
        , runners(settings, this->rings)
        , batch(settings, this->rings)
        , workers(settings, this->rings)
        , membership(settings, this->rings)
        , shares(settings, this->rings)
        , platform(settings, this->rings)
        , peers(settings, this->rings)
        , telemetry(this->rings)
    {
    }

    template <typename Duty>
    void launch(const char* name, Duty& duty)
    {
        this->threads.emplace_back(DutyThread::Options { .name = name }, [&duty] { duty.run(); });
    }

    Rings rings;
    CallerDuty callers;
    RequestDuty requests;
    RunnerDuty runners;
    BatchDuty batch;
    WorkerDuty workers;
    MembershipDuty membership;
    ShareDuty shares;
    PlatformDuty platform;
    PeerDuty peers;
    TelemetryDuty telemetry;
    std::list<DutyThread> threads;
};

Daemon::Daemon(const Settings& settings)
    : duties(std::make_unique<Duties>(settings))
{
}

Daemon::~Daemon() = default;

tl::expected<BoundEndpoints, std::string> Daemon::start()
{
    auto callers = this->duties->callers.start();
    if (!callers)
        return tl::unexpected(callers.error());
    auto peers = this->duties->peers.start();
    if (!peers)
        return tl::unexpected(peers.error());
    this->duties->launch("telemetry", this->duties->telemetry);
    this->duties->launch("platform", this->duties->platform);
    this->duties->launch("peers", this->duties->peers);
    this->duties->launch("workers", this->duties->workers);
    this->duties->launch("runners", this->duties->runners);
    this->duties->launch("requests", this->duties->requests);
    this->duties->launch("batch", this->duties->batch);
    this->duties->launch("shares", this->duties->shares);
    this->duties->launch("callers", this->duties->callers);
    this->duties->launch("membership", this->duties->membership);
    return BoundEndpoints { *callers, *peers };
}

void Daemon::drain()
{
    (void)this->duties->rings.membership.tryPush(MembershipCommand(StopMembership {}), RingRoom::Reserved);
    (void)this->duties->rings.callers.tryPush(BeginShutdown {}, RingRoom::Reserved);
    while (!this->duties->rings.drained.popWithin(std::chrono::seconds(1)))
        logDebug(LogPart::Daemon, "Requests are still open.");
    (void)this->duties->rings.shares.tryPush(StopShares {}, RingRoom::Reserved);
}

void Daemon::stop()
{
    Rings& rings = this->duties->rings;
    rings.membership.close();
    rings.requests.close();
    rings.batch.close();
    rings.shares.close();
    rings.telemetry.close();
    this->duties->callers.stop();
    this->duties->runners.stop();
    this->duties->workers.stop();
    this->duties->platform.stop();
    this->duties->peers.stop();
    this->duties->threads.clear();
}

} // namespace dragonflytray
