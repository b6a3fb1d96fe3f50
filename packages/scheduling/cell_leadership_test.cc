// The holder of a lease must stop believing in it before another host may acquire it.

#include "scheduling/cell_leadership.h"
#include "scheduling/simulation/simulated_store.h"

#include <catch2/catch.hpp>

namespace dragonflytray {

namespace {

    using std::chrono::milliseconds;

    constexpr Duration lease = milliseconds(1500);
    constexpr Duration roundTrip = milliseconds(20);
    constexpr Duration writeTimeout = milliseconds(1000);

    // CellLeadershipFixture has a host that holds the lease, and another host that sees every row of it one round trip after
    // it was sent.
    class CellLeadershipFixture {
    protected:
        CellLeadershipFixture()
        {
            this->holder.beginObserving(this->now);
            this->other.beginObserving(this->now);
            this->advanceUntilDue();
            this->deliver(this->send());
            this->advanceUntilDue();
        }

        void advanceUntilDue()
        {
            const Instant limit = this->now + 4 * lease;
            while (!this->holder.isWriteDue(this->now) && this->now < limit)
                this->now += milliseconds(10);
            REQUIRE(this->holder.isWriteDue(this->now));
        }

        WriteStoredRows send(const CellReport& report = {})
        {
            return this->holder.nextWrite(this->nextWrite++, report, this->now);
        }

        // execute() lets the store execute a write one round trip later, and the other host see the row.
        RowsWriteEnded execute(const WriteStoredRows& write)
        {
            this->now += roundTrip;
            RowsWriteEnded end = this->store.apply(write);
            if (end.status == TransactionStatus::Committed)
                this->other.observe(std::get<CellLease>(write.puts.front().value), end.revision, this->now);
            return end;
        }

        void deliver(const WriteStoredRows& write) { (void)this->holder.writeEnded(this->execute(write), this->now); }

        // loseAnswer() executes a write whose answer the holder waits for in vain.
        void loseAnswer(const WriteStoredRows& write)
        {
            this->execute(write);
            this->now += writeTimeout - roundTrip;
            (void)this->holder.writeEnded({ write.write, TransactionStatus::Ambiguous, 0, {} }, this->now);
        }

        // haveBothTheLease() returns true if there will be a time at which the other host may acquire the lease while the
        // holder believes in it, provided that nothing more is written.
        bool haveBothTheLease() const
        {
            for (Instant time = this->now; time < this->now + 4 * lease; time += milliseconds(1)) {
                if (this->other.isWriteDue(time) && this->holder.holdsLease(time))
                    return true;
            }
            return false;
        }

