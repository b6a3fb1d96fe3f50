// Random changes of the leader while writes take effect late and living workers are missing from the list: no task may run
// twice.

#include "scheduling/scheduler_fixture.h"
#include "scheduling/simulation/random_choices.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dragonflytray {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(20);
    constexpr Duration entryTimeout = std::chrono::milliseconds(1500); // after which the list drops a silent worker

    // Faults is a set of machines that are disturbed, each until some time.
    template <typename Name>
    using Faults = std::map<Name, Instant>;

    // TakeoverPlay plays random jobs and faults of three hosts and six workers, which a seed determines.
    struct TakeoverPlay : SchedulerFixture {
        // FaultKind is a way of disturbing the platform, which begins once in `oneIn` ticks on average while faults overlap.
        struct FaultKind {
            std::uint64_t oneIn;
            void (TakeoverPlay::*begin)();
        };
        static const std::array<FaultKind, 13> faultKinds;
        static const std::array<FaultKind, 2> plannedKinds; // planned work, which goes on beside faults and between them

        const std::vector<std::string> names { "a", "b", "c" };
        std::vector<WorkerId> workerIds;
        RandomChoices random;
        std::vector<std::string> submitted; // ids of jobs
        Instant faultsBeginAt; // tasks run undisturbed until then
        Instant faultsEndAt; // no fault begins after that
        Instant lateWritesUntil; // writes may be late or lose their answer
        bool hasPlannedWork { false };
        Faults<std::string> stopping; // hosts that hand over before their process ends
        Faults<WorkerId> draining; // workers that leave afterwards
        Faults<std::string> killed; // hosts without a process
        Faults<std::string> withoutStore; // hosts
        Faults<WorkerId> crashes;
        Faults<WorkerId> silent; // workers whose list entry has lapsed
        Faults<WorkerId> unanswered; // workers that do not answer polls
        Faults<std::pair<std::string, WorkerId>> partitions;
        std::map<TaskId, std::vector<std::pair<std::uint64_t, Instant>>> begunAt; // runs by task
        std::map<TaskRunId, Instant> countedEnds; // as done, and acknowledged
        std::size_t checkedRuns { 0 }; // of begunRuns
        std::set<std::string> violations;

        // begin() starts the play; `startTime` is that of the first incarnations of the workers.
        void begin(std::uint64_t seed, WallTime startTime)
        {
            this->random.seed(seed);
            this->workerStartTime = startTime;
            for (const char* id : { "w1", "w2", "w3", "w4", "w5", "w6" }) {
                this->addWorker(id, 16);
                this->workerIds.emplace_back(id);
            }
            this->chooseWriteFault = [this](const std::string&, const WriteStoredRows&) { return this->randomWriteFault(); };
            this->run(this->names, std::chrono::seconds(2));
        }

        WriteFault randomWriteFault()
        {
            if (this->now >= this->lateWritesUntil || this->random.chance(2))
                return { .answerDelay = this->random.chance(30) ? this->random.duration(100, 900) : this->random.duration(0, 60) };
            if (this->random.chance(3))
                return { .isAnswerLost = true };
            return { .effectDelay = this->random.duration(1000, 6000) };
        }

        std::vector<std::string> runningHosts() const
        {
            std::vector<std::string> hosts;
            std::copy_if(this->names.begin(), this->names.end(), std::back_inserter(hosts), [this](const std::string& name) { return !this->killed.contains(name); });
            return hosts;
        }

        // randomVictim() returns the leader or another host that runs; empty: there is none.
        std::string randomVictim()
        {
            const std::vector<std::string> hosts = this->runningHosts();
            const bool isLeaderRunning = std::find(hosts.begin(), hosts.end(), this->leader()) != hosts.end();
            if (hosts.empty() || (isLeaderRunning && this->random.chance(2)))
                return hosts.empty() ? std::string() : this->leader();
            return this->random.choose(hosts);
        }

        const WorkerId& randomWorker() { return this->random.choose(this->workerIds); }

        void submitJob()
        {
            const std::vector<std::string> hosts = this->runningHosts();
            std::vector<StepDefinition> steps { stepOfTasks(static_cast<std::uint32_t>(1 + this->random.below(6)), static_cast<std::int64_t>(1 + this->random.below(3))) };
            if (this->random.chance(2)) {
                steps.push_back(steps.front());
                steps.back().after = { 0 };
            }
            this->submitted.push_back(std::to_string(1000000000000000 + this->submitted.size() + 1));
            if (!hosts.empty())
                this->submit(this->random.choose(hosts), this->submitted.back(), std::move(steps));
        }

        void makeWritesLate() { this->lateWritesUntil = this->now + this->random.duration(1000, 5000); }

        void freezeRandomHost()
        {
            if (const std::string name = this->randomVictim(); !name.empty())
                this->freezeHost(name, this->random.duration(300, 5000));
        }

        void killRandomHost()
        {
            const std::string name = this->randomVictim();
            if (name.empty())
                return;
            this->restartHost(name);
            this->killed[name] = this->now + this->random.duration(20, 3000);
        }

        void stopRandomHost()
        {
            const std::string name = this->randomVictim();
            if (!name.empty() && this->stopping.emplace(name, this->now + this->random.duration(20, 300)).second)
                this->send(name, BeginHandover {});
        }

        void drainRandomWorker()
        {
            const WorkerId& id = this->randomWorker();
            if (!this->crashes.contains(id) && this->draining.emplace(id, this->now + this->random.duration(1000, 5000)).second)
                this->workers.at(id).drain(this->now);
        }

        void endStop(const std::string& name)
        {
            this->restartHost(name);
            this->killed[name] = this->now + this->random.duration(20, 3000);
        }

        void endDrain(const WorkerId& id)
        {
            if (!this->crashes.emplace(id, this->now + this->random.duration(100, 4000)).second)
                return;
            this->crashWorker(id);
            this->silent.erase(id);
            this->workers.at(id).unlist(this->now);
        }

        void disconnectRandomHost()
        {
            const std::string name = this->randomVictim();
            if (name.empty() || !this->withoutStore.emplace(name, this->now + this->random.duration(500, 4000)).second)
                return;
            this->setStoreContact(name, false);
        }

        void delayRandomFeed() { this->feedLag[this->random.choose(this->names)] = this->random.duration(0, 800); }
        void delayRandomList() { this->listLag[this->random.choose(this->names)] = this->random.duration(0, 800); }

        void removeEntry()
        {
            const WorkerId& id = this->randomWorker();
            if (this->crashes.contains(id) || !this->silent.emplace(id, this->now + this->random.duration(500, 5000)).second)
                return;
            this->workers.at(id).unlist(this->now);
        }

        void crashRandomWorker()
        {
            const WorkerId& id = this->randomWorker();
            if (!this->crashes.emplace(id, this->now + this->random.duration(100, 4000)).second)
                return;
            this->crashWorker(id);
            this->silent.erase(id);
            this->workers.at(id).unlist(this->now + entryTimeout);
        }

        void silenceRandomWorker()
        {
            const WorkerId& id = this->randomWorker();
            this->unanswered[id] = this->now + this->random.duration(200, 4000);
            this->unresponsive.insert(id);
        }

        void cutRandomLink()
        {
            std::pair<std::string, WorkerId> link { this->random.choose(this->names), this->randomWorker() };
            this->cutLinks.insert(link);
            this->partitions[std::move(link)] = this->now + this->random.duration(200, 4000);
        }

        void delayStart()
        {
            ++this->startsToDelay;
            this->startDelay = this->random.duration(100, 2500);
        }

        void loseStop() { ++this->stopsToLose; }
        void losePoll() { ++this->pollsToLose; }

        // endOver() ends each fault that is over at `time` by a function that gets the machine.
        template <typename Name, typename End>
        static void endOver(Faults<Name>& faults, Instant time, End end)
        {
            std::erase_if(faults, [&](const auto& fault) {
                if (fault.second <= time)
                    end(fault.first);
                return fault.second <= time;
            });
        }

        void endFaults(Instant time)
        {
            endOver(this->stopping, time, [this](const std::string& name) { this->endStop(name); });
            endOver(this->draining, time, [this](const WorkerId& id) { this->endDrain(id); });
            endOver(this->killed, time, [](const std::string&) {});
            endOver(this->withoutStore, time, [this](const std::string& name) {
                this->isDisconnectedFromStore[name] = false;
                if (!this->killed.contains(name))
                    this->setStoreContact(name, true);
            });
            endOver(this->crashes, time, [this](const WorkerId& id) { this->restoreWorker(id); });
            endOver(this->silent, time, [this](const WorkerId& id) { this->workers.at(id).list(this->now); });
            endOver(this->unanswered, time, [this](const WorkerId& id) { this->unresponsive.erase(id); });
            endOver(this->partitions, time, [this](const auto& link) { this->cutLinks.erase(link); });
        }

        // act() makes at random what callers, hosts, workers, the store and the network do in one tick.
        void act()
        {
            this->taskDuration = this->random.duration(200, 5000);
            if (this->random.chance(15))
                this->submitJob();
            if (this->now >= this->faultsEndAt) {
                this->faultsBeginAt = this->now + this->random.duration(2000, 6000);
                this->faultsEndAt = this->faultsBeginAt + this->random.duration(1000, 4000);
            }
            for (const FaultKind& kind : faultKinds) {
                if (this->now >= this->faultsBeginAt && this->random.chance(kind.oneIn))
                    (this->*kind.begin)();
            }
            for (const FaultKind& kind : plannedKinds) {
                if (this->hasPlannedWork && this->random.chance(kind.oneIn))
                    (this->*kind.begin)();
            }
            this->endFaults(this->now);
        }

        void checkPair(const TaskRunId& ended, Instant endedAt, std::uint64_t run, Instant at)
        {
            if (run != ended.run && at >= endedAt)
                this->violations.insert("start after an end: " + formatRun(ended) + ", then run " + std::to_string(run));
        }

        void noteBegun(const BegunRun& begun)
        {
            const TaskRunId& id = begun.start.call.run;
            this->begunAt[id.task].emplace_back(id.run, begun.at);
            for (auto end = this->countedEnds.lower_bound({ id.task, 0 }); end != this->countedEnds.end() && end->first.task == id.task; ++end)
                this->checkPair(end->first, end->second, id.run, begun.at);
        }

        void noteEnd(const TaskRunId& id, Instant at)
        {
            if (!this->countedEnds.emplace(id, at).second)
                return;
            for (const auto& [run, begun] : this->begunAt[id.task])
                this->checkPair(id, at, run, begun);
        }

        void checkTick()
        {
            for (; this->checkedRuns < this->begunRuns.size(); ++this->checkedRuns)
                this->noteBegun(this->begunRuns[this->checkedRuns]);
            for (const auto& [id, worker] : this->workers) {
                for (const auto& [run, at] : worker.countedEnds())
                    this->noteEnd(run, at);
            }
            if (std::exchange(this->maxConcurrentRuns, 0) > 1)
                this->violations.insert("two runs at once" + this->describeConcurrentRuns());
            CHECK(this->violations == std::set<std::string> {});
        }

        // describeConcurrentRuns() lists the runs of tasks that have several now; they may have ended in the same tick.
        std::string describeConcurrentRuns() const
        {
            std::map<TaskId, std::string> runs;
            std::map<TaskId, int> counts;
            for (const auto& [id, worker] : this->workers) {
                for (const auto& [run, work] : worker.running()) {
                    runs[run.task] += " " + formatRun(run) + " on " + id.value();
                    ++counts[run.task];
                }
            }
            std::erase_if(runs, [&](const auto& entry) { return counts.at(entry.first) < 2; });
            return runs.empty() ? std::string() : ":" + runs.begin()->second;
        }

        // runTick() returns false once a rule is broken.
        bool runTick()
        {
            this->run(this->runningHosts(), tickInterval);
            this->checkTick();
            return this->violations.empty();
        }

        std::vector<std::string> storedJobs() const
        {
            std::vector<std::string> jobs;
            std::copy_if(this->submitted.begin(), this->submitted.end(), std::back_inserter(jobs), [this](const std::string& id) { return this->store.find({ StoredRowKind::Definition, id }) != nullptr; });
            return jobs;
        }

        // settle() ends the faults and runs until all jobs are over, or for `time`. It returns false once a rule is broken.
        bool settle(Duration time)
        {
            this->endFaults(Instant::max());
            this->frozenUntil.clear();
            this->lateWritesUntil = {};
            this->feedLag.clear();
            this->listLag.clear();
            this->startsToDelay = 0;
            this->stopsToLose = 0;
            this->pollsToLose = 0;
            this->taskDuration = std::chrono::milliseconds(300);
            for (const Instant end = this->now + time; this->now < end;) {
                if (!this->runTick())
                    return false;
                if (this->delayedWrites.empty() && this->areOver(this->storedJobs()))
                    break;
            }
            return true;
        }

        // play() runs everything and checks that all jobs complete at the end.
        void play()
        {
            for (const Instant end = this->now + std::chrono::seconds(40); this->now < end;) {
                this->act();
                if (!this->runTick())
                    return;
            }
            if (!this->settle(std::chrono::seconds(40)))
                return;
            for (const std::string& id : this->storedJobs()) {
                CAPTURE(id);
                CHECK(this->phaseOf(id) == JobPhase::Completed);
            }
        }
    };

    const std::array<TakeoverPlay::FaultKind, 13> TakeoverPlay::faultKinds { {
        { 100, &TakeoverPlay::makeWritesLate },
        { 150, &TakeoverPlay::freezeRandomHost },
        { 150, &TakeoverPlay::killRandomHost },
        { 500, &TakeoverPlay::disconnectRandomHost },
        { 50, &TakeoverPlay::delayRandomFeed },
        { 100, &TakeoverPlay::delayRandomList },
        { 20, &TakeoverPlay::removeEntry },
        { 250, &TakeoverPlay::crashRandomWorker },
        { 250, &TakeoverPlay::silenceRandomWorker },
        { 250, &TakeoverPlay::cutRandomLink },
        { 20, &TakeoverPlay::delayStart },
        { 30, &TakeoverPlay::loseStop },
        { 20, &TakeoverPlay::losePoll },
    } };

    const std::array<TakeoverPlay::FaultKind, 2> TakeoverPlay::plannedKinds { {
        { 120, &TakeoverPlay::stopRandomHost },
        { 100, &TakeoverPlay::drainRandomWorker },
    } };

} // namespace

TEST_CASE_METHOD(TakeoverPlay, "Takeover_randomLateWritesAndLapsedEntries_noTaskRunsTwice", "[takeover]")
{
    const std::uint64_t seed = GENERATE(range(std::uint64_t { 1 }, std::uint64_t { 61 }));
    CAPTURE(seed);
    this->begin(seed, 1);
    this->play();
}

TEST_CASE_METHOD(TakeoverPlay, "Takeover_randomFaultsOfWorkersWithoutStartTime_noTaskRunsTwice", "[takeover]")
{
    const std::uint64_t seed = GENERATE(range(std::uint64_t { 1 }, std::uint64_t { 61 }));
    CAPTURE(seed);
    this->begin(seed, 0);
    this->play();
}

TEST_CASE_METHOD(TakeoverPlay, "Takeover_randomPlannedStopsBesideDrains_noTaskRunsTwice", "[takeover]")
{
    const std::uint64_t seed = GENERATE(range(std::uint64_t { 1 }, std::uint64_t { 61 }));
    CAPTURE(seed);
    this->hasPlannedWork = true;
    this->begin(seed, 1);
    this->play();
}

} // namespace dragonflytray
