#pragma once

// The leader's side of delivery by agents: it hands calls to workers over to other hosts and collects how they ended.
//
// Calls gather for a few milliseconds, so that one exchange carries many. While calls are open, one exchange waits at the agent for
// results. A call whose result does not come in time ends as unclear, like one to a worker that does not answer; a call that surely
// did not reach the agent is given back.
//
// Example:
//
//     AgentClient agents(loop, { .onEnded = report, .onUnsent = deliver });
//     agents.send(agent, std::move(call));

#include "entry/agent_encoding.h"
#include "entry/spec_cache.h"
#include "transport/transport.h"
#include <functional>

namespace dragonflytray {

// AgentClient belongs to the thread of its loop.
class AgentClient {
public:
    struct Options {
        std::function<void(SchedulerCommand)> onEnded; // a PollEnded, TaskCallEnded or AgentContact
        std::function<void(const WorkerCall&)> onUnsent; // of calls that the agent surely did not take
        Duration gatherTime { std::chrono::milliseconds(5) };
        Duration resultWait { std::chrono::milliseconds(500) }; // for which an agent holds an exchange without results
        Duration sweepInterval { std::chrono::milliseconds(100) }; // between looks for calls without a result
        Duration transferTime { std::chrono::milliseconds(300) }; // allowed for both ways through the agent, besides the call itself
        std::size_t maxOpenCalls { maxAgentCalls }; // at one agent; further calls are given back
    };

    AgentClient(IoLoop& loop, Options options);

    // send() hands a call over to the agent at `agent`. It ends exactly once.
    void send(const Endpoint& agent, WorkerCall call);

private:
    // OpenCall is a call without a result.
    struct OpenCall {
        SchedulerCommand end; // as it will be reported
        Instant sentAt;
        Instant deadline;
    };
    // KnownReport is the last report of a worker that the agent has sent.
    struct KnownReport {
        std::uint64_t number { 0 };
        std::vector<RunningTask> running;
    };
    // Link is the contact with one agent.
    struct Link {
        std::uint64_t session { 0 };
        std::uint64_t lastNumber { 0 };
        std::uint64_t incarnation { 0 }; // of the agent, as last answered
        std::vector<AgentCall> gathered;
        std::map<std::uint64_t, OpenCall> open; // by number
        std::map<WorkerId, KnownReport> reports;
        SpecCache specs { { .keepsText = false } }; // that the agent has
        bool isGathering { false };
        bool isCollecting { false }; // an exchange waits for results
        bool isSweeping { false };
        bool isOpen { false }; // the last exchange was answered, so that the agent knows how far the clocks are apart
        bool isOpening { false };
    };
    using LinkEntry = std::pair<const Endpoint, Link>;

    static OpenCall openCallFor(const WorkerCall& call, Duration transferTime);
    void flush(LinkEntry& entry);
    void openLink(LinkEntry& entry);
    void collect(LinkEntry& entry);
    void exchange(LinkEntry& entry, std::vector<AgentCall> calls, Duration wait);
    void exchangeEnded(LinkEntry& entry, const std::vector<AgentCall>& calls, const HttpOutcome& outcome);
    void applyResponse(LinkEntry& entry, AgentResponse response);
    void finish(Link& link, AgentResult result);
    void giveBack(Link& link, const std::vector<AgentCall>& calls);
    void end(Link& link, std::uint64_t number, WorkerCallStatus status);
    void sweep(LinkEntry& entry);
    void noteContact(LinkEntry& entry, bool isAnswering);

    IoLoop& loop;
    Options options;
    HttpClient client;
    std::map<Endpoint, Link> links;
};

} // namespace dragonflytray
