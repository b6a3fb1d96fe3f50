// A burst of one queue must delay that queue and not the others of its priority.

#include "scheduling/scheduler_fixture.h"
#include "scheduling/simulation/random_choices.h"

#include <algorithm>
#include <ostream>

namespace dragonflytray {

namespace {

    const std::string steadyQueue = "steady";
    const std::string burstQueue = "burst";
    constexpr Duration tickInterval = std::chrono::milliseconds(20);
    constexpr Duration burstTime = std::chrono::seconds(10);
    constexpr Duration drainTime = std::chrono::seconds(40); // after the burst; by then its last job has ended

    // QueueOutcome is what the callers of one queue get: the numbers of jobs by the time of their end.
    struct QueueOutcome {
        std::size_t jobs { 0 };
        std::size_t onTime { 0 };
        std::size_t inLateLimit { 0 }; // and not on time

        double onTimeShare() const { return static_cast<double>(this->onTime) / static_cast<double>(this->jobs); }
    };

    std::ostream& operator<<(std::ostream& stream, const QueueOutcome& outcome)
    {
        return stream << outcome.jobs << " jobs, " << outcome.onTime << " on time, " << outcome.inLateLimit << " in the late limit";
    }

    // QueueSharesPlay has 64 cores in four workers. The steady queue demands about a fifth of them, and the burst one and a half times
    // all of them for ten seconds. Three of a hundred tasks run for seven times their estimate.
    struct QueueSharesPlay : SchedulerFixture {
        RandomChoices arrivals;
        RandomChoices durations;
        std::map<std::string, std::string> queueOf; // by job

        void play(std::uint64_t seed, bool sharesCapacity)
        {
            this->arrivals.seed(seed);
            this->durations.seed(seed);
            this->dispatcherOptions.sharesCapacity = sharesCapacity;
            this->addQueue(steadyQueue, 0);
            this->addQueue(burstQueue, 0);
            for (const char* worker : { "w1", "w2", "w3", "w4" })
                this->addWorker(worker, 16);
            this->chooseTaskDuration = [this](const TaskRunId&) { return this->durations.below(100) < 3 ? Duration(std::chrono::seconds(7)) : this->durations.duration(600, 1400); };
            this->run({ "a" }, std::chrono::seconds(3));
            for (const Instant end = this->now + burstTime; this->now < end;) {
                this->arrive(steadyQueue, 16); // 4 core seconds every 320 ms
                this->arrive(burstQueue, 2); // and every 40 ms
                this->run({ "a" }, tickInterval);
            }
            this->run({ "a" }, drainTime);
        }

        // arrive() submits a job once in `oneIn` calls on average.
        void arrive(const std::string& queue, std::uint64_t oneIn)
        {
            if (!this->arrivals.chance(oneIn))
                return;
            const std::string number = std::to_string(this->queueOf.size());
            const std::string id = std::string(16 - number.size(), '0') + number;
            REQUIRE(this->submitTo(queue, "a", id, { stepOfTasks(2, 2) }) == ReplyStatus::Accepted);
            this->queueOf[id] = queue;
        }

        // countDelays() is the number of log lines that say that the queue waits for others.
        std::size_t countDelays(const std::string& queue) const
        {
            return static_cast<std::size_t>(std::count_if(this->log.begin(), this->log.end(), [&](const LogDecision& line) { return line.event == DecisionEvent::QueueDelayed && line.subject == queue; }));
        }

        QueueOutcome outcomeOf(const std::string& queue) const
        {
            const QueueRule rule = this->configuration.queues.front(); // all have the same objective
            const std::int64_t objective = toMilliseconds(stepOfTasks(2, 2).estimate) * static_cast<std::int64_t>(rule.slackFactor) + toMilliseconds(rule.targetLatency);
            QueueOutcome outcome;
            for (const auto& [job, name] : this->queueOf)
                outcome.jobs += name == queue ? 1 : 0;
            for (const LogDecision& line : this->log) {
                if (line.event != DecisionEvent::JobCompleted || this->queueOf.at(line.subject) != queue)
                    continue;
                outcome.onTime += line.ageMilliseconds <= objective ? 1 : 0;
                outcome.inLateLimit += line.ageMilliseconds > objective && line.ageMilliseconds <= 3 * objective ? 1 : 0;
            }
            return outcome;
        }
    };

} // namespace

// The steady queue demands less than its share, which is half. Of its jobs, one in seventeen has a task that exceeds the objective.
TEST_CASE("QueueShares_burstBesideSteadyQueue_steadyCallersAreServedInTime")
{
    const std::uint64_t seed = GENERATE(range(std::uint64_t { 1 }, std::uint64_t { 11 }));
    QueueSharesPlay shared;
    shared.play(seed, true);
    QueueSharesPlay unshared;
    unshared.play(seed, false);
    const QueueOutcome steady = shared.outcomeOf(steadyQueue);
    const QueueOutcome steadyBefore = unshared.outcomeOf(steadyQueue);
    const QueueOutcome burst = shared.outcomeOf(burstQueue);
    const QueueOutcome burstBefore = unshared.outcomeOf(burstQueue);
    CAPTURE(seed, steady, steadyBefore, burst, burstBefore);
    REQUIRE(steady.jobs == steadyBefore.jobs);
    CHECK(steady.onTimeShare() >= 0.75);
    CHECK(steadyBefore.onTimeShare() < 0.5);
    CHECK(steady.onTime + burst.onTime >= steadyBefore.onTime + burstBefore.onTime);
    CHECK(burst.onTime + burst.inLateLimit > burst.jobs / 4); // it still gets what the other leaves
    CHECK(shared.countDelays(burstQueue) > 0);
    CHECK(unshared.countDelays(burstQueue) == 0);
}

} // namespace dragonflytray
