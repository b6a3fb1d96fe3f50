#pragma once

// A test fixture in which some jobs crash each worker that starts one of their tasks.
//
// Example:
//
//     REQUIRE(this->submit("a", deadlyJob, { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
//     this->runWatched({ "a" }, std::chrono::seconds(30));
//     CHECK(this->phaseOf(deadlyJob) == JobPhase::Failed);

#include "scheduling/scheduler_fixture.h"

#include <algorithm>

namespace dragonflytray {

inline const std::string deadlyJob = "00000000000000d1";
inline const std::string otherJob = "00000000000000a1";
inline constexpr Duration takeoverTime = std::chrono::seconds(3);
inline constexpr Duration tickInterval = std::chrono::milliseconds(20);

// Recovery says what answers at the address of a worker that has crashed, once its outage is over.
enum class Recovery {
    SameWorker,
    OtherWorker,
};

// DeadlyTaskFixture crashes the worker of each run of a deadly job shortly after the run has begun.
struct DeadlyTaskFixture : SchedulerFixture {
    DeadlyTaskFixture()
    {
        this->dispatcherOptions.pollWaitTimeout = std::chrono::milliseconds(100);
        for (int number = 1; number <= 8; ++number)
            this->addWorker("w" + std::to_string(number), 16);
        this->run({ "a" }, takeoverTime);
    }

    void runWatched(const std::vector<std::string>& names, Duration time)
    {
        for (const Instant end = this->now + time; this->now < end;) {
            this->run(names, tickInterval);
            this->restoreWorkers();
            this->crashWorkersOfDeadlyRuns();
        }
    }

    void crashWorkersOfDeadlyRuns()
    {
        for (; this->watchedRuns < this->begunRuns.size(); ++this->watchedRuns) {
            const StartTask& call = this->begunRuns[this->watchedRuns].start.call;
            if (!this->deadlyJobs.contains(call.run.task.job.value()) || this->crashed.contains(call.to.worker))
                continue;
            this->crashingRuns.push_back(call.run);
            this->crashForOutage(call.to.worker);
        }
    }

    void crashForOutage(const WorkerId& id)
    {
        this->crashWorker(id);
        this->outageEnds[id] = this->now + this->outage;
    }

    void restoreWorkers()
    {
        for (auto entry = this->outageEnds.begin(); entry != this->outageEnds.end();) {
            const auto [id, outageEnd] = *entry;
            if (outageEnd > this->now) {
                ++entry;
                continue;
            }
            entry = this->outageEnds.erase(entry);
            if (this->recovery == Recovery::SameWorker)
                this->restoreWorker(id);
            else
                this->replaceWorker(id, id.value() + "-next");
        }
    }

    // loseLeaderAfterEachCrash() lets another host lead at `delay` after each crash, up to `count` times or until the job has failed. A
    // leader that does not hand over is killed. It returns the last leader.
    std::string loseLeaderAfterEachCrash(int count, Duration delay, bool isHandingOver)
    {
        std::string leader = "a";
        for (int number = 0; number < count && this->phaseOf(deadlyJob) != JobPhase::Failed; ++number) {
            const std::size_t crashes = this->crashingRuns.size();
            const Instant limit = this->now + std::chrono::seconds(20);
            while (this->crashingRuns.size() == crashes && this->now < limit && this->phaseOf(deadlyJob) != JobPhase::Failed)
                this->runWatched({ leader }, tickInterval);
            this->runWatched({ leader }, delay);
            leader = this->changeLeader(leader, "h" + std::to_string(number), isHandingOver);
        }
        return leader;
    }

    // changeLeader() lets `next` lead after `leader`, which is killed unless it hands over. It returns `next`.
    std::string changeLeader(const std::string& leader, const std::string& next, bool isHandingOver)
    {
        if (isHandingOver) {
            this->send(leader, BeginHandover {});
            this->runWatched({ leader, next }, std::chrono::milliseconds(800));
        }
        return next;
    }

    std::size_t crashesBy(const std::string& job) const
    {
        return static_cast<std::size_t>(std::count_if(this->crashingRuns.begin(), this->crashingRuns.end(), [&](const TaskRunId& run) { return run.task.job.value() == job; }));
    }

    std::size_t storedCrashesOf(const std::string& job) const
    {
        const StoredRowChange* row = this->store.find({ StoredRowKind::Progress, job });
        std::size_t crashes = 0;
        for (const auto& [step, progress] : row ? std::get<JobProgress>(*row->value).stepProgress : std::map<std::uint32_t, StepProgress> {}) {
            for (const auto& [index, runs] : progress.crashes)
                crashes += runs.runs.size();
        }
        return crashes;
    }

    std::set<std::string> deadlyJobs { deadlyJob };
    Recovery recovery { Recovery::SameWorker };
    Duration outage { std::chrono::seconds(3) };
    std::map<WorkerId, Instant> outageEnds;
    std::size_t watchedRuns { 0 };
    std::vector<TaskRunId> crashingRuns; // in the order of time
};

} // namespace dragonflytray
