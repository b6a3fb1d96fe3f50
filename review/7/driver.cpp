#include "lab.h"

namespace {

using namespace lab;

// cancelUnknown(): the write of a submission gets no answer and is carried out late; the client cancels meanwhile.
int cancelUnknown(Lab& lab)
{
    const std::string id = "5c0e7a21d94b0004";
    lab.world.store.put("op", "config", configuration(lab.world, 7, true, 3));
    lab.addRunners(4, {});
    if (!lab.startHosts(3))
        return lab.result(notRun, "the deployment did not come up");
    if (hasTrouble())
        lab.world.store.loseLate(id + ".d", 6000);
    const Json first { { "count", 2 }, { "cpu", 2000 }, { "mem-mb", 300 }, { "estimated-ms", 6000 } };
    Json second = first;
    second["after"] = { 0 };
    lab.world.jobs.add(id, { { .cpu = 2000, .megabytes = 300, .workMs = 6000 }, { .cpu = 2000, .megabytes = 300, .workMs = 6000 } });
    const Json body { { "spec", "review" }, { "steps", Json::array({ first, second }) } };
    const Host& host = *lab.hosts.front();
    const Response handedIn = lab.client.send(host, "POST", id, body.dump());
    lab.world.store.loseNone();
    Response cancelled;
    std::int64_t cancelledAt = 0;
    for (int attempt = 0; attempt < 5 && cancelled.status != 200 && cancelled.status != 410; ++attempt) {
        cancelled = lab.client.send(host, "DELETE", id);
        cancelledAt = nowMs();
    }
    if (cancelled.status != 200 && cancelled.status != 410)
        return lab.result(notRun, "the cancelling was not acknowledged");
    sleepMs(22000);
    lab.client.stateOf(lab.all(), id);
    lab.recordRuns(id, 10);
    constexpr std::int64_t cancelMs = 3000;
    constexpr std::int64_t contactMs = 4000; // without a disruption, after which machines are in touch
    const std::int64_t calmSince = lab.world.store.lateWriteAt() + contactMs;
    int late = 0;
    {
        const std::lock_guard lock(lab.world.history.mutex);
        late = static_cast<int>(std::count_if(lab.world.history.starts.begin(), lab.world.history.starts.end(), [&](const Start& start) { return start.task.starts_with(id) && start.at > std::max(cancelledAt + cancelMs, calmSince); }));
    }
    const std::string text = "POST answered " + std::to_string(handedIn.status) + ", DELETE answered " + std::to_string(cancelled.status) + "; " + std::to_string(late) + " tasks of the job were started more than 3 s after the latter by machines in touch";
    return lab.result(late > 0 ? broken : held, text);
}

} // namespace

int main(int argc, char** argv)
{
    return runCase(argc, argv, &cancelUnknown);
}
