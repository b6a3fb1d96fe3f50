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
    this->enqueue({ { TaskCallKind::Start, call.to.worker, call.to.epoch, call.run, {} }, call.to.endpoint, this->protocol.encodeStart(call), call.expiresAt });
}

void WorkerCallDuty::perform(const StopTask& call)
{
    this->enqueue({ { TaskCallKind::Stop, call.to.worker, call.to.epoch, call.run, {} }, call.to.endpoint, this->protocol.encodeStop(call), {} });
}

void WorkerCallDuty::perform(const SetTaskSpeed& call)
{
    this->enqueue({ { TaskCallKind::SetSpeed, call.to.worker, call.to.epoch, call.run, {} }, call.to.endpoint, this->protocol.encodeSetSpeed(call), {} });
}

void WorkerCallDuty::enqueue(TaskCall call)
{
    Lane& lane = this->lanes[call.endpoint];
    lane.waiting.push_back(std::move(call));
    this->advance(lane);
}

void WorkerCallDuty::advance(Lane& lane)
{
    while (lane.inFlight < callsInFlight && !lane.waiting.empty()) {
        TaskCall call = std::move(lane.waiting.front());
        lane.waiting.pop_front();
        if (call.expiresAt && BootClock::now() >= *call.expiresAt) {
            call.end.status = WorkerCallStatus::Expired;
            this->outbox.send(std::move(call.end));
            continue;
        }
        ++lane.inFlight;
        this->client.send(call.endpoint, std::move(call.request), callTimeout, [this, &lane, end = call.end](HttpOutcome outcome) mutable {
            end.status = this->protocol.decodeCall(outcome);
            --lane.inFlight;
            this->outbox.send(std::move(end));
            this->advance(lane);
        });
    }
}

} // namespace dragonflytray
