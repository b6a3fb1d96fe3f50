// A submission whose write has no answer is told as unclear although it could be settled in time, or is refused although it is stored
// later, or the callers that an outage has held up overload the store when it answers again.

#include "scheduling/scheduler_fixture.h"
#include "scheduling/simulation/random_choices.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr Duration never = std::chrono::hours(2); // delay of a write that has no effect
    constexpr Duration step = milliseconds(20); // of the fixture

    // SubmissionRetryFixture has the hosts "a" and "b" with advice, one worker, and two queues. "a" leads.
    class SubmissionRetryFixture : protected SchedulerFixture {
    protected:
        SubmissionRetryFixture()
        {
            this->clientRequestsOptions.longestRetryAfter = seconds(8);
            this->configuration.queues.push_back(this->configuration.queues.front());
            this->configuration.queues.back().pathPrefix = "/slow/";
            this->configuration.queues.back().priority = 2;
            this->addWorker("w1", 320);
            this->run({ "a", "b" }, seconds(3));
            this->chooseWriteFault = [this](const std::string& host, const WriteStoredRows& write) { return this->faultOf(host, write); };
        }

        static std::string jobName(std::uint64_t number)
        {
            const std::string digits = std::to_string(number);
            return std::string(16 - digits.size(), '0') + digits;
        }

        // submit() sends a submission and returns its token. The job's spec is the token.
        ReplyToken submit(const std::string& host, std::uint64_t job, const std::string& prefix = "/q/", Duration timeAllowed = Duration(0))
        {
            const ReplyToken token { ++this->lastToken };
            SubmitJobSteps call { .token = token, .host = "desk.example", .path = prefix + jobName(job), .job = {}, .timeAllowed = timeAllowed };
            call.job.spec = std::to_string(this->lastToken);
            call.job.steps = { stepOfTasks(1, 1) };
            this->send(host, call);
            return token;
        }

        ReplyToken cancel(const std::string& host, std::uint64_t job)
        {
            const ReplyToken token { ++this->lastToken };
            this->send(host, RequestCancellation { token, "desk.example", "/q/" + jobName(job) });
            return token;
        }

        // silence() lets the store neither answer the feed of a host nor take its writes, and has the host notice the former.
        void silence(const std::string& host, bool isSilent)
        {
            this->silent[host] = isSilent;
            this->feedLag[host] = isSilent ? never : Duration(0);
            this->send(host, StoreContact { !isSilent });
        }

        const ReplyToClient* replyTo(ReplyToken token) const
        {
            const auto found = std::find_if(this->replies.begin(), this->replies.end(), [token](const ReplyToClient& reply) { return reply.token == token; });
            return found == this->replies.end() ? nullptr : &*found;
        }

        ReplyStatus statusOf(ReplyToken token) const
        {
            const ReplyToClient* reply = this->replyTo(token);
            REQUIRE(reply != nullptr);
            return reply->status;
        }

        void runBoth(Duration time) { this->run({ "a", "b" }, time); }

        RetrySummary retriesOf(const std::string& host) { return *std::get<SchedulerSummary>(this->host(host).ask(SchedulerSummaryQuery {}, this->now)).retries; }

        WriteFault faultOf(const std::string& host, const WriteStoredRows& write)
        {
            if (write.puts.empty() || write.puts.front().key.kind != StoredRowKind::Definition)
                return {};
            this->written.push_back(write.puts.front().key.name);
            if (this->silent[host])
                return { .effectDelay = never };
            return std::exchange(this->nextFault, {});
        }

        WriteFault nextFault; // of the next write of a submission
        std::map<std::string, bool> silent; // by host
        std::vector<std::string> written; // jobs of all writes of submissions
        std::uint64_t lastToken { 0 };
    };

} // namespace

TEST_CASE_METHOD(SubmissionRetryFixture, "UnclearWrite_itTookEffect_nextTryAcceptsTheJob")
{
    this->nextFault = { .isAnswerLost = true };
    this->feedLag["b"] = never; // the feed does not show it first
    const ReplyToken token = this->submit("b", 1);
    this->runBoth(milliseconds(1400));
    CHECK(this->statusOf(token) == ReplyStatus::Accepted);
    CHECK(this->retriesOf("b").repeatResults[TransactionStatus::Conflict] == 1);
}

TEST_CASE_METHOD(SubmissionRetryFixture, "UnclearWrite_feedShowsTheJob_isAcceptedWithoutAnotherWrite")
{
    this->nextFault = { .effectDelay = milliseconds(1050) };
    const ReplyToken token = this->submit("b", 1);
    this->runBoth(milliseconds(1080));
    CHECK(this->statusOf(token) == ReplyStatus::Accepted);
    CHECK(this->written.size() == 1);
}

