#pragma once

// Fault switches shared by the stand-ins, set by `POST /faults` with a body such as
// `{"fault":"slow","milliseconds":300}`; `{"fault":"none"}` clears them.

#include "transport/transport.h"

namespace dragonflytray {

// Fault is one way in which a stand-in misbehaves.
enum class Fault {
    None,
    Down, // answers 503 at once and does nothing
    Slow, // answers late
    LoseAnswers, // does the work and closes the connection
    Silent, // takes the request and never answers
    SilentConnections, // connections that are open now swallow their requests; new ones work
    FreezeList, // the platform's host list stands still
    FailTasks, // a worker fails every task that it starts
};

inline constexpr NameTable faultNames { std::to_array<NameEntry<Fault>>({
    { Fault::None, "none" },
    { Fault::Down, "down" },
    { Fault::Slow, "slow" },
    { Fault::LoseAnswers, "lose-answers" },
    { Fault::Silent, "silent" },
    { Fault::SilentConnections, "silent-connections" },
    { Fault::FreezeList, "freeze-list" },
    { Fault::FailTasks, "fail-tasks" },
}) };
static_assert(faultNames.isWhole(Fault::FailTasks));

// FaultSwitch holds the active fault and applies it to answers. Belongs to one loop.
class FaultSwitch {
public:
    explicit FaultSwitch(IoLoop& loop)
        : loop(loop)
    {
    }

    // active() is the fault in force.
    Fault active() const { return this->fault; }

    // take() answers a `POST /faults`. SilentConnections is carried out on `server` at once.
    void take(const HttpRequest& request, HttpReply& reply, HttpServer& server);

    // set() reads a `POST /faults` body; false when it is not well-formed.
    bool set(const std::string& body);

    // refuses() answers 503 when the stand-in is down, and says whether it did.
    bool refuses(HttpReply& reply) const;

    // answer() sends `response` as the active fault has it.
    void answer(std::shared_ptr<HttpReply> reply, HttpResponse response);

private:
    IoLoop& loop;
    Fault fault { Fault::None };
    Duration delay { 0 };
    std::vector<std::shared_ptr<HttpReply>> silenced;
};

} // namespace dragonflytray
