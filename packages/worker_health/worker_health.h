#pragma once

// Workers that perform worse than they report, judged by what their runs show beside those of their peers.
//
// It answers a load in which a worker goes on listing itself as ready and answering polls, but takes much longer than its peers,
// fails every run, refuses every start, ends nothing, or loses contact by turns. Placement prefers such a worker, since it always has
// room. Callers lose the objective of each job that a run on it delays, and an attempt of each task that fails there.
//
// A worker with a sign of that gets less work, and none if the sign remains or its runs can't succeed. Then it gets one probe at a
// time, at growing intervals, until probes go well or contact lasts. A sign that more than half of the peers show says nothing about
// one of them, and at most a share of the peers may be quarantined, so that a wrong judgement can't take a fleet out of service.
//
// Example:
//
//     WorkerHealth health({});
//     health.workersCounted({ { peers, 40 } });
//     const ObservedRun run = health.runStarted("i-7f3a", peers, { .expected = estimate, .limit = estimate + slack }, now);
//     health.runEnded(run, RunResult::Done, took, now);
//     for (const HealthTransition& transition : health.judge(now))
//         log(transition);
//     if (health.shareOf("i-7f3a") == 0 && !health.mayProbe("i-7f3a", now)) { ... }

#include "model/model.h"
#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflytray {

// PeerGroupName is a set of workers that run the same kind of tasks under one leader.
using PeerGroupName = StrongId<struct PeerGroupNameTag>;

// ObservedRun numbers the runs that WorkerHealth follows; 0: none.
enum class ObservedRun : std::uint64_t {
};

// WorkerCondition is how much work a worker gets.
enum class WorkerCondition {
    Healthy,
    Reduced, // up to a share of its capacity
    Quarantined, // one probe at a time
};

inline constexpr NameTable workerConditionNames { std::to_array<NameEntry<WorkerCondition>>({
    { WorkerCondition::Healthy, "healthy" },
    { WorkerCondition::Reduced, "reduced" },
    { WorkerCondition::Quarantined, "quarantined" },
}) };
static_assert(workerConditionNames.isWhole(WorkerCondition::Quarantined));

// HealthSign is why a worker is suspicious.
enum class HealthSign {
    None,
    Failing, // its last runs have all failed
    Refusing, // it answers polls and refuses starts
    Stalled, // its runs neither end nor progress, while those of its peers end
    Slow, // its runs take much longer than expected, compared with those of its peers
    Flapping, // it has lost contact several times
};

inline constexpr NameTable healthSignNames { std::to_array<NameEntry<HealthSign>>({
    { HealthSign::None, "none" },
    { HealthSign::Failing, "failing" },
    { HealthSign::Refusing, "refusing" },
    { HealthSign::Stalled, "stalled" },
    { HealthSign::Slow, "slow" },
    { HealthSign::Flapping, "flapping" },
}) };
static_assert(healthSignNames.isWhole(HealthSign::Flapping));

// RunResult is what became of a run, as far as it says something about its worker.
enum class RunResult {
    Done,
    Failed,
    Refused, // the worker did not accept the start
    Lost, // the worker no longer has it, or its lease has expired
    Withdrawn, // stopped by the leader, or not delivered: says nothing
};

inline constexpr NameTable runResultNames { std::to_array<NameEntry<RunResult>>({
    { RunResult::Done, "done" },
    { RunResult::Failed, "failed" },
    { RunResult::Refused, "refused" },
    { RunResult::Lost, "lost" },
    { RunResult::Withdrawn, "withdrawn" },
}) };
static_assert(runResultNames.isWhole(RunResult::Withdrawn));

// RunExpectation is what is expected of a run when it is started.
struct RunExpectation {
    Duration expected { 0 }; // run time; 0: not known, or not comparable with that of other runs
    Duration limit { 0 }; // run time beyond which the run alone makes its job miss its objective; 0: not known
};

// HealthTransition is a change of the condition of a worker.
struct HealthTransition {
    std::string worker;
    WorkerCondition from { WorkerCondition::Healthy };
    WorkerCondition to { WorkerCondition::Healthy };
    HealthSign sign { HealthSign::None }; // that caused it, or that has gone
    std::size_t runs { 0 }; // that the judgement rests on
    double slowness { 0 }; // median run time as a multiple of the peers'; 0: not known
    Duration lasted { 0 }; // of the former condition
};

