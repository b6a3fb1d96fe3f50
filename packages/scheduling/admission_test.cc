// Only jobs that can't succeed are refused, by every host that knows the leader's forecast, and nothing is refused without one.

#include "scheduling/scheduler_fixture.h"
#include "scheduling/simulation/random_choices.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    const std::string urgentQueue = "quick"; // of priority 0
    const std::string bulkQueue = "bulk";
    const std::string bulkJob = "00000000000000b1";
    constexpr Duration tickInterval = std::chrono::milliseconds(20);
    constexpr Duration takeoverTime = std::chrono::seconds(3);

    StepDefinition stepOfEstimate(std::uint32_t count, std::int64_t cores, Duration estimate)
    {
        StepDefinition step = stepOfTasks(count, cores);
        step.estimate = estimate;
        return step;
    }

    // AdmissionFixture has host "a" as the leader of one worker with 16 cores, and "b" beside it. Bulk jobs have an objective of three
    // seconds and a late limit of nine.
    struct AdmissionFixture : SchedulerFixture {
        AdmissionFixture()
        {
            this->dispatcherOptions.publishesForecast = true;
            this->refusesHopeless = true;
            this->addQueue(bulkQueue, 1);
        }

        void lead()
        {
            this->addWorker("w1", 16);
            this->run({ "a" }, takeoverTime);
        }

        // submitUrgentWork() submits jobs that take 160 s together in the best case, and whose objective ends after 41 s.
        void submitUrgentWork()
        {
            this->taskDuration = std::chrono::seconds(20);
            for (const char* job : { "00000000000000a1", "00000000000000a2", "00000000000000a3", "00000000000000a4" })
                REQUIRE(this->submitTo(urgentQueue, "a", job, { stepOfEstimate(16, 4, std::chrono::seconds(20)) }) == ReplyStatus::Accepted);
            this->run({ "a", "b" }, std::chrono::seconds(1));
        }

        ReplyStatus submitBulk(const std::string& host, const std::string& id = bulkJob) { return this->submitTo(bulkQueue, host, id, { stepOfTasks(1, 4) }); }

        const CellLease& lease() const { return std::get<CellLease>(*this->store.find({ StoredRowKind::CellLease, "whole" })->value); }

        std::size_t countLines(DecisionEvent event) const
        {
            return static_cast<std::size_t>(std::count_if(this->log.begin(), this->log.end(), [event](const LogDecision& line) { return line.event == event; }));
        }
    };

} // namespace

TEST_CASE_METHOD(AdmissionFixture, "Admission_urgentWorkOutlastsLateLimit_everyHostRefusesWithTimeOfAcceptance")
{
    this->lead();
    this->submitUrgentWork();
    for (const char* host : { "a", "b" }) {
        CHECK(this->submitBulk(host) == ReplyStatus::Refused);
        REQUIRE(this->replies.size() == 1);
        CHECK(this->replies.back().reason == ReplyReason::Hopeless);
        CHECK(this->replies.back().retryAfter == std::chrono::seconds(32)); // the work precedes for 40 s yet
    }
    CHECK(this->countLines(DecisionEvent::JobHopeless) == 2);
    CHECK(this->countLines(DecisionEvent::JobRefused) == 2);
    CHECK(this->store.find({ StoredRowKind::Definition, bulkJob }) == nullptr);
    CHECK(this->submitTo(urgentQueue, "b", "00000000000000a5", { stepOfTasks(1, 4) }) == ReplyStatus::Accepted);
    this->run({ "a", "b" }, std::chrono::seconds(32));
    CHECK(this->submitBulk("b") == ReplyStatus::Accepted);
}

// A job that is stored must never be reported as not stored.
TEST_CASE_METHOD(AdmissionFixture, "Admission_hopelessJobIsStoredAlready_isAccepted")
{
    this->lead();
    REQUIRE(this->submitBulk("a") == ReplyStatus::Accepted);
    this->chooseWriteFault = [](const std::string&, const WriteStoredRows& write) {
        const bool isUnclear = write.puts.size() == 1 && write.puts.front().key == StoredRowKey { StoredRowKind::Definition, "00000000000000b2" };
        return WriteFault { .effectDelay = isUnclear ? Duration(std::chrono::seconds(8)) : Duration(0) };
    };
    CHECK(this->submitBulk("a", "00000000000000b2") == ReplyStatus::Unclear); // no answer yet
    this->submitUrgentWork();
    CHECK(this->submitBulk("a") == ReplyStatus::Accepted);
    CHECK(this->submitBulk("a", "00000000000000b2") == ReplyStatus::Unclear);
    CHECK(this->submitBulk("a", "00000000000000b3") == ReplyStatus::Refused);
}

