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
            this->runBoth(seconds(3));
            this->chooseWriteFault = [this](const std::string& host, const WriteStoredRows& write) { return this->faultOf(host, write); };
        }

        static std::string jobName(std::uint64_t number) { return std::to_string(1'000'000'000'000'000 + number); }

        // submit() sends a submission and returns its token, which is the job's spec too.
        ReplyToken submit(const std::string& host, std::uint64_t job, const std::string& prefix = "/q/", Duration timeAllowed = Duration(0))
        {
            SubmitJobSteps call { .token = ReplyToken { ++this->lastToken }, .host = "desk.example", .path = prefix + jobName(job), .job = {}, .timeAllowed = timeAllowed };
            call.job.spec = std::to_string(this->lastToken);
            call.job.steps = { stepOfTasks(1, 1) };
            this->send(host, call);
            return call.token;
        }

        // silence() lets the store neither answer the feed of a host nor take its writes, and has the host notice the former.
        void silence(const std::string& host, bool isSilent)
        {
            this->silent[host] = isSilent;
            this->feedLag[host] = isSilent ? never : Duration(0);
            this->send(host, StoreContact { !isSilent });
        }

        void passOutage(Duration time)
        {
            this->silence("b", true);
            this->runBoth(time);
            this->silence("b", false);
        }

        // replyTo() returns the only reply to a call, or one without a token if there is none.
        ReplyToClient replyTo(ReplyToken token) const
        {
            const auto found = std::find_if(this->replies.begin(), this->replies.end(), [token](const ReplyToClient& reply) { return reply.token == token; });
            return found == this->replies.end() ? ReplyToClient {} : *found;
        }

        void runBoth(Duration time) { this->run({ "a", "b" }, time); }

        WriteFault faultOf(const std::string& host, const WriteStoredRows& write)
        {
            if (write.puts.empty() || write.puts.front().key.kind != StoredRowKind::Definition)
                return {};
            this->written.push_back(write.puts.front().key.name);
            return this->silent[host] ? WriteFault { .effectDelay = never } : std::exchange(this->nextFault, { .answerDelay = this->answerDelay });
        }

        WriteFault nextFault; // of the next write of a submission
        Duration answerDelay { 0 }; // of those after it
        std::map<std::string, bool> silent; // by host
        std::vector<std::string> written; // jobs of all writes of submissions
        std::uint64_t lastToken { 0 };
    };

} // namespace

TEST_CASE_METHOD(SubmissionRetryFixture, "UnclearWrite_storeAnswers_nextTrySettlesIt")
{
    this->feedLag["b"] = never; // the feed does not show the jobs first
    this->nextFault = { .isAnswerLost = true };
    const ReplyToken stored = this->submit("b", 1);
    this->nextFault = { .effectDelay = seconds(2) };
    const ReplyToken late = this->submit("b", 2);
    this->runBoth(milliseconds(1400));
    CHECK(this->replyTo(stored).status == ReplyStatus::Accepted);
    CHECK(this->replyTo(late).status == ReplyStatus::Accepted);
    const RetrySummary retries = std::get<SchedulerSummary>(this->host("b").ask(SchedulerSummaryQuery {}, this->now)).retries.value();
    CHECK((retries.repeatResults[TransactionStatus::Conflict] == 1 && retries.repeatResults[TransactionStatus::Committed] == 1));
}

TEST_CASE_METHOD(SubmissionRetryFixture, "UnclearWrite_storeIsSilent_isTriedAgainWhenItAnswers")
{
    this->silent["b"] = true;
    const ReplyToken token = this->submit("b", 1);
    this->runBoth(milliseconds(980));
    this->passOutage(milliseconds(600));
    CHECK(this->written.size() == 2);
    CHECK(this->replyTo(token).status == ReplyStatus::Accepted);
}

TEST_CASE_METHOD(SubmissionRetryFixture, "UnclearWrite_outageIsExpectedToOutlastItsCaller_isAnsweredAtOnceWithTheExpectedEnd")
{
    this->passOutage(seconds(5));
    this->silent["b"] = true;
    const ReplyToken token = this->submit("b", 1);
    this->runBoth(milliseconds(980));
    this->silence("b", true);
    this->runBoth(2 * step);
    CHECK(this->replyTo(token).status == ReplyStatus::Unclear);
    CHECK(this->replyTo(token).retryAfter == seconds(5));
    this->runBoth(milliseconds(1500));
    CHECK(this->replyTo(this->submit("b", 2)).retryAfter == seconds(4)); // 3.46 s, rounded up; never written, thus refused
    CHECK(this->replies.back().status == ReplyStatus::Refused);
}

// The host can't keep its promises for more jobs than it can remember.
TEST_CASE_METHOD(SubmissionRetryFixture, "Submission_tooManyUnclearJobs_isRefusedAndNotWritten")
{
    this->clientRequestsOptions.maxUnclearJobs = 1;
    this->restartHost("b");
    this->runBoth(step);
    this->silent["b"] = true;
    (void)this->submit("b", 1);
    this->runBoth(seconds(4));
    this->silent["b"] = false;
    const std::size_t writes = this->written.size();
    CHECK(this->replyTo(this->submit("b", 2)).reason == ReplyReason::TooManyPending);
    CHECK(this->written.size() == writes);
    CHECK(this->replyTo(this->submit("b", 1)).status == ReplyStatus::Accepted);
    CHECK(this->replyTo(this->submit("b", 2)).status == ReplyStatus::Accepted);
}