// WorkerHealth judges the workers of one leader. Pure: the time is passed in. Not thread-safe. It holds the last runs of each worker
// and an entry for each run that has not ended. Nothing of it is stored: a new leader judges anew, after minRuns runs of a worker.
class WorkerHealth {
public:
    struct Options {
        Duration judgeInterval { std::chrono::milliseconds(500) };
        std::size_t minPeers { 3 }; // with enough runs, without which none is called slow
        std::size_t minRuns { 8 }; // of a worker, before it is called slow or healthy again. Where 3 of 100 tasks take far longer than the others, 5 of 8 do once in 700,000 times
        std::size_t maxRuns { 16 }; // the last ones, that count
        std::uint32_t minFailures { 4 }; // in a row; a task has about two attempts, so that this has cost the attempts of two
        std::uint32_t minRefusals { 4 }; // the same of refused starts, which cost their tasks only time
        Duration refusalTime { std::chrono::seconds(3) }; // since the first of them; a run that is stopped or ends late occupies room for less
        std::size_t minStalledRuns { 2 }; // one may be a task that takes far longer than the others
        std::uint32_t minContactLosses { 3 }; // within contactWindow
        Duration contactWindow { std::chrono::seconds(30) }; // with a loss every ten seconds, a long-running task that is moved is absent for most of them
        double slowFactor { 2 }; // of the peers' run times; callers' estimates alone are wrong by up to this factor
        int stallFactor { 3 }; // of RunExpectation::limit, after which completion counts for nothing
        Duration reportTolerance { std::chrono::milliseconds(300) }; // by which the end of a run may be known late: one lost poll, recording, and the way to another region
        double reducedShare { 0.5 }; // a worker that takes twice as long keeps up with half of the work
        double maxQuarantinedShare { 0.25 }; // of the peers
        std::uint32_t probesToReturn { 2 }; // in a row
        Duration probeInterval { std::chrono::seconds(2) }; // after a probe that went badly; doubled after each further one
        Duration maxProbeInterval { std::chrono::seconds(64) };
    };

    explicit WorkerHealth(Options options);

    // Commands. Logarithmic in the workers and runs unless stated otherwise.

    // workersCounted() sets the number of workers of each group. Only these count for the shares of a group.
    void workersCounted(std::map<PeerGroupName, std::size_t> counts);

    // runStarted() reports that a run is being started on a worker; on a quarantined one it is the probe, if none is under way.
    // runProgressed() reports that the run has advanced. runEnded() ends it; `took` is the run time, if it is known. Runs that are
    // unknown, or none, are ignored.
    ObservedRun runStarted(const std::string& worker, const PeerGroupName& group, const RunExpectation& expectation, Instant now);
    void runProgressed(ObservedRun run, Instant now);
    void runEnded(ObservedRun run, RunResult result, std::optional<Duration> took, Instant now);

    // startAccepted() reports that the worker has accepted the start of a run, whose time counts from then on.
    void startAccepted(ObservedRun run, Instant now);

    // contactLost() reports that a worker that has answered before does not answer.
    void contactLost(const std::string& worker, const PeerGroupName& group, Instant now);

    // judge() returns what has changed. It does nothing until Options::judgeInterval after the last time. Linear in the workers with
    // runs and their runs.
    std::vector<HealthTransition> judge(Instant now);

    // forget() drops a worker that is gone; its runs are ignored from then on. clear() drops everything, when a leadership begins or ends.
    void forget(const std::string& worker);
    void clear();

    // Queries.

    // shareOf() returns the share of its capacity that a worker may use: 1, or less if it is reduced, or 0 if it is quarantined.
    double shareOf(const std::string& worker) const;

    // mayProbe() returns true if one run may be started on a worker whatever its share: a probe of a quarantined one, or the only run of
    // a reduced one, whose share may be in use by what is not reported here.
    bool mayProbe(const std::string& worker, Instant now) const;

    // count() returns the number of workers in a condition other than Healthy; sparedCount() that of those which only the limit of
    // quarantined workers keeps out of it. Linear in the workers.
    std::size_t count(WorkerCondition condition) const;
    std::size_t sparedCount() const;

    // hasSuspects() returns true if some worker is not healthy.
    bool hasSuspects() const { return this->suspects > 0; }

    // isQuarantined() returns true if shareOf() is 0.
    bool isQuarantined(const std::string& worker) const { return this->shareOf(worker) == 0; }

private:
    // EndedRunSample is a run that has ended as done or failed.
    struct EndedRunSample {
        double ratio { 0 }; // of run time to expected run time; 0: not known
        bool isFailed { false };
        bool isLate { false }; // took longer than RunExpectation::limit
    };

