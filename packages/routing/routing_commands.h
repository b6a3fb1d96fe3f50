#pragma once

// The commands of `Routing`, each of which changes its state. Their handlers are under `commands/`.
//
// Example:
//
//     RoutingEffects effects = routing.handle(RunnerAnswered { attempt, std::move(body) }, now);

#include "declarations/declarations.h"
#include "model/model.h"
#include <variant>

namespace dragonflytray {

// SubmitRequest submits one request of a caller. Its outcome is a ReplyToCaller with the same token.
struct SubmitRequest {
    ReplyToken token {};
    Request request;
};

// RunnerAnswered reports the complete answer of a runner or peer to one attempt.
struct RunnerAnswered {
    AttemptId attempt {};
    std::string answer;
};

// RunnerFailed reports an attempt that ended without an answer. `isKnownNotRun` is true if no byte can have
// reached the runner, or if the runner said that it did not run the request.
struct RunnerFailed {
    AttemptId attempt {};
    RetryReason reason { RetryReason::ConnectFailed };
    bool isKnownNotRun { false };
};

// CallerGone reports that a caller has disconnected. Its request is dropped without a reply while it waits; an attempt
// in flight goes on.
struct CallerGone {
    ReplyToken token {};
};

// OpenWatch subscribes a caller to the messages of one service after `cursor`. Its effect is StartWatch, or
// ReplyToCaller if the watch is refused.
struct OpenWatch {
    ReplyToken token {};
    TeamName team;
    ServiceName service;
    std::string cursor; // empty: only messages from now on
};

// StopAdmission starts a graceful shutdown: admitted requests finish, new ones are refused.
struct StopAdmission {
};

// RoutingTick handles what is due at the current time: retries, deadlines, cooldowns and reports of demand.
// Send it every few milliseconds while requests wait.
struct RoutingTick {
};

// RoutingCommand is any command; the index of the alternative is its RoutingCommandKind. ChangeHosts and
// ChangeConfiguration are declared in `declarations`, ChangeShares and TransactionResult in `model`.
using RoutingCommand = std::variant<SubmitRequest, RunnerAnswered, RunnerFailed, CallerGone, OpenWatch, ChangeHosts, ChangeConfiguration, ChangeShares, TransactionResult, StopAdmission, RoutingTick>;

// RoutingCommandKind lists the alternatives of RoutingCommand in the same order.
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
