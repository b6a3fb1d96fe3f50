// Workers of a full cell drain and leave one after the other while its leaders stop as planned every 1 to 2.5 s. A leader that counts
// the time of a drain from when it first sees it never finds that the worker is about to leave.

#include "scheduling/scheduler_fixture.h"
#include "scheduling/simulation/random_choices.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dragonflytray {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(20);
    constexpr Duration acceptedAbsence = std::chrono::seconds(9); // of a long-running task with room for it
    constexpr std::uint32_t tasksPerWorker = 4;
    constexpr std::uint32_t longRunningJobs = 4; // of tasksPerWorker tasks
    constexpr std::uint32_t initialWorkers = 6;
    const std::string firstShortJob = "00000000000000b0"; // ids of long-running jobs are less

    // WorkerDeparturePlay plays a release of random timing beside planned stops of four hosts, which a seed determines.
    struct WorkerDeparturePlay : SchedulerFixture {
        const std::vector<std::string> names { "a", "b", "c", "d" };
        RandomChoices random;
        std::deque<WorkerId> listedWorkers; // in the order in which they drain
        std::vector<Instant> arrivals; // of further workers
        std::map<WorkerId, Instant> departures;
        std::map<std::string, Instant> stopped; // hosts without a process, and when they start again
        std::string stopping; // host that hands over
        std::map<TaskId, Instant> lastSeen; // when a long-running task last ran
        Duration longestAbsence { 0 };
        std::size_t runsEndedWithWorker { 0 }; // of long-running tasks
        int addedWorkers { 0 };

        static bool isLongRunning(const TaskRunId& run) { return run.task.job.value() < firstShortJob; }

        void arrive()
        {
            const std::string id = "w" + std::to_string(100 + this->addedWorkers++);
            this->addWorker(id, std::int64_t { tasksPerWorker } * 4).list(this->now);
            this->listedWorkers.emplace_back(id);
        }

        void depart(const WorkerId& id)
        {
            for (const auto& [run, work] : this->workers.at(id).running())
                this->runsEndedWithWorker += isLongRunning(run) ? 1 : 0;
            this->crashWorker(id);
            this->workers.at(id).unlist(this->now);
        }

        void drainNext()
        {
            const WorkerId id = this->listedWorkers.front();
            this->listedWorkers.pop_front();
            this->workers.at(id).drain(this->now);
            this->departures[id] = this->now + this->random.duration(3000, 4500);
            this->arrivals.push_back(this->now + this->random.duration(1000, 4000));
        }

        void stopLeader()
        {
            this->stopping = this->leader();
            this->send(this->stopping, BeginHandover {});
        }

        void noteRuns()
        {
            for (const auto& [id, worker] : this->workers) {
                for (const auto& [run, work] : worker.running()) {
                    if (!isLongRunning(run))
                        continue;
                    const Instant before = this->lastSeen.try_emplace(run.task, this->now).first->second;
                    this->longestAbsence = std::max(this->longestAbsence, this->now - before);
                    this->lastSeen[run.task] = this->now;
                }
            }
        }

        void runTick()
        {
            std::vector<std::string> running;
            std::copy_if(this->names.begin(), this->names.end(), std::back_inserter(running), [this](const std::string& name) { return !this->stopped.contains(name); });
            this->run(running, tickInterval);
            this->noteRuns();
            std::erase_if(this->stopped, [this](const auto& host) { return host.second <= this->now; });
            if (!this->stopping.empty() && this->host(this->stopping).isHandedOver()) {
                this->restartHost(this->stopping);
                this->stopped[std::exchange(this->stopping, {})] = this->now + std::chrono::seconds(1);
            }
            if (std::erase_if(this->arrivals, [this](Instant time) { return time <= this->now; }) > 0)
                this->arrive();
            std::erase_if(this->departures, [this](const auto& departure) {
                if (departure.second <= this->now)
                    this->depart(departure.first);
                return departure.second <= this->now;
            });
        }

        void runFor(Duration time)
        {
            for (const Instant end = this->now + time; this->now < end;)
                this->runTick();
        }

        // begin() fills the cell with long-running and short tasks.
        void begin(std::uint64_t seed)
        {
            this->random.seed(seed);
            this->dispatcherOptions.pollWaitTimeout = std::chrono::milliseconds(100);
            this->taskDuration = std::chrono::minutes(1);
            this->chooseStopDelay = [this](const TaskRunId&) { return this->random.duration(40, 360); };
            this->chooseWriteFault = [this](const std::string&, const WriteStoredRows&) { return WriteFault { .answerDelay = this->random.duration(4, 60) }; };
            for (std::uint32_t index = 0; index < initialWorkers; ++index)
                this->arrive();
            this->runFor(std::chrono::seconds(3));
            StepDefinition step = stepOfTasks(tasksPerWorker, 4);
            step.isLongRunning = true;
            for (std::uint32_t index = 0; index < longRunningJobs; ++index)
                this->submit(this->names.front(), "00000000000000a" + std::to_string(index), { step });
            this->runFor(std::chrono::seconds(3));
            REQUIRE(this->lastSeen.size() == std::size_t { longRunningJobs } * tasksPerWorker);
            this->submit(this->names.front(), firstShortJob, { stepOfTasks((initialWorkers - longRunningJobs) * tasksPerWorker, 4) });
            this->runFor(std::chrono::seconds(1));
        }

        void play()
        {
            Instant nextDrain = this->now;
            Instant nextStop = this->now;
            for (const Instant end = this->now + std::chrono::seconds(30); this->now < end;) {
                this->runTick();
                if (this->now >= nextDrain && this->listedWorkers.size() > initialWorkers / 2) {
                    nextDrain = this->now + this->random.duration(700, 1500);
                    this->drainNext();
                }
                if (this->now >= nextStop && this->stopping.empty() && !this->leader().empty()) {
                    nextStop = this->now + this->random.duration(1000, 2500);
                    this->stopLeader();
                }
            }
            this->runFor(acceptedAbsence);
        }
    };

} // namespace

TEST_CASE_METHOD(WorkerDeparturePlay, "PlannedStop_randomStopsBesideDrains_noLongRunningTaskEndsWithItsWorker", "[takeover]")
{
    const std::uint64_t seed = GENERATE(range(std::uint64_t { 1 }, std::uint64_t { 21 }));
    CAPTURE(seed);
    this->begin(seed);
    this->play();
    CHECK(this->runsEndedWithWorker == 0);
    CHECK(toMilliseconds(this->longestAbsence) <= toMilliseconds(acceptedAbsence));
    CHECK(this->maxConcurrentRuns == 1);
}

} // namespace dragonflytray
