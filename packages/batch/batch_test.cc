#include "batch/batch.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    // An entry host that has become the leader of a data centre with one worker.
    struct BatchFixture {
        Batch batch { { .self = HostName("e1"), .dataCentre = DataCentreName("dc1") } };
        Instant now { std::chrono::seconds(100) };
        RowVersion revision { 0 };
        ConfigurationVersion version { 0 };

        BatchFixture()
        {
            this->evacuate({});
            this->batch.handle(ChangeHosts { { makeHost("w1", HostKind::Worker, "dc1") } }, this->now);
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

        // commit() answers every transaction and every read in `effects` with success.
        void commit(const BatchEffects& effects)
        {
            for (const BatchEffect& effect : effects) {
                if (const auto* write = std::get_if<WriteTransaction>(&effect))
                    this->batch.handle(TransactionResult { write->transaction.id, TransactionStatus::Committed, ++this->revision, {} }, this->now);
                else if (std::holds_alternative<ReadRows>(effect))
                    this->batch.handle(RowsRead { true, this->revision, {} }, this->now);
            }
        }

        BatchEffects submit(const std::string& id)
        {
            Job job;
            job.id = JobId(id);
            job.team = TeamName("desk");
            job.batchClass = BatchClassName("pack");
            return this->batch.handle(SubmitJob { ReplyToken(1), job }, this->now);
        }

        JobState stateOf(const std::string& id) const
        {
            return std::get<JobExplanation>(this->batch.ask(ExplainJobQuery { JobId(id) }, this->now)).job->state;
        }

        template <typename Effect>
        const Effect* find(const BatchEffects& effects) const
        {
            for (const BatchEffect& effect : effects) {
                if (const auto* found = std::get_if<Effect>(&effect))
                    return found;
            }
            return nullptr;
        }
    };

    TEST_CASE_METHOD(BatchFixture, "SubmitJob_recordedInTable_isPlacedAndStarted")
    {
        this->commit(this->submit("j1"));
        this->commit(this->tick());
        BatchEffects effects = this->tick();

        const auto* contact = this->find<ContactWorker>(effects);
        REQUIRE(contact);
        REQUIRE(contact->starts.size() == 1);
        CHECK(contact->starts[0].attempt == 1);
        CHECK(this->stateOf("j1") == JobState::Starting);
    }

    TEST_CASE_METHOD(BatchFixture, "SubmitJob_unknownTeam_isRefusedByName")
    {
        BatchEffects effects = this->batch.handle(SubmitJob { ReplyToken(1), {} }, this->now);

        REQUIRE(this->find<ReplyToSubmitter>(effects));
        CHECK(this->find<ReplyToSubmitter>(effects)->reason == RefusalReason::UnknownTeam);
    }

    TEST_CASE_METHOD(BatchFixture, "WorkerReported_taskFinished_recordsResult")
    {
        this->commit(this->submit("j1"));
        this->commit(this->tick());
        this->tick();

        this->commit(this->batch.handle(WorkerReported { HostName("w1"), 1, { { JobId("j1"), 1, TaskPhase::Finished, "done", "", {} } } }, this->now));

        CHECK(this->stateOf("j1") == JobState::Finished);
    }

    TEST_CASE_METHOD(BatchFixture, "WorkerReported_usageOverDeclaration_raisesNeedOfClass")
    {
        this->commit(this->submit("j1"));
        this->commit(this->tick());
        this->tick();
        this->commit(this->batch.handle(WorkerReported { HostName("w1"), 1, { { JobId("j1"), 1, TaskPhase::Running, "", "", { 6, 8, 0 } } } }, this->now));
        CHECK(std::get<JobExplanation>(this->batch.ask(ExplainJobQuery { JobId("j1") }, this->now)).job->need == Capacity { 6, 8, 0 });
        this->now += std::chrono::seconds(1);
        this->commit(this->batch.handle(WorkerReported { HostName("w1"), 1, { { JobId("j1"), 1, TaskPhase::Finished, "done", "", {} } } }, this->now));

        this->commit(this->submit("j2"));
        this->commit(this->tick());

        CHECK(std::get<JobExplanation>(this->batch.ask(ExplainJobQuery { JobId("j2") }, this->now)).job->need == Capacity { 6, 8, 0 });
    }

    TEST_CASE_METHOD(BatchFixture, "Tick_leaderLeaseExpired_placesNothing")
    {
        this->commit(this->submit("j1"));
        this->now += std::chrono::seconds(7);

        CHECK_FALSE(this->find<ContactWorker>(this->tick()));
        CHECK(this->stateOf("j1") == JobState::Queued);
    }

    // The data centre dc2 has an entry host and one worker.
    struct EvacuationFixture : BatchFixture {
        DataCentreName own { "dc1" };
        DataCentreName other { "dc2" };
        std::vector<Host> hosts { makeHost("w1", HostKind::Worker, "dc1"), makeHost("w2", HostKind::Worker, "dc2"), makeHost("e2", HostKind::EntryHost, "dc2") };

        EvacuationFixture() { this->batch.handle(ChangeHosts { this->hosts }, this->now); }

        // advance() commits the ticks of two seconds and says whether a start was sent.
        bool advance()
        {
            bool hasStarted = false;
            for (int i = 0; i < 20; ++i) {
                this->now += std::chrono::milliseconds(100);
                const BatchEffects effects = this->tick();
                const auto* contact = this->find<ContactWorker>(effects);
                hasStarted = hasStarted || (contact && !contact->starts.empty());
                this->commit(effects);
            }
            return hasStarted;
        }

        JobExplanation explain() const { return std::get<JobExplanation>(this->batch.ask(ExplainJobQuery { JobId("j1") }, this->now)); }
        DataCentreName location() const { return this->explain().job->dataCentre; }
    };

    // Guards against starts in an evacuated data centre and against jobs that wait there until it is used again.
    TEST_CASE_METHOD(EvacuationFixture, "SubmitJob_dataCentreEvacuated_jobMovesWithoutStart")
    {
        this->evacuate({ this->own });
        this->commit(this->submit("j1"));

        CHECK_FALSE(this->advance());
        CHECK(this->location() == this->other);
        CHECK(std::get<BatchSummary>(this->batch.ask(BatchSummaryQuery {}, this->now)).movedJobs == 1);
    }

    // Guards against an evacuation that ends a running task, and against a retry in the evacuated data centre.
    TEST_CASE_METHOD(EvacuationFixture, "ChangeConfiguration_jobRuns_movesOnlyOnceItsAttemptFailed")
    {
        const auto phase = GENERATE(TaskPhase::Finished, TaskPhase::Failed);
        this->commit(this->submit("j1"));
        this->commit(this->tick());
        this->tick();
        this->evacuate({ this->own });
        this->advance();
        CHECK(this->location() == this->own);

        this->commit(this->batch.handle(WorkerReported { HostName("w1"), 1, { { JobId("j1"), 1, phase, "", "", {} } } }, this->now));

        CHECK_FALSE(this->advance());
        CHECK(this->location() == (phase == TaskPhase::Finished ? this->own : this->other));
    }

    // Guards against the start of a job that was placed just before the evacuation.
    TEST_CASE_METHOD(EvacuationFixture, "ChangeConfiguration_startNotSentYet_jobMoves")
    {
        this->commit(this->submit("j1"));
        const BatchEffects placement = this->tick();
        this->evacuate({ this->own });
        this->commit(placement);
        REQUIRE(this->stateOf("j1") == JobState::Starting);

        CHECK_FALSE(this->advance());
        CHECK(this->location() == this->other);
    }

    // Guards against a second run: the worker may have received the start.
    TEST_CASE_METHOD(EvacuationFixture, "ChangeConfiguration_startMayHaveArrived_jobStays")
    {
        this->commit(this->submit("j1"));
        this->commit(this->tick());
        this->tick();
        this->batch.handle(WorkerUnreachable { HostName("w1"), 1 }, this->now);
        this->evacuate({ this->own });
        this->advance();

        CHECK(this->stateOf("j1") == JobState::Starting);
        CHECK(this->location() == this->own);
    }

    // Guards against moving a job to where nobody can start it.
    TEST_CASE_METHOD(EvacuationFixture, "SubmitJob_noOtherDataCentreCanStartIt_waitsUntilWithdrawal")
    {
        const auto obstacle = GENERATE(0, 1, 2); // the other data centre has no entry host, a small worker, or is evacuated
        this->hosts[2].state = obstacle == 0 ? HostState::Leaving : HostState::Live;
        this->hosts[1].capacity.processors = obstacle == 1 ? 3 : 8;
        this->batch.handle(ChangeHosts { this->hosts }, this->now);
        this->evacuate(obstacle == 2 ? std::vector { this->own, this->other } : std::vector { this->own });
        this->commit(this->submit("j1"));

        CHECK_FALSE(this->advance());
        CHECK(this->explain().why.find("evacuated") != std::string::npos);
        this->evacuate({});
        CHECK(this->advance());
    }

    TEST_CASE_METHOD(EvacuationFixture, "DataCentreChoice_severalHoldTheJob_takesTheLeastLoaded")
    {
        DataCentreChoice choice;
        choice.changeHosts({ this->hosts[1], this->hosts[2], makeHost("w3", HostKind::Worker, "dc3"), makeHost("w4", HostKind::Worker, "dc3"), makeHost("e3", HostKind::EntryHost, "dc3") });

        CHECK(choice.choose({ 4, 8, 0 }, {}, { { this->other, 5 }, { DataCentreName("dc3"), 8 } }) == DataCentreName("dc3"));
        CHECK(choice.choose({ 4, 8, 0 }, {}, { { this->other, 3 }, { DataCentreName("dc3"), 8 } }) == this->other);
    }

} // namespace
} // namespace dragonflytray
