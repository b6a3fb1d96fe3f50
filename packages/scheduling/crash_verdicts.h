#pragma once

// Whether a task has crashed the worker on which its run was, once it is known how many other workers were lost about then.
//
// What is known of the end of a worker, and what it proves:
//
//     a poll gets no answer                   nothing: the worker may be cut off
//     a poll's connection breaks              the process ended then, if another incarnation answers next and the network did not break it
//     another incarnation answers             the former one has ended, some time after its last answer
//     a start was answered                    the run had begun
//     a report names a run long after that    the run has settled: its task does not crash workers
//     the only run that had just begun        the run or a cause outside has ended the worker
//     other workers are lost about then       a cause outside, unless runs that had just begun explain those losses as well
//
// A crash of which nothing but its run is known to be a cause proves that the task is to blame, if it happens twice. Beside other
// losses it proves nothing, and it does not count beside several that no run explains. Any other crash makes the task a suspect.
//
// Example:
//
//     verdicts.contactLost({ .worker = worker.entry.id, .earliest = worker.lastAnswer, .latest = now });
//     verdicts.charge({ .run = run, .suspect = task, .worker = worker.entry.id, .earliest = end.earliest, .latest = end.latest });
//     for (const JudgedCrash& judged : verdicts.takeDue(now)) { ... }

#include "scheduling/worker_types.h"
#include <map>
#include <vector>

namespace dragonflytray {

// CrashVerdict says what the end of a worker shows about a run that it had.
enum class CrashVerdict {
    Coincident, // other workers were lost about then, and no run explains that, so that the run is not to blame
    Possible, // other runs on the worker, another loss, or an end at another moment, explain it as well
    Proven, // nothing else is known to explain it
};

inline constexpr NameTable crashVerdictNames { std::to_array<NameEntry<CrashVerdict>>({
    { CrashVerdict::Coincident, "coincident" },
    { CrashVerdict::Possible, "possible" },
    { CrashVerdict::Proven, "proven" },
}) };
static_assert(crashVerdictNames.isWhole(CrashVerdict::Proven));

// ContactLoss is a worker that no longer answers, or not as the incarnation that it was.
struct ContactLoss {
    WorkerId worker;
    Instant earliest; // it may have ended from then on
    Instant latest;
    bool isExplained { false }; // it broke off at once after the start of a run there
    bool isConfirmed { false }; // another incarnation has answered
};

// CrashCharge is the end of a worker that is attributed to a run.
struct CrashCharge {
    TaskRunId run;
    TaskId suspect; // the task, or the first one of its gang
    WorkerId worker;
    Instant earliest; // between which the worker ended
    Instant latest;
    bool isAlone { false }; // the worker ended at once after the start, and no other task's run had just begun there
    Instant dueAt; // when losses at the same time have been noticed
};

// JudgedCrash is the verdict on a charge.
struct JudgedCrash {
    CrashCharge charge;
    CrashVerdict verdict { CrashVerdict::Possible };
    std::size_t coincidentLosses { 0 }; // of other workers
    std::size_t unexplainedLosses { 0 }; // those of them that are confirmed, and that no run explains
};

// CrashVerdicts holds the charges that wait for their verdict, and the losses of workers. Not thread-safe.
class CrashVerdicts {
public:
    struct Options {
        Duration noticeTimeout { std::chrono::milliseconds(2500) }; // after a loss, within which others at the same time are noticed: a poll with its wait and its timeout
        Duration confirmationTimeout { std::chrono::seconds(1) }; // after the end of a worker is known, within which others that are back answer
        Duration coincidenceMargin { std::chrono::milliseconds(100) }; // between two losses that count as one event
        std::size_t maxUnexplainedLosses { 2 }; // that are confirmed, beside a crash that counts
        Duration lossRetention { std::chrono::seconds(180) }; // for which a loss is kept; lapsed runs are charged until then
    };

    explicit CrashVerdicts(Options options);

    // Commands.

    // contactLost() records the loss of a worker. contactRegained() takes it back, unless it is confirmed: the same incarnation has
    // answered. confirmLoss() records that another one has.
    void contactLost(ContactLoss loss);
    void contactRegained(const WorkerId& worker);
    void confirmLoss(const WorkerId& worker);

    // charge() adds a charge. takeDue() removes and returns those that can be judged. Linear in the charges that are due times the
    // losses.
    void charge(CrashCharge charge);
    std::vector<JudgedCrash> takeDue(Instant now);

    // clear() drops all charges and losses.
    void clear();

    // Queries.

    // isPending() says whether a charge against the suspect waits for its verdict.
    bool isPending(const TaskId& suspect) const;

private:
    JudgedCrash judge(CrashCharge charge) const;

    Options options;
    std::map<WorkerId, std::vector<ContactLoss>> losses; // of each worker the last ones, in the order of time
    std::vector<CrashCharge> charges;
};

} // namespace dragonflytray
