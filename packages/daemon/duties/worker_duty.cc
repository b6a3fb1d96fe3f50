#include "daemon/duties/worker_duty.h"

namespace dragonflytray {

namespace {

    constexpr Duration contactTimeout = std::chrono::seconds(2);

} // namespace

WorkerDuty::WorkerDuty(const Settings&, Rings& rings)
    : rings(rings)
    , client(this->loop, { .connectTimeout = contactTimeout, .connectionLimit = 2 })
{
    drainOnWake(this->loop, rings.workers, [this](ContactWorker message) { this->contact(std::move(message)); });
}

void WorkerDuty::contact(ContactWorker message)
{
    this->client.send(message.endpoint, encodeContact(message), contactTimeout, [this, worker = message.worker, epoch = message.epoch](const tl::expected<HttpResponse, SendFailure>& answer) {
        if (!this->rings.batch.tryPush(decodeContact(worker, epoch, answer), RingRoom::Reserved))
            logError(LogPart::Workers, "A report was dropped because the ring of batch messages is full.");
    });
}

} // namespace dragonflytray
