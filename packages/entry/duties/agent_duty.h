#pragma once

// The duty of an agent: it delivers the orders of leaders on other hosts to workers, and hands back how they ended.
//
// An agent decides nothing. Epochs, numbers of runs and the end of each lease are the leader's, so that a call that is delivered
// twice, late or for a former leader is rejected by the worker. A call that was under way for longer than it may be is not delivered:
// the agent compares the clock of the leader with the smallest difference that it has seen.

#include "entry/agent_encoding.h"
#include "entry/entry_settings.h"
#include "entry/spec_cache.h"
#include "entry/worker_caller.h"

namespace dragonflytray {

// RefusedExchange lists why an agent refuses an exchange as a whole.
enum class RefusedExchange {
    Malformed, // or too many calls or items
    TooManySessions,
};

inline constexpr NameTable refusedExchangeNames { std::to_array<NameEntry<RefusedExchange>>({
    { RefusedExchange::Malformed, "malformed" },
    { RefusedExchange::TooManySessions, "too-many-sessions" },
}) };
static_assert(refusedExchangeNames.isWhole(RefusedExchange::TooManySessions));

// AgentDuty runs an event loop on a thread of its own until stop(). start() comes before run().
class AgentDuty {
public:
    AgentDuty(const EntrySettings& settings, EntryRings& rings, const WorkerProtocol& protocol);

    // start() listens, if the settings say where; a sentence that says why not. endpoint() is where.
    tl::expected<void, std::string> start();
    const Endpoint& endpoint() const { return this->bound; }

    void run();
    void stop() { this->loop.stop(); }

private:
    // SentReport is the last report of a worker that was handed back, as the leader knows it.
    struct SentReport {
        std::uint64_t number { 0 };
        std::vector<RunningTask> running;
    };
    // Session is one process that has led, as this agent knows it.
    struct Session {
        std::vector<AgentResult> results; // not handed back yet
        std::map<WorkerId, SentReport> reports;
        SpecCache specs { {} };
        std::shared_ptr<HttpReply> waiting; // an exchange without results
        std::uint64_t exchange { 0 }; // counts those that have waited
        std::int64_t clockDifference { std::numeric_limits<std::int64_t>::max() }; // least one between this clock and the leader's, in ms
        Instant lastUsed;
    };
    using SessionEntry = std::pair<const std::uint64_t, Session>;

    void serve(const HttpRequest& request, std::shared_ptr<HttpReply> reply);
    SessionEntry* sessionFor(std::uint64_t id, Instant now);
    // take() delivers a call, or ends it if it is late or a start of a job whose spec is not known.
    void take(SessionEntry& session, AgentCall call, bool isLate);
    void deliver(std::uint64_t session, const AgentCall& call, const PollWorker& poll);
    template <typename TaskCall>
    void deliver(std::uint64_t session, const AgentCall& call, const TaskCall& taskCall);
    void pollEnded(std::uint64_t session, std::uint64_t number, std::uint64_t baseReport, PollEnded end);
    void ended(std::uint64_t session, AgentResult result);
    void answer(Session& session);
    void clientsRefused(const std::string& sentence);
    // startReporting() reports metrics each second for as long as there are sessions or new refusals.
    void startReporting();
    void reportMetrics();
    void forgetSessions(Instant now);

    EntryRings& rings;
    IoLoop loop;
    Endpoint wanted;
    Endpoint bound;
    std::uint64_t incarnation { 0 };
    WorkerCaller caller;
    HttpServer server;
    std::map<std::uint64_t, Session> sessions;
    std::uint64_t lastReport { 0 }; // number
    EnumArray<WorkerCallStatus, std::uint64_t, workerCallStatusNames.size()> ends; // of calls since the start of the process
    EnumArray<RefusedExchange, std::uint64_t, refusedExchangeNames.size()> refusedExchanges;
    ClientRefusalCounts reportedRefusals {};
    bool isReporting { false }; // metrics
};

} // namespace dragonflytray
