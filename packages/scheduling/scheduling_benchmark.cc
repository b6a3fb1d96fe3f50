// Measures the processor time that the scheduler of a leader uses for each kind of command under a steady load. Run it
// on an idle machine.
//
// Usage: scheduling_benchmark [workers] [jobs per second]

#include "scheduling/simulation/simulated_store.h"
#include "scheduling/simulation/simulated_worker.h"

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <queue>
#include <random>

namespace dragonflytray {
namespace {

    constexpr std::int64_t coresPerWorker = 64;
    constexpr int measuredSeconds = 20;
    constexpr int longRunningJobs = 390; // of 14 tasks of 6 cores: more than 490 workers have together
    constexpr Duration timeStep = std::chrono::milliseconds(5);
    const DataCentreName homeDataCentre("rs-poa");

    double processorSeconds()
    {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
    }

    WallTime wallAt(Instant now)
    {
        return toMilliseconds(now.time_since_epoch());
    }

    // SchedulingBenchmark drives one leader whose store and workers answer after one step.
    class SchedulingBenchmark {
    public:
        SchedulingBenchmark(int workers, int jobsPerSecond)
            : jobsPerSecond(jobsPerSecond)
            , scheduler({ .self = HostName("entry-1"), .home = homeDataCentre, .dataCentres = { { homeDataCentre, RegionName("sul-rs") } } })
        {
            for (int i = 0; i < workers; ++i) {
                ListedWorker entry { .id = WorkerId("i-" + std::to_string(1000000 + i)), .service = ServiceName("desk"), .endpoint = { "10.0.0.1", static_cast<std::uint16_t>(i) }, .dataCentre = homeDataCentre, .labels = { "rack-" + std::to_string(i / 8) }, .rack = "rack-" + std::to_string(i / 8), .capacity = { coresPerWorker * 1000, 256000, 0 }, .isDraining = false, .startedAt = 1 };
                this->workers.try_emplace(entry.id, entry, this->now);
            }
            const QueueRule queue { .name = QueueName("quick"), .host = "desk.example", .pathPrefix = "/q/", .service = ServiceName("desk"), .priority = 0, .maxAttempts = 3, .slackFactor = 2, .targetLatency = std::chrono::seconds(1) };
            this->send(SchedulerTick { wallAt(this->now) });
            this->send(ConfigurationFollowed { { .version = 1, .queues = { queue } } });
        }

        void run()
        {
            this->passTime(std::chrono::seconds(5));
            for (int i = 0; i < longRunningJobs; ++i)
                this->submit({ { .count = 14, .need = { 6000, 1000, 0 }, .isLongRunning = true, .image = ImageName("serve-" + std::to_string(i % 6)), .latencyTarget = std::chrono::milliseconds(45) } });
            this->passTime(std::chrono::seconds(5));
            this->costs = {};
            this->counts = {};
            for (int second = 0; second < measuredSeconds; ++second) {
                for (int i = 0; i < this->jobsPerSecond; ++i) {
                    this->submitShortJob(i);
                    this->passTime(std::chrono::milliseconds(1000) / this->jobsPerSecond);
                }
            }
            this->print();
        }

    private:
        void submitShortJob(int number)
        {
            const bool isBestEffort = number % 2 == 0;
            StepDefinition first { .count = isBestEffort ? 20U : 10U, .need = { isBestEffort ? 7000 : 9000, 1000, 0 }, .estimate = std::chrono::seconds(1), .isBestEffort = isBestEffort, .image = ImageName("short-" + std::to_string(number % 8)) };
            StepDefinition second = first;
            second.after = { 0 };
            this->submit(isBestEffort ? std::vector<StepDefinition> { first, second } : std::vector<StepDefinition> { first });
        }

        void submit(std::vector<StepDefinition> steps)
        {
            char id[17];
            (void)std::snprintf(id, sizeof id, "%016x", ++this->jobCount);
            SubmitJobSteps submit { .token = ReplyToken { 1 }, .host = "desk.example", .path = std::string("/q/") + id, .job = {} };
            submit.job.spec = std::string(300, 'x');
            this->definitions[JobId(id)] = steps;
            submit.job.steps = std::move(steps);
            this->send(submit);
        }

        void passTime(Duration time)
        {
            const Instant end = this->now + time;
            while (this->now < end) {
                this->now += timeStep;
                std::vector<SchedulerCommand> due;
                while (!this->answers.empty() && this->answers.begin()->first <= this->now) {
                    due.push_back(std::move(this->answers.begin()->second));
                    this->answers.erase(this->answers.begin());
                }
                for (const SchedulerCommand& command : due)
                    this->send(command);
                this->answerDuePolls();
                if (++this->stepCount % 8 == 0) {
                    this->send(this->store.changesAfter(this->followed));
                    this->followed = this->store.version();
                    this->send(WorkersListed { {}, {}, false, this->followed }); // starts need a recent view of the list
                }
                if (this->stepCount % 4 == 0)
                    this->send(SchedulerTick { wallAt(this->now) });
            }
        }

