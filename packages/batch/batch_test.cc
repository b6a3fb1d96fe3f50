#include "batch/batch.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    // An entry host that has become the leader of a data centre with one worker.
    struct BatchFixture {
        Batch batch { { .self = HostName("e1"), .dataCentre = DataCentreName("dc1") } };
        Instant now { std::chrono::seconds(100) };
        RowVersion revision { 0 };

        BatchFixture()
        {
            Declaration declaration;
            declaration.teams = { { .name = TeamName("desk") } };
            declaration.batchClasses = { { .name = BatchClassName("pack"), .need = { 4, 8, 0 } } };
            this->batch.handle(ChangeConfiguration { { 1, std::make_shared<Declaration>(declaration) } }, this->now);
            Host worker;
            worker.name = HostName("w1");
            worker.dataCentre = DataCentreName("dc1");
            worker.capacity = { 8, 16, 0 };
            this->batch.handle(ChangeHosts { { worker } }, this->now);
            this->tick();
            this->batch.handle(RowsRead { true, 0, {} }, this->now);
            this->commit(this->tick());
            this->commit(this->tick());
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

} // namespace
} // namespace dragonflytray
