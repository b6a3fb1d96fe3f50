#include "entry/worker_caller.h"

namespace dragonflytray {

namespace {

    constexpr Duration connectTimeout = std::chrono::milliseconds(500);
    constexpr Duration idleLimit = std::chrono::seconds(10); // a worker is polled more often
    constexpr std::size_t callsInFlight = 4; // to one worker besides its poll
    constexpr std::size_t connectionLimit = 8; // to one worker; calls in flight, a poll, and some that time out
    constexpr std::size_t callOverhead = 1 << 10; // bytes of a call besides its body

} // namespace

WorkerCaller::WorkerCaller(IoLoop& loop, const WorkerProtocol& protocol, Options options)
    : protocol(protocol)
    , options(options)
    , client(loop, { .connectTimeout = connectTimeout, .idleLimit = idleLimit, .connectionLimit = connectionLimit, .totalConnections = options.connections })
{
}

void WorkerCaller::poll(const PollWorker& call, PollCompletion completion)
{
    const Instant sentAt = BootClock::now();
    if (!this->hold(callOverhead))
        return completion({ .worker = call.to.worker, .token = call.to.token, .sentAt = sentAt, .receivedAt = sentAt, .status = WorkerCallStatus::NotSent });
    this->client.send(call.to.endpoint, this->protocol.encodePoll(call), call.wait + workerCallTimeout, [this, sentAt, to = call.to, completion = std::move(completion)](HttpOutcome outcome) {
        this->release(callOverhead);
        PollEnded end = this->protocol.decodePoll(outcome);
        end.worker = to.worker;
        end.token = to.token;
        end.sentAt = sentAt;
        end.receivedAt = BootClock::now();
        completion(std::move(end));
    });
}

void WorkerCaller::perform(const StartTask& call, TaskCompletion completion)
{
    this->enqueue(CallImportance::Start, { { TaskCallKind::Start, call.to.worker, call.to.token, call.run, {} }, call.to.endpoint, this->protocol.encodeStart(call), call.expiresAt, std::move(completion) });
}

void WorkerCaller::perform(const StopTask& call, TaskCompletion completion)
{
    this->enqueue(CallImportance::Stop, { { TaskCallKind::Stop, call.to.worker, call.to.token, call.run, {} }, call.to.endpoint, this->protocol.encodeStop(call), {}, std::move(completion) });
}

void WorkerCaller::perform(const SetTaskSpeed& call, TaskCompletion completion)
{
    this->enqueue(CallImportance::Speed, { { TaskCallKind::SetSpeed, call.to.worker, call.to.token, call.run, {} }, call.to.endpoint, this->protocol.encodeSetSpeed(call), {}, std::move(completion) });
}

void WorkerCaller::enqueue(CallImportance importance, TaskCall call)
{
    const std::size_t bytes = callOverhead + call.request.body.size();
    if (!this->hold(bytes))
        return endUnsent(std::move(call), WorkerCallStatus::NotSent);
    call.heldBytes = bytes;
    const Endpoint endpoint = call.endpoint;
    const TaskRunId run = call.end.run;
    Lane& lane = this->lanes.try_emplace(endpoint, Lane::Options { .maxInFlight = callsInFlight }).first->second;
    if (auto dropped = lane.push(importance, run, std::move(call)))
        endUnsent(std::move(*dropped), WorkerCallStatus::NotSent);
    this->advance(endpoint);
}

void WorkerCaller::advance(const Endpoint& endpoint)
{
    const auto lane = this->lanes.find(endpoint);
    if (lane == this->lanes.end())
        return;
    while (auto call = lane->second.next()) {
        if (call->expiresAt && BootClock::now() >= *call->expiresAt) {
            lane->second.ended();
            endUnsent(std::move(*call), WorkerCallStatus::Expired);
            continue;
        }
        this->client.send(endpoint, std::move(call->request), workerCallTimeout, [this, endpoint, bytes = call->heldBytes, end = call->end, completion = std::move(call->completion)](HttpOutcome outcome) mutable {
            this->release(bytes);
            end.status = this->protocol.decodeCall(outcome);
            completion(std::move(end));
            this->lanes.at(endpoint).ended();
            this->advance(endpoint);
        });
    }
    if (lane->second.isIdle())
        this->lanes.erase(lane);
}

void WorkerCaller::endUnsent(TaskCall call, WorkerCallStatus status)
{
    this->release(call.heldBytes);
    call.end.status = status;
    call.completion(std::move(call.end));
}

bool WorkerCaller::hold(std::size_t bytes)
{
    if (bytes > this->options.heldBytes - this->held)
        return false;
    this->held += bytes;
    return true;
}

} // namespace dragonflytray