TEST_CASE_METHOD(SubmissionRetryFixture, "UnclearWrite_itTakesEffectAfterTheNextTry_jobIsStoredOnce")
{
    this->nextFault = { .effectDelay = seconds(2) };
    const ReplyToken token = this->submit("b", 1);
    this->runBoth(milliseconds(1400));
    CHECK(this->statusOf(token) == ReplyStatus::Accepted);
    CHECK(this->retriesOf("b").repeatResults[TransactionStatus::Committed] == 1);
    const RowVersion version = this->store.find({ StoredRowKind::Definition, jobName(1) })->version;
    this->runBoth(seconds(3));
    CHECK(this->store.find({ StoredRowKind::Definition, jobName(1) })->version == version);
}

TEST_CASE_METHOD(SubmissionRetryFixture, "UnclearWrite_callerWaitsNoLonger_isToldInTimeAndNothingIsWrittenForIt")
{
    this->nextFault = { .effectDelay = never };
    const ReplyToken token = this->submit("b", 1, "/q/", milliseconds(800));
    this->runBoth(milliseconds(780));
    CHECK(this->statusOf(token) == ReplyStatus::Unclear);
    this->runBoth(seconds(3));
    CHECK(this->written.size() == 1);
    CHECK(this->replies.size() == 1);
}

TEST_CASE_METHOD(SubmissionRetryFixture, "UnclearWrite_storeIsSilent_isTriedAgainWhenItAnswers")
{
    this->silent["b"] = true;
    const ReplyToken token = this->submit("b", 1);
    this->runBoth(milliseconds(980));
    this->silence("b", true);
    this->runBoth(milliseconds(600));
    CHECK(this->written.size() == 1);
    CHECK(this->replyTo(token) == nullptr);
    CHECK(this->retriesOf("b").heldSubmissions == 1);
    this->silence("b", false);
    this->runBoth(step);
    CHECK(this->statusOf(token) == ReplyStatus::Accepted);
}

TEST_CASE_METHOD(SubmissionRetryFixture, "UnclearWrite_outageIsExpectedToOutlastItsCaller_isAnsweredAtOnce")
{
    this->silence("b", true);
    this->runBoth(seconds(5));
    this->silence("b", false);
    this->silent["b"] = true;
    const ReplyToken token = this->submit("b", 1);
    this->runBoth(milliseconds(980));
    this->silence("b", true);
    this->runBoth(2 * step);
    CHECK(this->statusOf(token) == ReplyStatus::Unclear);
    CHECK(this->replyTo(token)->retryAfter == seconds(5));
}

TEST_CASE_METHOD(SubmissionRetryFixture, "Submission_writeOfItsJobIsInFlightWhenTheStoreIsLost_isNotRefused")
{
    this->nextFault = { .effectDelay = seconds(2) };
    (void)this->submit("b", 1);
    this->silence("b", true);
    const ReplyToken token = this->submit("b", 1, "/q/", milliseconds(1500));
    this->runBoth(seconds(2));
    CHECK(this->statusOf(token) == ReplyStatus::Unclear);
}

TEST_CASE_METHOD(SubmissionRetryFixture, "Submission_storeIsLost_isRefusedWithTheExpectedEndOfTheOutage")
{
    this->silence("b", true);
    this->runBoth(seconds(4));
    this->silence("b", false);
    this->silence("b", true);
    this->runBoth(milliseconds(1500));
    const ReplyToken token = this->submit("b", 1);
    CHECK(this->statusOf(token) == ReplyStatus::Refused);
    CHECK(this->replyTo(token)->retryAfter == seconds(3)); // 2.5 s, rounded up
    CHECK(this->retriesOf("b").told[AdviceReason::StoreUnavailable] == 1);
}

// The host can't keep its promises for more jobs than it can remember.
TEST_CASE_METHOD(SubmissionRetryFixture, "Submission_tooManyUnclearJobs_isRefusedAndNotWritten")
{
    this->clientRequestsOptions.maxUnclearJobs = 2;
    this->restartHost("b");
    this->runBoth(step);
    this->silent["b"] = true;
    (void)this->submit("b", 1);
    (void)this->submit("b", 2);
    this->runBoth(seconds(4));
    this->silent["b"] = false;
    const std::size_t writes = this->written.size();
    CHECK(this->statusOf(this->submit("b", 3)) == ReplyStatus::Refused);
    CHECK(this->written.size() == writes);
    CHECK(this->statusOf(this->submit("b", 1)) == ReplyStatus::Accepted);
    CHECK(this->statusOf(this->submit("b", 3)) == ReplyStatus::Accepted);
}