    struct Worker {
        PeerGroupName group;
        WorkerCondition condition { WorkerCondition::Healthy };
        HealthSign sign { HealthSign::None }; // of the condition
        Instant since {}; // of the condition
        std::deque<EndedRunSample> samples {}; // of this condition, the last ones
        std::uint32_t refusals { 0 }; // since a start was accepted
        Instant refusedSince {};
        std::deque<Instant> contactLosses {}; // of this condition, the last ones
        Instant lastContactLossAt {};
        Instant lastDoneAt {};
        std::size_t stalledRuns { 0 }; // that neither end nor progress, as of the current judgement
        Instant stalledSince {}; // when the last of them should have ended
        bool isSpared { false }; // quarantine is due, and too many peers are quarantined
        std::size_t openRuns { 0 }; // that have not ended
        ObservedRun probe { 0 }; // under way
        std::uint32_t goodProbes { 0 }; // in a row
        Instant nextProbeAt {};
        Duration probeInterval { 0 };
    };

    struct Run {
        std::string worker;
        RunExpectation expectation;
        Instant startedAt;
        Instant progressedAt;
    };

    // Peers is what the workers of a group have in common at one judgement.
    struct Peers {
        std::vector<const Worker*> workers; // with runs or contacts
        double ratio { 0 }; // median of the workers' medians; 0: too few are known
        Instant lastDoneAt {}; // when the last run ended on the worker in the middle; the least value: too few are known
        std::size_t size { 0 }; // workers of the group, also those without runs
        std::size_t quarantined { 0 };
        std::array<std::size_t, healthSignNames.size()> shownBy {}; // number of workers with each sign
    };

    // SignRule says how a sign is recognized, and what follows.
    struct SignRule {
        HealthSign sign;
        WorkerCondition first; // condition of a worker that was healthy
        bool (WorkerHealth::*isShown)(const Worker& worker, const Peers& peers, Instant now) const;
        bool (WorkerHealth::*isCostly)(const Worker& worker) const; // callers lose enough to quarantine a reduced worker
        bool (WorkerHealth::*isRefuted)(const Worker& worker, Instant now) const; // a worker of this condition may get more work
    };
    static const std::array<SignRule, healthSignNames.size() - 1> signRules;

    bool isFailing(const Worker& worker, const Peers& peers, Instant now) const;
    bool isRefusing(const Worker& worker, const Peers& peers, Instant now) const;
    bool isStalled(const Worker& worker, const Peers& peers, Instant now) const;
    bool isSlow(const Worker& worker, const Peers& peers, Instant now) const;
    bool isFlapping(const Worker& worker, const Peers& peers, Instant now) const;
    bool isAlwaysCostly(const Worker& worker) const;
    bool makesJobsLate(const Worker& worker) const;
    bool hasGoodRuns(const Worker& worker, Instant now) const;
    bool hasKeptContact(const Worker& worker, Instant now) const;

    Worker& findOrAdd(const std::string& worker, const PeerGroupName& group, Instant now);
    double medianRatio(const Worker& worker) const; // 0: too few runs
    double ratioOf(const RunExpectation& expectation, Duration took) const;
    void countStalledRuns(Instant now);
    std::map<PeerGroupName, Peers> summarize(Instant now);
    // ruleShownBy() returns the first rule whose sign the worker shows, unless most of its peers do; null: none.
    const SignRule* ruleShownBy(const Worker& worker, const Peers& peers, Instant now) const;
    // conditionAfter() returns the condition that follows from a sign, or from its absence.
    WorkerCondition conditionAfter(Worker& worker, const SignRule* rule, const Peers& peers, Instant now) const;
    HealthTransition change(const std::string& id, Worker& worker, WorkerCondition to, HealthSign sign, double peerRatio, Instant now);
    bool isGoodProbe(const Worker& worker, const RunExpectation& expectation, RunResult result, std::optional<Duration> took) const;
    void delayProbe(Worker& worker, Instant now) const;

    Options options;
    std::map<PeerGroupName, std::size_t> groupSizes;
    std::map<PeerGroupName, double> groupRatios; // Peers::ratio of the last judgement
    std::map<std::string, Worker> workers;
    std::map<ObservedRun, Run> runs; // that have not ended
    std::uint64_t lastRun { 0 };
    std::size_t suspects { 0 }; // workers that are not healthy
    Instant lastJudgedAt {};
};

} // namespace dragonflytray
