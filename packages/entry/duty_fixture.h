#pragma once

// What the tests of the duties share: a peer that runs on a thread of its own and whose answers each test chooses.
//
// Example:
//
//     StandinPeer peer([](const std::string& target) { return StandinAnswer { .body = target }; });
//     REQUIRE(peer.waitFor([](const auto& calls) { return calls.size() == 2; }));

#include "entry/entry_messages.h"
#include "transport/transport.h"
#include <condition_variable>
#include <mutex>

namespace dragonflytray {

// StandinAnswer is what a StandinPeer does with one request.
struct StandinAnswer {
    unsigned status { 200 };
    std::string body {};
    Duration delay { 0 };
    bool isSilent { false }; // the request is never answered
};

// StandinPeer is an HTTP server on a free port. `answer` runs on the server's thread, one call at a time.
class StandinPeer {
public:
    using Answer = std::function<StandinAnswer(const std::string& target)>;
    using Calls = std::vector<std::string>; // the targets of all requests so far, in order

    explicit StandinPeer(Answer answer)
        : answer(std::move(answer))
    {
    }
    ~StandinPeer() { this->loop.stop(); }

    const Endpoint& endpoint() const { return this->bound; }

    Calls calls() const
    {
        std::lock_guard lock(this->mutex);
        return this->targets;
    }

    // waitFor() waits until `condition` holds for the requests so far; false if it does not within a generous limit.
    bool waitFor(const std::function<bool(const Calls&)>& condition) const
    {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(lock, std::chrono::seconds(60), [&] { return condition(this->targets); });
    }

private:
    void handle(const HttpRequest& request, std::shared_ptr<HttpReply> reply)
    {
        {
            std::lock_guard lock(this->mutex);
            this->targets.push_back(request.target);
        }
        this->changed.notify_all();
        const StandinAnswer chosen = this->answer(request.target);
        if (chosen.isSilent)
            return this->unanswered.push_back(std::move(reply));
        auto send = [reply = std::move(reply), chosen] { reply->send({ .status = chosen.status, .body = chosen.body }); };
        if (chosen.delay == Duration(0))
            return send();
        this->loop.after(chosen.delay, std::move(send));
    }

    Answer answer;
    mutable std::mutex mutex;
    mutable std::condition_variable changed;
    Calls targets;
    IoLoop loop;
    std::vector<std::shared_ptr<HttpReply>> unanswered;
    HttpServer server { this->loop, { .endpoint = { "127.0.0.1", 0 } }, [this](HttpRequest request, std::shared_ptr<HttpReply> reply) { this->handle(request, std::move(reply)); } };
    Endpoint bound { this->server.start().value() };
    DutyThread thread { { .name = "peer" }, [this] { this->loop.run(); } };
};

// takeCommand() waits for the next `Command` towards the scheduling duty that `condition` accepts; all others are dropped.
template <typename Command>
std::optional<Command> takeCommand(EntryRings& rings, const std::function<bool(const Command&)>& condition, Duration limit = std::chrono::seconds(60))
{
    const Instant end = BootClock::now() + limit;
    while (BootClock::now() < end) {
        auto message = rings.scheduling.popWithin(end - BootClock::now());
        const auto* command = message ? std::get_if<SchedulerCommand>(&*message) : nullptr;
        const auto* taken = command ? std::get_if<Command>(command) : nullptr;
        if (taken && condition(*taken))
            return *taken;
    }
    return std::nullopt;
}

} // namespace dragonflytray