TEST_CASE_METHOD(SubmissionRetryFixture, "HeldSubmissions_storeAnswersAgain_urgentAndSoonestComeFirstAndFewAtATime")
{
    this->silent["b"] = true;
    for (std::uint64_t job = 0; job < 20; ++job)
        (void)this->submit("b", job, job % 2 == 0 ? "/slow/" : "/q/", seconds(4) - milliseconds(job * 10));
    this->runBoth(milliseconds(980));
    this->silence("b", true);
    this->runBoth(milliseconds(300));
    this->written.clear();
    this->silent["b"] = false;
    this->nextFault = { .answerDelay = milliseconds(200) };
    this->chooseWriteFault = [this](const std::string& host, const WriteStoredRows& write) -> WriteFault {
        const WriteFault fault = this->faultOf(host, write);
        return write.puts.empty() || write.puts.front().key.kind != StoredRowKind::Definition ? fault : WriteFault { .answerDelay = milliseconds(200) };
    };
    this->send("b", StoreContact { true });
    REQUIRE(this->written.size() == ClientRequests::Options {}.maxRepeatsInFlight);
    CHECK(this->written.front() == jobName(19));
    CHECK(std::is_sorted(this->written.rbegin(), this->written.rend()));
    this->runBoth(milliseconds(900));
    REQUIRE(this->written.size() == 20);
    const auto isUrgent = [](const std::string& job) { return (job.back() - '0') % 2 == 1; };
    CHECK(std::is_partitioned(this->written.begin(), this->written.end(), isUrgent));
    CHECK(std::all_of(this->replies.begin(), this->replies.end(), [](const ReplyToClient& reply) { return reply.status == ReplyStatus::Accepted; }));
}

namespace {

    // RetryPlay plays submissions, cancellations, outages and late writes that a seed determines, and checks every answer.
    class RetryPlay : SubmissionRetryFixture {
    public:
        explicit RetryPlay(std::uint64_t seed)
            : random(seed)
        {
            this->chooseWriteFault = [this](const std::string& host, const WriteStoredRows& write) { return this->randomFault(host, write); };
        }

        void play()
        {
            for (int turn = 0; turn < turns; ++turn) {
                this->act();
                this->check();
                this->advance(this->random.duration(0, 300));
            }
            for (const char* host : { "a", "b" })
                this->connect(host);
            this->advance(seconds(15)); // every late write has taken effect
            CHECK(this->calls.empty());
            for (std::uint64_t job = 0; job < jobs; ++job)
                this->checkRefusals(job);
        }

        std::array<std::size_t, replyStatusNames.size()> counts {}; // of replies, by status
        std::uint64_t repeats { 0 };

    private:
        static constexpr int turns = 150;
        static constexpr std::uint64_t jobs = 8;

        struct Call {
            std::string host;
            std::uint64_t job { 0 };
            bool isSubmission { false };
            Instant answerBy;
        };
        struct Refusal {
            std::string host;
            std::size_t reply { 0 }; // index
        };
        // SentJob is a definition that a host has written.
        struct SentJob {
            std::string host;
            std::size_t nextReply { 0 }; // index of the first reply after the first write
        };

        void advance(Duration time)
        {
            for (const Instant end = this->now + time; this->now < end;) {
                this->runBoth(step);
                this->check();
            }
        }

        void act()
        {
            const std::string host = this->random.chance(2) ? "a" : "b";
            const std::uint64_t job = this->random.below(jobs);
            const Instant sentAt = this->now;
            switch (this->random.below(12)) {
            case 0:
                return this->silence(host, true);
            case 1:
                return this->setStoreContact(host, false);
            case 2: // not noticed yet
                this->isDisconnectedFromStore[host] = true;
                return;
            case 3:
            case 4:
                return this->connect(host);
            case 5: {
                const auto token = static_cast<std::uint64_t>(this->lastToken + 1);
                this->calls.emplace(token, Call { host, job, false, Instant::max() });
                (void)this->cancel(host, job);
                return;
            }
            default: {
                const Duration timeAllowed = this->random.chance(3) ? Duration(0) : this->random.duration(500, this->random.chance(2) ? 1200 : 5000);
                const auto token = static_cast<std::uint64_t>(this->lastToken + 1);
                this->calls.emplace(token, Call { host, job, true, sentAt + (timeAllowed > Duration(0) ? timeAllowed : Duration(seconds(3))) });
                (void)this->submit(host, job, "/q/", timeAllowed);
            }
            }
        }

