#pragma once

// The commands of `Routing`. Each changes its state; the handler of each is a file under `commands/`.

#include "declarations/declarations.h"
#include "model/model.h"
#include <variant>

namespace dragonflytray {

// SubmitRequest hands over one caller's request.
struct SubmitRequest {
    ReplyToken token {};
    Request request;
};

// RunnerAnswered reports a runner's whole answer to one attempt.
struct RunnerAnswered {
    AttemptId attempt {};
    std::string answer;
};

// RunnerFailed reports an attempt that brought no answer. `isKnownNotRun` holds when no byte can have
// reached the runner, or when the runner said that it did not run the request.
struct RunnerFailed {
    AttemptId attempt {};
    RetryReason reason { RetryReason::ConnectFailed };
    bool isKnownNotRun { false };
};

// CallerGone reports that nobody waits for a reply any more.
struct CallerGone {
    ReplyToken token {};
};

// OpenWatch asks for the messages of one service after `cursor`.
struct OpenWatch {
    ReplyToken token {};
    TeamName team;
    ServiceName service;
    std::string cursor; // empty: from now on
};

// StopAdmission begins a graceful shutdown: what is in flight finishes, nothing new is taken.
struct StopAdmission {
};

// RoutingTick lets time pass. Send it every few milliseconds while requests wait.
struct RoutingTick {
};

// RoutingCommand is any command; its kind is the index of the alternative.
using RoutingCommand = std::variant<SubmitRequest, RunnerAnswered, RunnerFailed, CallerGone, OpenWatch, ChangeHosts, ChangeConfiguration, ChangeShares, TransactionResult, StopAdmission, RoutingTick>;

// RoutingCommandKind names the alternatives of RoutingCommand, in their order.
enum class RoutingCommandKind {
    SubmitRequest,
    RunnerAnswered,
    RunnerFailed,
    CallerGone,
    OpenWatch,
    ChangeHosts,
    ChangeConfiguration,
    ChangeShares,
    TransactionResult,
    StopAdmission,
    Tick,
};

inline constexpr NameTable routingCommandNames { std::to_array<NameEntry<RoutingCommandKind>>({
    { RoutingCommandKind::SubmitRequest, "submit-request" },
    { RoutingCommandKind::RunnerAnswered, "runner-answered" },
    { RoutingCommandKind::RunnerFailed, "runner-failed" },
    { RoutingCommandKind::CallerGone, "caller-gone" },
    { RoutingCommandKind::OpenWatch, "open-watch" },
    { RoutingCommandKind::ChangeHosts, "change-hosts" },
    { RoutingCommandKind::ChangeConfiguration, "change-configuration" },
    { RoutingCommandKind::ChangeShares, "change-shares" },
    { RoutingCommandKind::TransactionResult, "transaction-result" },
    { RoutingCommandKind::StopAdmission, "stop-admission" },
    { RoutingCommandKind::Tick, "tick" },
}) };
static_assert(routingCommandNames.isWhole(RoutingCommandKind::Tick));
static_assert(routingCommandNames.size() == std::variant_size_v<RoutingCommand>);

} // namespace dragonflytray
