// Once all faults are over and there is room, every accepted job goes on, whatever its tasks and workers have been through.

#include "scheduling/scheduler_fixture.h"

#include <algorithm>
#include <random>

namespace dragonflytray {

namespace {

    constexpr Duration stepTime = std::chrono::milliseconds(100);
    constexpr Duration faultTime = std::chrono::seconds(20);
    constexpr Duration settlingTime = std::chrono::seconds(30); // longer than the runs on a silent worker are kept

    // FaultyFleetFixture has three hosts and four to eight workers that fail at random while jobs of all kinds arrive.
    struct FaultyFleetFixture : SchedulerFixture {
        FaultyFleetFixture()
        {
            this->dispatcherOptions.pollWaitTimeout = std::chrono::milliseconds(100);
        }

        void lead(std::uint64_t seed)
        {
            this->random.seed(seed);
            this->workerCount = 4 + this->below(5);
            this->failingShare = this->below(60);
            for (std::size_t number = 1; number <= this->workerCount; ++number)
                this->addWorker("w" + std::to_string(number), 16);
            this->run(this->running, std::chrono::seconds(4));
        }

        std::size_t below(std::size_t bound) { return this->random() % bound; }
        bool occurs(std::size_t percent) { return this->below(100) < percent; }
        WorkerId anyWorker() { return WorkerId("w" + std::to_string(1 + this->below(this->workerCount))); }
        Duration anyTime(std::size_t seconds) { return std::chrono::milliseconds(200 + this->below(seconds * 1000)); }

        StepDefinition anyStep()
        {
            StepDefinition step = stepOfTasks(static_cast<std::uint32_t>(1 + this->below(3)), static_cast<std::int64_t>(2 + this->below(4)));
            const std::size_t kind = this->below(6);
            step.isGang = kind == 0;
            step.isSameRack = kind == 0;
            step.maxPerWorker = kind == 1 ? 1 : 0;
            step.nearLabel = kind == 2 ? "r1" : "";
            step.requiredLabel = kind == 3 ? "a" : "";
            step.isCheckpointing = this->occurs(50);
            return step;
        }

        void submitAny()
        {
            std::vector<StepDefinition> steps { this->anyStep() };
            if (2 * this->longRunningJobs.size() < this->workerCount && this->occurs(10)) {
                steps.front().isLongRunning = true;
                steps.front().isGang = false;
            } else if (this->occurs(30)) {
                steps.push_back(this->anyStep());
                steps.back().after = { 0 };
            }
            const std::string id = std::to_string(++this->lastJob);
            const bool isLongRunning = steps.front().isLongRunning;
            const std::size_t count = steps.front().count;
            if (this->submit(this->running.front(), id, std::move(steps)) != ReplyStatus::Accepted)
                return;
            this->accepted.push_back(id);
            if (isLongRunning)
                this->longRunningJobs[id] = count;
        }

        void disturb()
        {
            if (this->occurs(5) && this->crashed.empty()) {
                const WorkerId id = this->anyWorker();
                this->crashWorker(id);
                this->after(this->anyTime(4), [this, id] { this->restoreWorker(id); });
            }
            if (this->occurs(5)) {
                const WorkerId id = this->anyWorker();
                for (const char* host : { "a", "b", "c" })
                    this->cutLinks.insert({ host, id });
                this->after(this->anyTime(8), [this, id] { std::erase_if(this->cutLinks, [&](const auto& link) { return link.second == id; }); });
            }
            if (this->occurs(2) && this->drained + 4 < this->workerCount) {
                this->workers.at(WorkerId("w" + std::to_string(1 + this->drained))).drain(this->now);
                ++this->drained;
            }
            if (this->occurs(3) && this->running.size() == 3)
                this->stopHost(this->occurs(70) ? this->leader() : "a");
            this->pollsToLose += this->occurs(5) ? 2 : 0;
            this->stopsToLose += this->occurs(5) ? 1 : 0;
            this->startsToDelay += this->occurs(5) ? 1 : 0;
            this->shouldTasksFail = this->occurs(this->failingShare);
            this->taskDuration = this->anyTime(1);
        }

        void stopHost(const std::string& name)
        {
            if (std::erase(this->running, name) == 0)
                return;
            this->after(this->anyTime(3), [this, name] {
                this->restartHost(name);
                this->running.push_back(name);
            });
        }

        void after(Duration delay, std::function<void()> action) { this->actions.emplace(this->now + delay, std::move(action)); }

        void carryOutActions(Instant time)
        {
            while (!this->actions.empty() && this->actions.begin()->first <= time) {
                const auto action = this->actions.begin()->second;
                this->actions.erase(this->actions.begin());
                action();
            }
        }

        void playFaults()
        {
            for (const Instant end = this->now + faultTime; this->now < end;) {
                if (this->occurs(30))
                    this->submitAny();
                if (this->occurs(3) && !this->accepted.empty())
                    this->send(this->running.front(), RequestCancellation { ReplyToken { 2 }, "desk.example", "/q/" + this->accepted[this->below(this->accepted.size())] });
                this->disturb();
                this->run(this->running, stepTime);
                this->carryOutActions(this->now);
            }
            this->carryOutActions(Instant::max());
            this->shouldTasksFail = false;
            this->pollsToLose = 0;
            this->stopsToLose = 0;
            this->startsToDelay = 0;
        }

        std::vector<std::string> waitingJobs() const
        {
            std::vector<std::string> jobs;
            for (const std::string& id : this->accepted) {
                const auto longRunning = this->longRunningJobs.find(id);
                const bool isWhole = longRunning != this->longRunningJobs.end() && this->runningOf(id).size() == longRunning->second;
                if (!isFinal(this->phaseOf(id)) && !isWhole)
                    jobs.push_back(id);
            }
            return jobs;
        }

        std::mt19937_64 random;
        std::vector<std::string> running { "a", "b", "c" };
        std::multimap<Instant, std::function<void()>> actions;
        std::vector<std::string> accepted;
        std::map<std::string, std::size_t> longRunningJobs; // and the number of their tasks
        std::size_t workerCount { 0 };
        std::size_t failingShare { 0 }; // of the time, in percent, in which all runs that start fail
        std::size_t drained { 0 };
        std::uint64_t lastJob { 1000000000000000 };
    };

} // namespace

TEST_CASE_METHOD(FaultyFleetFixture, "Jobs_allFaultsAreOver_noTaskWaits", "[settled]")
{
    const int seed = GENERATE(range(1, 41));
    CAPTURE(seed);
    this->lead(static_cast<std::uint64_t>(seed));
    this->playFaults();
    REQUIRE(this->accepted.size() > 10);
    this->run(this->running, settlingTime);
    CHECK(this->waitingJobs() == std::vector<std::string>());
}

} // namespace dragonflytray