        // answerDuePolls() answers the polls whose wait is over and the polls of workers on which a run has ended.
        void answerDuePolls()
        {
            std::vector<PollWorker> duePolls;
            std::erase_if(this->polls, [&](const auto& poll) {
                const auto nextEnd = this->nextEnds.find(poll.second.to.worker);
                const bool hasEnd = nextEnd != this->nextEnds.end() && nextEnd->second <= this->now;
                if (hasEnd || poll.first + poll.second.wait <= this->now) {
                    duePolls.push_back(poll.second);
                    if (hasEnd)
                        this->nextEnds.erase(nextEnd);
                    return true;
                }
                return false;
            });
            for (const PollWorker& call : duePolls) {
                PollEnded end = this->workers.at(call.to.worker).poll(call, this->now);
                for (RunningTask& task : end.running)
                    task.load = 15 + static_cast<std::int64_t>(this->generator() % 20);
                this->answer(std::move(end));
            }
        }

        void answer(SchedulerCommand command) { this->answers.emplace(this->now + timeStep, std::move(command)); }

        void send(const SchedulerCommand& command)
        {
            const double before = processorSeconds();
            const SchedulerEffects effects = this->scheduler.handle(command, this->now);
            this->costs[command.index()] += processorSeconds() - before;
            ++this->counts[command.index()];
            for (const SchedulerEffect& effect : effects)
                std::visit([&](const auto& value) { this->carryOut(value); }, effect);
        }

        void carryOut(const WriteStoredRows& effect) { this->answer(this->store.apply(effect)); }
        void carryOut(const ReadJobRows& effect) { this->answer(this->store.rowsOf(effect.job)); }
        void carryOut(const ReadRosters&) { this->answer(this->store.rosters()); }
        void carryOut(const PollWorker& effect)
        {
            this->polls.emplace_back(this->now, effect);
        }
        void carryOut(const StartTask& effect)
        {
            const StepDefinition& definition = this->definitions.at(effect.run.task.job).at(effect.run.task.step);
            TaskResources need = definition.need;
            if (definition.isBestEffort)
                need.millicores = 0;
            const Instant end = definition.isLongRunning ? Instant::max() : this->now + std::chrono::milliseconds(500 + this->generator() % 2000);
            if (!definition.isLongRunning)
                this->nextEnds[effect.to.worker] = end;
            SimulatedRun work { .id = effect.run, .need = need, .end = end, .isFailing = false, .checkpoint = {} };
            const WorkerCallStatus status = this->workers.at(effect.to.worker).start(effect, work, this->now);
            this->answer(TaskCallEnded { TaskCallKind::Start, effect.to.worker, effect.to.token, effect.run, status });
            ++this->startCount;
        }
        void carryOut(const StopTask& effect)
        {
            const WorkerCallStatus status = this->workers.at(effect.to.worker).stop(effect, this->now);
            this->answer(TaskCallEnded { TaskCallKind::Stop, effect.to.worker, effect.to.token, effect.run, status });
        }
        void carryOut(const SetTaskSpeed&) { ++this->speedChangeCount; }
        void carryOut(const ReplyToClient&) { }
        void carryOut(const FollowWorkers& effect)
        {
            WorkersListed list { {}, {}, true };
            for (const auto& [id, worker] : this->workers)
                list.changed.push_back(worker.entry());
            if (effect.shouldFollow)
                this->answer(list);
        }
        void carryOut(const LogDecision&) { ++this->logLineCount; }

        void print() const
        {
            double sum = 0;
            for (const auto& entry : schedulerCommandNames) {
                const std::size_t index = indexOf(entry.value);
                if (this->counts[index] == 0)
                    continue;
                sum += this->costs[index];
                std::printf("%-24s %8lu per second, %8.2f us each, %7.4f cores\n", std::string(entry.name).c_str(), this->counts[index] / measuredSeconds, 1e6 * this->costs[index] / static_cast<double>(this->counts[index]), this->costs[index] / measuredSeconds);
            }
            std::printf("total %.4f cores; %d starts, %d speed changes, %d log lines\n", sum / measuredSeconds, this->startCount, this->speedChangeCount, this->logLineCount);
        }

        int jobsPerSecond;
        Scheduler scheduler;
        Instant now { std::chrono::hours(1) };
        SimulatedStore store;
        RowVersion followed { 0 };
        std::map<WorkerId, SimulatedWorker> workers;
        std::map<JobId, std::vector<StepDefinition>> definitions;
        std::multimap<Instant, SchedulerCommand> answers;
        std::vector<std::pair<Instant, PollWorker>> polls;
        std::map<WorkerId, Instant> nextEnds;
        std::mt19937_64 generator { 1 };
        std::array<double, schedulerCommandNames.size()> costs {};
        std::array<std::uint64_t, schedulerCommandNames.size()> counts {};
        unsigned jobCount { 0 };
        int stepCount { 0 };
        int startCount { 0 };
        int speedChangeCount { 0 };
        int logLineCount { 0 };
    };

} // namespace
} // namespace dragonflytray

int main(int argc, char** argv)
{
    constexpr int defaultWorkers = 490;
    constexpr int defaultJobs = 28; // per second
    const int workers = argc > 1 ? std::atoi(argv[1]) : defaultWorkers;
    const int jobs = argc > 2 ? std::atoi(argv[2]) : defaultJobs;
    dragonflytray::SchedulingBenchmark(workers, jobs).run();
    return 0;
}