        void connect(const std::string& host)
        {
            this->isDisconnectedFromStore[host] = false;
            this->silence(host, false);
        }

        WriteFault randomFault(const std::string& host, const WriteStoredRows& write)
        {
            if (write.puts.empty() || (write.puts.front().key.kind != StoredRowKind::Definition && write.puts.front().key.kind != StoredRowKind::Cancellation))
                return {};
            if (const auto* definition = std::get_if<JobDefinition>(&write.puts.front().value))
                this->sentJobs.try_emplace(definition->spec, SentJob { host, this->replies.size() });
            const bool isFaulty = this->silent[host] || this->random.chance(3);
            if (!isFaulty)
                return this->random.chance(2) ? WriteFault {} : WriteFault { .answerDelay = this->random.duration(1, 900) };
            if (this->random.chance(4))
                return { .isAnswerLost = true };
            return { .effectDelay = this->random.chance(3) ? never : this->random.duration(20, 7000) };
        }

        void check()
        {
            for (; this->checked < this->replies.size(); ++this->checked) {
                const ReplyToClient& reply = this->replies[this->checked];
                ++this->counts[indexOf(reply.status)];
                const auto call = this->calls.find(static_cast<std::uint64_t>(reply.token));
                REQUIRE(call != this->calls.end()); // a call is answered once
                CHECK(this->now - step <= call->second.answerBy); // the time advances after each step
                CHECK(reply.retryAfter <= this->clientRequestsOptions.longestRetryAfter);
                if (reply.status == ReplyStatus::Accepted)
                    CHECK(this->store.find({ StoredRowKind::Definition, jobName(call->second.job) }) != nullptr);
                if (reply.status == ReplyStatus::Refused && call->second.isSubmission)
                    this->refusals[call->second.job].push_back({ call->second.host, this->checked });
                if (reply.status == ReplyStatus::NoSuchJob || reply.status == ReplyStatus::Cancelled)
                    this->cancelledAt.try_emplace(jobName(call->second.job), this->now);
                this->calls.erase(call);
            }
            for (; this->checkedRuns < this->begunRuns.size(); ++this->checkedRuns) {
                const auto cancelled = this->cancelledAt.find(this->begunRuns[this->checkedRuns].start.call.run.task.job.value());
                if (cancelled != this->cancelledAt.end())
                    CHECK(this->now <= cancelled->second + cancellationLimit);
            }
            for (const char* host : { "a", "b" })
                CHECK(this->retriesOf(host).heldSubmissions <= jobs);
        }

        // checkRefusals() checks that no host has refused a job after the write that stored it was first sent.
        void checkRefusals(std::uint64_t job)
        {
            const StoredRowChange* row = this->store.find({ StoredRowKind::Definition, jobName(job) });
            if (!row)
                return;
            const SentJob& sent = this->sentJobs.at(std::get<JobDefinition>(*row->value).spec);
            for (const Refusal& refusal : this->refusals[job])
                CHECK_FALSE((refusal.host == sent.host && refusal.reply >= sent.nextReply));
            for (const char* host : { "a", "b" }) {
                for (const std::uint64_t result : this->retriesOf(host).repeatResults)
                    this->repeats += result;
            }
        }

        static constexpr Duration cancellationLimit = seconds(3);

        RandomChoices random;
        std::map<std::uint64_t, Call> calls; // without an answer, by token
        std::map<std::uint64_t, std::vector<Refusal>> refusals; // of submissions, by job
        std::map<std::string, SentJob> sentJobs; // by spec
        std::map<std::string, Instant> cancelledAt; // by job, when first answered
        std::size_t checked { 0 }; // replies
        std::size_t checkedRuns { 0 };
    };

} // namespace

TEST_CASE("Submission_randomOutagesLateWritesAndCancellations_refusedIsNeverStored")
{
    std::array<std::size_t, replyStatusNames.size()> counts {};
    std::uint64_t repeats = 0;
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        CAPTURE(seed);
        RetryPlay play(seed);
        play.play();
        repeats += play.repeats;
        for (std::size_t status = 0; status < counts.size(); ++status)
            counts[status] += play.counts[status];
    }
    // The plays reach what they are meant to check.
    for (const ReplyStatus status : { ReplyStatus::Accepted, ReplyStatus::Refused, ReplyStatus::Unclear, ReplyStatus::NoSuchJob, ReplyStatus::Cancelled })
        CHECK(counts[indexOf(status)] > 100);
    CHECK(repeats > 100);
}

} // namespace dragonflytray
