#pragma once

// How a request or a submission ends, and the reasons that are counted and told.

#include "base/base.h"
#include <string>

namespace dragonflytray {

// OutcomeKind says what is known about whether a request was run.
enum class OutcomeKind {
    Answered, // the runner's whole answer follows
    NotRun, // surely not run
    Unknown, // may have been run
};

inline constexpr NameTable outcomeKindNames { std::to_array<NameEntry<OutcomeKind>>({
    { OutcomeKind::Answered, "answered" },
    { OutcomeKind::NotRun, "not-run" },
    { OutcomeKind::Unknown, "unknown" },
}) };
static_assert(outcomeKindNames.isWhole(OutcomeKind::Unknown));

// RefusalReason says why a request or submission did not end in an answer.
enum class RefusalReason {
    UnknownService,
    UnknownTeam,
    UnknownBatchClass,
    Malformed,
    TooLarge,
    NoConfiguration,
    NoRunner,
    QueueFull,
    DeadlineTooShort,
    DeadlinePassed,
    TeamQuota,
    LinkBudget,
    RetryBudget,
    RunnerRefused,
    RunnerFailed,
    AnswerTimeout,
    ConnectionLost,
    StoreUnavailable,
    DuplicateRequest,
    NeverRunnable,
    CallerGone,
    ShuttingDown,
};

inline constexpr NameTable refusalReasonNames { std::to_array<NameEntry<RefusalReason>>({
    { RefusalReason::UnknownService, "unknown-service" },
    { RefusalReason::UnknownTeam, "unknown-team" },
    { RefusalReason::UnknownBatchClass, "unknown-batch-class" },
    { RefusalReason::Malformed, "malformed" },
    { RefusalReason::TooLarge, "too-large" },
    { RefusalReason::NoConfiguration, "no-configuration" },
    { RefusalReason::NoRunner, "no-runner" },
    { RefusalReason::QueueFull, "queue-full" },
    { RefusalReason::DeadlineTooShort, "deadline-too-short" },
    { RefusalReason::DeadlinePassed, "deadline-passed" },
    { RefusalReason::TeamQuota, "team-quota" },
    { RefusalReason::LinkBudget, "link-budget" },
    { RefusalReason::RetryBudget, "retry-budget" },
    { RefusalReason::RunnerRefused, "runner-refused" },
    { RefusalReason::RunnerFailed, "runner-failed" },
    { RefusalReason::AnswerTimeout, "answer-timeout" },
    { RefusalReason::ConnectionLost, "connection-lost" },
    { RefusalReason::StoreUnavailable, "store-unavailable" },
    { RefusalReason::DuplicateRequest, "duplicate-request" },
    { RefusalReason::NeverRunnable, "never-runnable" },
    { RefusalReason::CallerGone, "caller-gone" },
    { RefusalReason::ShuttingDown, "shutting-down" },
}) };
static_assert(refusalReasonNames.isWhole(RefusalReason::ShuttingDown));

using RefusalCounts = EnumArray<RefusalReason, std::uint64_t, refusalReasonNames.size()>;

// RetryReason says why an attempt was made again.
enum class RetryReason {
    ConnectFailed,
    RunnerRefused,
    RunnerFailed,
    AnswerTimeout,
    ConnectionLost,
    StoreConflict,
    StoreTimeout,
    WorkerLost,
    TaskFailed,
    Evicted,
};

inline constexpr NameTable retryReasonNames { std::to_array<NameEntry<RetryReason>>({
    { RetryReason::ConnectFailed, "connect-failed" },
    { RetryReason::RunnerRefused, "runner-refused" },
    { RetryReason::RunnerFailed, "runner-failed" },
    { RetryReason::AnswerTimeout, "answer-timeout" },
    { RetryReason::ConnectionLost, "connection-lost" },
    { RetryReason::StoreConflict, "store-conflict" },
    { RetryReason::StoreTimeout, "store-timeout" },
    { RetryReason::WorkerLost, "worker-lost" },
    { RetryReason::TaskFailed, "task-failed" },
    { RetryReason::Evicted, "evicted" },
}) };
static_assert(retryReasonNames.isWhole(RetryReason::Evicted));

using RetryCounts = EnumArray<RetryReason, std::uint64_t, retryReasonNames.size()>;

// Outcome is the end of one request. `answer` is set for Answered, `reason` otherwise.
struct Outcome {
    OutcomeKind kind { OutcomeKind::NotRun };
    RefusalReason reason { RefusalReason::NoRunner };
    Duration retryAfter { 0 }; // 0: no advice
    std::string answer;
    std::string detail; // for a person; may be empty

    bool operator==(const Outcome&) const = default;
};

// answered() is the outcome that carries a runner's whole answer.
Outcome answered(std::string answer);

// notRun() is the outcome of a request that surely was not run.
Outcome notRun(RefusalReason reason, std::string detail = {}, Duration retryAfter = Duration(0));

// unknown() is the outcome of a request that may have been run.
Outcome unknown(RefusalReason reason, std::string detail = {});

} // namespace dragonflytray