TEST_CASE_METHOD(SubmissionRetryFixture, "HeldSubmissions_storeAnswersAgain_urgentAndSoonestComeFirstAndFewAtATime")
{
    this->silent["b"] = true;
    for (std::uint64_t job = 0; job < 20; ++job)
        (void)this->submit("b", job, job < 10 ? "/slow/" : "/q/", seconds(4) - milliseconds(job * 10));
    this->runBoth(milliseconds(980));
    this->written.clear();
    this->answerDelay = milliseconds(200);
    this->nextFault = { .answerDelay = milliseconds(200) };
    this->passOutage(milliseconds(300));
    CHECK(this->written.size() == ClientRequests::Options {}.maxRepeatsInFlight);
    this->runBoth(milliseconds(900));
    REQUIRE(this->written.size() == 20);
    CHECK(std::is_sorted(this->written.rbegin(), this->written.rend()));
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
            for (int turn = 0; turn < 150; ++turn) {
                this->act(this->random.chance(2) ? "a" : "b");
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

    private:
        static constexpr std::uint64_t jobs = 8;

        struct Call {
            std::string host;
            std::uint64_t job { 0 };
            Instant answerBy;
            bool isSubmission { false };
        };
        using Mark = std::pair<std::string, std::size_t>; // a host, and the index of a refusal or of the first reply after a write

        void act(const std::string& host)
        {
            const std::uint64_t action = this->random.below(12);
            const std::uint64_t job = this->random.below(jobs);
            if (action == 0)
                return this->silence(host, true);
            if (action == 1)
                return this->setStoreContact(host, false);
            if (action < 5)
                return action == 2 ? void(this->isDisconnectedFromStore[host] = true) : this->connect(host); // the former is not noticed yet
            const Duration timeAllowed = this->random.duration(500, this->random.chance(2) ? 1200 : 5000);
            this->calls[this->lastToken + 1] = { host, job, action == 5 ? Instant::max() : this->now + timeAllowed, action != 5 };
            if (action == 5)
                return this->send(host, RequestCancellation { ReplyToken { ++this->lastToken }, "desk.example", "/q/" + jobName(job) });
            (void)this->submit(host, job, "/q/", timeAllowed);
        }

        void advance(Duration time)
        {
            for (const Instant end = this->now + time; this->now < end;) {
                this->check();
                this->runBoth(step);
            }
            this->check();
        }

        void connect(const std::string& host)
        {
            this->isDisconnectedFromStore[host] = false;
            this->silence(host, false);
        }

        WriteFault randomFault(const std::string& host, const WriteStoredRows& write)
        {
            const auto* definition = write.puts.empty() ? nullptr : std::get_if<JobDefinition>(&write.puts.front().value);
            if (definition)
                this->firstWrites.try_emplace(definition->spec, Mark { host, this->replies.size() });
            else if (write.puts.empty() || !std::holds_alternative<CancellationRequest>(write.puts.front().value))
                return {};
            if (!this->silent[host] && !this->random.chance(3))
                return { .answerDelay = this->random.chance(2) ? Duration(0) : this->random.duration(1, 900) };
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
                    this->refusals[call->second.job].emplace_back(call->second.host, this->checked);
                if (reply.status == ReplyStatus::NoSuchJob || reply.status == ReplyStatus::Cancelled)
                    this->cancelledAt.try_emplace(jobName(call->second.job), this->now);
                this->calls.erase(call);
            }
            for (; this->checkedRuns < this->begunRuns.size(); ++this->checkedRuns) {
                const auto cancelled = this->cancelledAt.find(this->begunRuns[this->checkedRuns].start.call.run.task.job.value());
                CHECK((cancelled == this->cancelledAt.end() || this->now <= cancelled->second + seconds(3))); // the limit of a cancellation
            }
        }

        // checkRefusals() checks that no host has refused a job after it has sent the write that stored it.
        void checkRefusals(std::uint64_t job)
        {
            const StoredRowChange* row = this->store.find({ StoredRowKind::Definition, jobName(job) });
            if (!row)
                return;
            const Mark& written = this->firstWrites.at(std::get<JobDefinition>(*row->value).spec);
            for (const Mark& refusal : this->refusals[job])
                CHECK_FALSE((refusal.first == written.first && refusal.second >= written.second));
        }

        RandomChoices random;
        std::map<std::uint64_t, Call> calls; // without an answer, by token
        std::map<std::uint64_t, std::vector<Mark>> refusals; // of submissions, by job
        std::map<std::string, Mark> firstWrites; // by spec
        std::map<std::string, Instant> cancelledAt; // by job, when first answered
        std::size_t checked { 0 }; // replies
        std::size_t checkedRuns { 0 };
    };

} // namespace

TEST_CASE("Submission_randomOutagesLateWritesAndCancellations_refusedIsNeverStored")
{
    std::array<std::size_t, replyStatusNames.size()> counts {};
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        CAPTURE(seed);
        RetryPlay play(seed);
        play.play();
        std::transform(counts.begin(), counts.end(), play.counts.begin(), counts.begin(), std::plus<>());
    }
    // The plays reach what they are meant to check.
    for (const ReplyStatus status : { ReplyStatus::Accepted, ReplyStatus::Refused, ReplyStatus::Unclear, ReplyStatus::NoSuchJob, ReplyStatus::Cancelled })
        CHECK(counts[indexOf(status)] > 100);
}

} // namespace dragonflytray
