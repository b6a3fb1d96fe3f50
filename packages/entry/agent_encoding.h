#pragma once

// The messages between a leader and the hosts that deliver its orders, and their encoding in CBOR. An exchange carries calls to
// workers one way, and the results of earlier calls back. The spec of a job crosses once.
//
// Example:
//
//     const std::string bytes = encodeAgentRequest(request, BootClock::now());
//     if (const auto decoded = decodeAgentRequest(bytes, BootClock::now()))
//         ...

#include "entry/entry_messages.h"
#include "entry/report_change.h"

namespace dragonflytray {

inline constexpr std::size_t maxAgentCalls = 8192; // of a leader at one agent without a result, and of one exchange
inline constexpr std::size_t maxAgentRequestItems = 32 * maxAgentCalls; // of CBOR; a call has 15, a spec two

// AgentCall is one call to a worker. Numbers count up within a session.
struct AgentCall {
    std::uint64_t number { 0 };
    WorkerCall call;
    std::uint64_t baseReport { 0 }; // of a poll: the report that the leader has, on which the answer may rest; 0: none
};

// AgentRequest is what a leader sends.
struct AgentRequest {
    std::uint64_t session { 0 }; // of the leader with this agent
    std::int64_t sentAt { 0 }; // ms on the leader's steady clock, by which the agent notices delays
    Duration wait { 0 }; // for which the agent may delay its answer until a call ends
    std::map<JobId, std::string> specs {}; // of jobs that the agent does not have
    std::vector<AgentCall> calls; // starts cross without StartTask::spec
    std::vector<std::uint64_t> unreadable; // numbers of calls that could not be decoded; not encoded
};

// AgentResult is how one call ended. Of a poll it holds the report without its runs, which `change` brings.
struct AgentResult {
    std::uint64_t number { 0 };
    WorkerCallStatus status { WorkerCallStatus::Unclear };
    bool isPoll { false };
    std::uint64_t report { 0 }; // number of the report, on which later ones may rest
    std::uint64_t baseReport { 0 }; // on which the change rests; 0: on an empty one
    PollEnded end {}; // of a poll
    ReportChange change {};
};

// AgentResponse answers an AgentRequest.
struct AgentResponse {
    std::uint64_t incarnation { 0 }; // of the agent's process; calls that another one has taken will not end
    std::vector<AgentResult> results;
};

// encodeAgentRequest() encodes a request; the validity of starts is what is left of it at `now`.
std::string encodeAgentRequest(const AgentRequest& request, Instant now);

// decodeAgentRequest() returns nothing if the message as a whole is invalid or has too many calls or items. Starts expire as if they were sent at `now`.
std::optional<AgentRequest> decodeAgentRequest(const std::string& bytes, Instant now);

std::string encodeAgentResponse(const AgentResponse& response);

// decodeAgentResponse() returns nothing if the message as a whole is invalid. Results that can't be decoded are left out.
std::optional<AgentResponse> decodeAgentResponse(const std::string& bytes);

} // namespace dragonflytray
