#include "entry/duties/worker_call_duty.h"

namespace dragonflytray {

namespace {

    constexpr Duration callTimeout = std::chrono::milliseconds(900); // a round trip between regions takes under 100 ms
    constexpr Duration connectTimeout = std::chrono::milliseconds(500);
    constexpr Duration idleLimit = std::chrono::seconds(10); // a worker is polled more often
    constexpr std::size_t callsInFlight = 4; // to one worker besides its poll
    constexpr std::size_t connectionLimit = 8; // to one worker; calls in flight, a poll, and some that time out

} // namespace

WorkerCallDuty::WorkerCallDuty(EntryRings& rings, const WorkerProtocol& protocol)
    : protocol(protocol)
    , outbox(this->loop, rings.scheduling)
    , client(this->loop, { .connectTimeout = connectTimeout, .idleLimit = idleLimit, .connectionLimit = connectionLimit })
{
    drainOnWake(this->loop, rings.workers, [this](WorkerCall call) { std::visit([this](const auto& value) { this->perform(value); }, call); });
}

void WorkerCallDuty::perform(const PollWorker& call)
{
    const Instant sentAt = BootClock::now();
    this->client.send(call.to.endpoint, this->protocol.encodePoll(call), call.wait + callTimeout, [this, sentAt, to = call.to](HttpOutcome outcome) {
        PollEnded end = this->protocol.decodePoll(outcome);
        end.worker = to.worker;
        end.epoch = to.epoch;
        end.sentAt = sentAt;
        end.receivedAt = BootClock::now();
        this->outbox.send(std::move(end));
    });
}

void WorkerCallDuty::perform(const StartTask& call)
{
    this->enqueue(CallImportance::Start, { { TaskCallKind::Start, call.to.worker, call.to.epoch, call.run, {} }, call.to.endpoint, this->protocol.encodeStart(call), call.expiresAt });
}

void WorkerCallDuty::perform(const StopTask& call)
{
    this->enqueue(CallImportance::Stop, { { TaskCallKind::Stop, call.to.worker, call.to.epoch, call.run, {} }, call.to.endpoint, this->protocol.encodeStop(call), {} });
}

void WorkerCallDuty::perform(const SetTaskSpeed& call)
{
    this->enqueue(CallImportance::Speed, { { TaskCallKind::SetSpeed, call.to.worker, call.to.epoch, call.run, {} }, call.to.endpoint, this->protocol.encodeSetSpeed(call), {} });
}

void WorkerCallDuty::enqueue(CallImportance importance, TaskCall call)
{
    const Endpoint endpoint = call.endpoint;
    const TaskRunId run = call.end.run;
    Lane& lane = this->lanes.try_emplace(endpoint, Lane::Options { .maxInFlight = callsInFlight }).first->second;
    if (auto dropped = lane.push(importance, run, std::move(call)))
        this->endUnsent(std::move(*dropped), WorkerCallStatus::NotSent);
    this->advance(endpoint);
}

void WorkerCallDuty::advance(const Endpoint& endpoint)
{
    const auto lane = this->lanes.find(endpoint);
    if (lane == this->lanes.end())
        return;
    while (auto call = lane->second.next()) {
        if (call->expiresAt && BootClock::now() >= *call->expiresAt) {
            lane->second.ended();
            this->endUnsent(std::move(*call), WorkerCallStatus::Expired);
            continue;
        }
        this->client.send(endpoint, std::move(call->request), callTimeout, [this, endpoint, end = call->end](HttpOutcome outcome) mutable {
            end.status = this->protocol.decodeCall(outcome);
            this->outbox.send(std::move(end));
            this->lanes.at(endpoint).ended();
            this->advance(endpoint);
        });
    }
    if (lane->second.isIdle())
        this->lanes.erase(lane);
}

void WorkerCallDuty::endUnsent(TaskCall call, WorkerCallStatus status)
{
    call.end.status = status;
    this->outbox.send(std::move(call.end));
}

} // namespace dragonflytray
