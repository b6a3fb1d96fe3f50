#include "batch/batch.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    // The entry host e1 leads dc1, which has the worker w1. The data centre dc2 has the entry host e2 and the worker w2.
    struct BatchEvacuationFixture {
        Batch batch { { .self = HostName("e1"), .dataCentre = DataCentreName("dc1") } };
        Instant now { std::chrono::seconds(100) };
        RowVersion revision { 0 };
        ConfigurationVersion version { 0 };
        std::vector<Host> hosts { this->makeHost("w1", HostKind::Worker, "dc1"), this->makeHost("w2", HostKind::Worker, "dc2"), this->makeHost("e2", HostKind::EntryHost, "dc2") };

        BatchEvacuationFixture()
        {
            this->evacuate({});
            this->batch.handle(ChangeHosts { this->hosts }, this->now);
            this->tick();
            this->batch.handle(RowsRead { true, 0, {} }, this->now);
            this->commit(this->tick());
            this->commit(this->tick());
        }

        static Host makeHost(const char* name, HostKind kind, const char* dataCentre)
        {
            Host host;
            host.name = HostName(name);
            host.kind = kind;
            host.dataCentre = DataCentreName(dataCentre);
            host.capacity = { 8, 16, 0 };
            return host;
        }

        void evacuate(const std::vector<DataCentreName>& dataCentres)
        {
            Declaration declaration;
            declaration.teams = { { .name = TeamName("desk") } };
            declaration.batchClasses = { { .name = BatchClassName("pack"), .need = { 4, 8, 0 } } };
            declaration.evacuatedDataCentres = dataCentres;
            this->batch.handle(ChangeConfiguration { { ++this->version, std::make_shared<Declaration>(declaration) } }, this->now);
        }

        BatchEffects tick() { return this->batch.handle(BatchTick {}, this->now); }

        void commit(const BatchEffects& effects)
        {
            for (const BatchEffect& effect : effects) {
                if (const auto* write = std::get_if<WriteTransaction>(&effect))
                    this->batch.handle(TransactionResult { write->transaction.id, TransactionStatus::Committed, ++this->revision, {} }, this->now);
                else if (std::holds_alternative<ReadRows>(effect))
                    this->batch.handle(RowsRead { true, this->revision, {} }, this->now);
            }
        }

        void submit()
        {
            Job job;
            job.id = JobId("j1");
            job.team = TeamName("desk");
            job.batchClass = BatchClassName("pack");
            this->commit(this->batch.handle(SubmitJob { ReplyToken(1), job }, this->now));
        }

        // startOnWorker() submits the job and has it started on w1.
        void startOnWorker()
        {
            this->submit();
            this->commit(this->tick());
            REQUIRE(this->countStarts(this->tick()) == 1);
        }

        void report(TaskPhase phase)
        {
            this->commit(this->batch.handle(WorkerReported { HostName("w1"), 1, { { JobId("j1"), 1, phase, "", "", {} } } }, this->now));
        }

        // advance() runs and commits ticks until no further transaction can be due, and returns the starts sent.
        std::size_t advance()
        {
            std::size_t starts = 0;
            for (int i = 0; i < 20; ++i) {
                this->now += std::chrono::milliseconds(100);
                const BatchEffects effects = this->tick();
                starts += this->countStarts(effects);
                this->commit(effects);
            }
            return starts;
        }

        std::size_t countStarts(const BatchEffects& effects) const
        {
            std::size_t starts = 0;
            for (const BatchEffect& effect : effects) {
                if (const auto* contact = std::get_if<ContactWorker>(&effect))
                    starts += contact->starts.size();
            }
            return starts;
        }

        JobExplanation explain() const { return std::get<JobExplanation>(this->batch.ask(ExplainJobQuery { JobId("j1") }, this->now)); }
        BatchSummary summary() const { return std::get<BatchSummary>(this->batch.ask(BatchSummaryQuery {}, this->now)); }
    };

    // Guards against starts in an evacuated data centre and against jobs that wait there until it is used again.
    TEST_CASE_METHOD(BatchEvacuationFixture, "SubmitJob_dataCentreEvacuated_jobMovesWithoutStart")
    {
        this->evacuate({ DataCentreName("dc1") });
        this->submit();

        CHECK(this->advance() == 0);
        CHECK(this->explain().job->dataCentre == DataCentreName("dc2"));
        CHECK(this->explain().job->state == JobState::Queued);
        CHECK(this->summary().isEvacuated);
        CHECK(this->summary().movedJobs == 1);
    }

    // Guards against an evacuation that stops or moves a running task.
    TEST_CASE_METHOD(BatchEvacuationFixture, "ChangeConfiguration_jobRuns_finishesThere")
    {
        this->startOnWorker();
        this->report(TaskPhase::Running);
        this->evacuate({ DataCentreName("dc1") });

        this->advance();
        this->report(TaskPhase::Finished);

        CHECK(this->explain().job->state == JobState::Finished);
        CHECK(this->explain().job->dataCentre == DataCentreName("dc1"));
    }

    TEST_CASE_METHOD(BatchEvacuationFixture, "WorkerReported_attemptFailsInEvacuatedDataCentre_jobMoves")
    {
        this->startOnWorker();
        this->evacuate({ DataCentreName("dc1") });
        this->report(TaskPhase::Failed);

        CHECK(this->advance() == 0);
        CHECK(this->explain().job->dataCentre == DataCentreName("dc2"));
        CHECK(this->explain().job->failures == 1);
    }

    // Guards against the start of a job that was placed just before the evacuation.
    TEST_CASE_METHOD(BatchEvacuationFixture, "ChangeConfiguration_startNotSentYet_jobMoves")
    {
        this->submit();
        const BatchEffects placement = this->tick();
        this->evacuate({ DataCentreName("dc1") });
        this->commit(placement);
        REQUIRE(this->explain().job->state == JobState::Starting);

        CHECK(this->advance() == 0);
        CHECK(this->explain().job->dataCentre == DataCentreName("dc2"));
        CHECK(this->explain().job->failures == 0);
    }

    // Guards against a second run: the worker may have received the start.
    TEST_CASE_METHOD(BatchEvacuationFixture, "ChangeConfiguration_startMayHaveArrived_jobStays")
    {
        this->startOnWorker();
        this->batch.handle(WorkerUnreachable { HostName("w1"), 1 }, this->now);
        this->evacuate({ DataCentreName("dc1") });

        this->advance();

        CHECK(this->explain().job->state == JobState::Starting);
        CHECK(this->explain().job->dataCentre == DataCentreName("dc1"));
    }

    // Guards against moving a job to where nobody can start it.
    TEST_CASE_METHOD(BatchEvacuationFixture, "SubmitJob_noOtherDataCentre_waitsUntilWithdrawal")
    {
        const bool hasOtherEntryHost = GENERATE(true, false);
        this->hosts[2].state = hasOtherEntryHost ? HostState::Live : HostState::Leaving;
        this->hosts[1].capacity.processors = hasOtherEntryHost ? 3 : 8;
        this->batch.handle(ChangeHosts { this->hosts }, this->now);
        this->evacuate({ DataCentreName("dc1") });
        this->submit();

        CHECK(this->advance() == 0);
        CHECK(this->explain().why.find("evacuated") != std::string::npos);
        this->evacuate({});
        CHECK(this->advance() > 0);
    }

    TEST_CASE_METHOD(BatchEvacuationFixture, "SubmitJob_allDataCentresEvacuated_waits")
    {
        this->evacuate({ DataCentreName("dc1"), DataCentreName("dc2") });
        this->submit();

        CHECK(this->advance() == 0);
        CHECK(this->explain().job->dataCentre == DataCentreName("dc1"));
    }

    TEST_CASE_METHOD(BatchEvacuationFixture, "DataCentreChoice_severalHoldTheJob_takesTheLeastLoaded")
    {
        DataCentreChoice choice;
        choice.changeHosts({ this->makeHost("e2", HostKind::EntryHost, "dc2"), this->makeHost("w2", HostKind::Worker, "dc2"), this->makeHost("e3", HostKind::EntryHost, "dc3"), this->makeHost("w3", HostKind::Worker, "dc3"), this->makeHost("w4", HostKind::Worker, "dc3") });
        const Declaration declaration;

        CHECK(choice.choose({ 4, 8, 0 }, declaration, {}) == DataCentreName("dc2"));
        CHECK(choice.choose({ 4, 8, 0 }, declaration, { { DataCentreName("dc2"), 5 }, { DataCentreName("dc3"), 8 } }) == DataCentreName("dc3"));
        CHECK_FALSE(choice.choose({ 9, 8, 0 }, declaration, {}));
    }

} // namespace
} // namespace dragonflytray