TEST_CASE_METHOD(AdmissionFixture, "Admission_nextLeaderDoesNotKnowWorkersYet_isAccepted")
{
    this->lead();
    this->submitUrgentWork();
    this->unresponsive.insert(WorkerId("w1"));
    this->run({ "b" }, takeoverTime);
    REQUIRE(this->leader() == "b");
    CHECK_FALSE(this->lease().forecast);
    CHECK(this->submitBulk("b") == ReplyStatus::Accepted);
}

TEST_CASE_METHOD(AdmissionFixture, "Admission_off_leaseHasNoForecastAndHopelessJobIsAccepted")
{
    this->dispatcherOptions.publishesForecast = false;
    this->refusesHopeless = false;
    this->lead();
    this->submitUrgentWork();
    CHECK_FALSE(this->lease().forecast);
    CHECK(this->submitBulk("b") == ReplyStatus::Accepted);
}

namespace {

    // AdmissionPlay plays random jobs of both queues, which a seed determines. Tasks take from half to twice their estimate.
    struct AdmissionPlay : AdmissionFixture {
        RandomChoices arrivals;
        RandomChoices durations;
        std::optional<std::string> firstRefused; // bulk job
        std::map<std::string, Duration> lateLimits; // of bulk jobs

        void play(std::uint64_t seed, bool refuses)
        {
            this->arrivals.seed(seed);
            this->durations.seed(seed);
            this->refusesHopeless = refuses;
            this->chooseTaskDuration = [this](const TaskRunId& run) { return this->stepOf(run).estimate * static_cast<std::int64_t>(50 + this->durations.below(151)) / 100; };
            this->lead();
            for (const Instant end = this->now + std::chrono::seconds(30); this->now < end;) {
                this->submitRandomJobs();
                this->run({ "a", "b" }, tickInterval);
            }
            this->run({ "a", "b" }, std::chrono::seconds(60));
        }

        void submitRandomJobs()
        {
            const std::string number = std::to_string(this->lateLimits.size());
            const auto cores = static_cast<std::int64_t>(1 + this->arrivals.below(4));
            const auto tasks = static_cast<std::uint32_t>(1 + this->arrivals.below(20));
            const Duration urgentEstimate = this->arrivals.duration(500, 8000);
            const Duration bulkEstimate = this->arrivals.duration(300, 1500);
            if (this->arrivals.chance(50))
                (void)this->submitTo(urgentQueue, "a", std::string(16 - number.size(), 'a') + number, { stepOfEstimate(tasks, cores, urgentEstimate) });
            if (!this->arrivals.chance(25))
                return;
            const std::string id = std::string(16 - number.size(), 'b') + number;
            this->lateLimits[id] = 3 * (2 * bulkEstimate + std::chrono::seconds(1));
            const ReplyStatus status = this->submitTo(bulkQueue, "b", id, { stepOfEstimate(1, cores, bulkEstimate) });
            if (status == ReplyStatus::Refused && !this->firstRefused)
                this->firstRefused = id;
        }

        bool isCompletedInLateLimit(const std::string& id) const
        {
            return std::any_of(this->log.begin(), this->log.end(), [&](const LogDecision& line) { return line.event == DecisionEvent::JobCompleted && line.subject == id && line.ageMilliseconds <= toMilliseconds(this->lateLimits.at(id)); });
        }
    };

} // namespace

// Up to its first refusal, a play equals the one without refusals, where that job is accepted.
TEST_CASE("Admission_randomLoad_jobThatIsRefusedFirstWouldHaveMissedItsLateLimit")
{
    std::size_t refusals = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        AdmissionPlay refusing;
        refusing.play(seed, true);
        if (!refusing.firstRefused)
            continue;
        ++refusals;
        AdmissionPlay accepting;
        accepting.play(seed, false);
        CAPTURE(seed, *refusing.firstRefused);
        CHECK_FALSE(accepting.isCompletedInLateLimit(*refusing.firstRefused));
    }
    CAPTURE(refusals);
    CHECK(refusals >= 5); // or the test shows nothing
}

} // namespace dragonflytray