        Instant now { std::chrono::hours(1) };
        SimulatedStore store;
        CellLeadership holder { { .self = HostName("a"), .cell = CellName("whole"), .lease = lease } };
        CellLeadership other { { .self = HostName("b"), .cell = CellName("whole"), .lease = lease } };
        std::uint64_t nextWrite { 1 };
    };

} // namespace

TEST_CASE_METHOD(CellLeadershipFixture, "CellLeadership_renewalAnswered_leaseEndsBeforeOthersMayAcquireIt")
{
    const Instant sentAt = this->now;
    this->deliver(this->send());
    CHECK(this->holder.holdsLease(sentAt + lease - milliseconds(1)));
    CHECK_FALSE(this->haveBothTheLease());
}

TEST_CASE_METHOD(CellLeadershipFixture, "CellLeadership_renewalWithoutAnswer_leaseIsDatedByTheFirstSend")
{
    const Instant sentAt = this->now;
    this->loseAnswer(this->send());
    this->advanceUntilDue();
    this->deliver(this->send());
    CHECK(this->holder.holdsLease(sentAt + lease - milliseconds(1)));
    CHECK_FALSE(this->holder.holdsLease(sentAt + lease));
    CHECK_FALSE(this->haveBothTheLease());
}

TEST_CASE_METHOD(CellLeadershipFixture, "CellLeadership_retryWithoutAnswerToo_leaseIsDatedByTheFirstSend")
{
    const Instant sentAt = this->now;
    this->loseAnswer(this->send());
    this->advanceUntilDue();
    this->loseAnswer(this->send());
    this->advanceUntilDue();
    this->deliver(this->send());
    CHECK_FALSE(this->holder.holdsLease(sentAt + lease));
    CHECK_FALSE(this->haveBothTheLease());
}

// The rows differ, so that the holder sees its earlier row as one that it did not just send.
TEST_CASE_METHOD(CellLeadershipFixture, "CellLeadership_retryWithAnotherReport_leaseIsNotDatedByTheRetry")
{
    const Instant sentAt = this->now;
    this->loseAnswer(this->send());
    this->advanceUntilDue();
    this->deliver(this->send({ .capacityMillicores = 1000, .labels = {}, .unconfirmed = {} }));
    CHECK_FALSE(this->holder.holdsLease(sentAt + lease));
    CHECK_FALSE(this->haveBothTheLease());
}

TEST_CASE_METHOD(CellLeadershipFixture, "CellLeadership_retryWithTheFirstReportAgain_leaseIsDatedByTheFirstSend")
{
    const Instant sentAt = this->now;
    this->loseAnswer(this->send());
    this->advanceUntilDue();
    this->loseAnswer(this->send({ .capacityMillicores = 1000, .labels = {}, .unconfirmed = {} }));
    this->advanceUntilDue();
    this->deliver(this->send());
    CHECK_FALSE(this->holder.holdsLease(sentAt + lease));
    CHECK_FALSE(this->haveBothTheLease());
}

// The store refused the first send, so that the row is as new as the retry.
TEST_CASE_METHOD(CellLeadershipFixture, "CellLeadership_retryCommittedAfterRefusedRenewal_leaseIsDatedByTheRetry")
{
    const WriteStoredRows refused = this->send();
    this->now += roundTrip;
    (void)this->holder.writeEnded({ refused.write, TransactionStatus::Unavailable, 0, {} }, this->now);
    this->advanceUntilDue();
    const Instant sentAt = this->now;
    this->deliver(this->send());
    CHECK(this->holder.holdsLease(sentAt + lease - milliseconds(1)));
    CHECK_FALSE(this->haveBothTheLease());
}

TEST_CASE_METHOD(CellLeadershipFixture, "CellLeadership_renewalStoredWithoutAnswer_keepsTheLease")
{
    const WriteStoredRows renewal = this->send();
    const Instant end = this->now + lease;
    (void)this->execute(renewal);
    this->advanceUntilDue();
    this->deliver(this->send());
    this->advanceUntilDue();
    this->deliver(this->send());
    CHECK(this->holder.holdsLease(end));
    CHECK_FALSE(this->haveBothTheLease());
}

TEST_CASE_METHOD(CellLeadershipFixture, "CellLeadership_renewalsNeitherStoredNorAnswered_nextOneKeepsTheLease")
{
    const Instant end = this->now + lease;
    (void)this->send();
    this->advanceUntilDue();
    (void)this->send();
    this->advanceUntilDue();
    this->deliver(this->send());
    CHECK(this->holder.holdsLease(end));
    CHECK_FALSE(this->haveBothTheLease());
}

TEST_CASE_METHOD(CellLeadershipFixture, "CellLeadership_feedShowsRenewalWithoutAnswer_keepsTheLeaseFromItsSend")
{
    const Instant sentAt = this->now;
    const WriteStoredRows renewal = this->send();
    const RowsWriteEnded end = this->execute(renewal);
    (void)this->holder.observe(std::get<CellLease>(renewal.puts.front().value), end.revision, this->now);
    CHECK(this->holder.holdsLease(sentAt + lease - milliseconds(1)));
    CHECK_FALSE(this->holder.holdsLease(sentAt + lease));
    CHECK_FALSE(this->haveBothTheLease());
}

TEST_CASE_METHOD(CellLeadershipFixture, "CellLeadership_renewalTakesEffectAfterNewerOne_isNotStored")
{
    const WriteStoredRows late = this->send();
    this->advanceUntilDue();
    this->deliver(this->send());
    const Instant end = this->now + lease;
    CHECK(this->execute(late).status == TransactionStatus::Conflict);
    (void)this->holder.writeEnded({ late.write, TransactionStatus::Ambiguous, 0, {} }, this->now);
    CHECK_FALSE(this->holder.holdsLease(end));
    CHECK_FALSE(this->haveBothTheLease());
}

// Runs and writes of two terms can be told apart only by their epochs.
TEST_CASE_METHOD(CellLeadershipFixture, "CellLeadership_fencedWhileRenewalIsInFlight_acquiresTheLeaseUnderAHigherEpoch")
{
    const Epoch earlier = this->holder.epoch();
    const WriteStoredRows renewal = this->send();
    REQUIRE(this->holder.fence() == LeadershipChange::Lost);
    CHECK(this->holder.writeEnded(this->execute(renewal), this->now) == LeadershipChange::None);
    CHECK(this->holder.epoch() == 0);
    this->advanceUntilDue();
    this->deliver(this->send());
    CHECK(this->holder.epoch() == earlier + 1);
}

TEST_CASE_METHOD(CellLeadershipFixture, "CellLeadership_renewalFoundLate_nextRenewalIsDueAtOnce")
{
    this->loseAnswer(this->send());
    this->advanceUntilDue();
    this->deliver(this->send());
    CHECK(this->holder.isWriteDue(this->now));
    this->deliver(this->send());
    CHECK(this->holder.holdsLease(this->now));
    CHECK_FALSE(this->haveBothTheLease());
}

} // namespace dragonflytray
