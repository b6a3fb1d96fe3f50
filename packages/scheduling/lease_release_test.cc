// A leader that has released its lease must not go on for longer than its successor expects.

#include "scheduling/cell_leadership.h"
#include "scheduling/simulation/simulated_store.h"

#include <catch2/catch.hpp>

namespace dragonflytray {

namespace {

    using std::chrono::milliseconds;

    const CellLeadership::Options options { .self = HostName("a"), .cell = CellName("whole") };

    // LeaseReleaseFixture has a host that holds the lease, and another one that may take it once it is released.
    class LeaseReleaseFixture {
    protected:
        LeaseReleaseFixture()
        {
            this->holder.beginObserving(this->now);
            this->other.beginObserving(this->now);
            this->now += options.lease;
            this->write(this->holder);
        }

        void write(CellLeadership& host)
        {
            const WriteStoredRows write = host.nextWrite(this->nextWrite++, {}, this->now);
            const RowsWriteEnded end = this->store.apply(write);
            (void)host.writeEnded(end, this->now);
            if (&host != &this->other)
                this->other.observe(std::get<CellLease>(write.puts.front().value), end.revision, this->now);
        }

        Instant now { std::chrono::hours(1) };
        std::uint64_t nextWrite { 1 };
        SimulatedStore store;
        CellLeadership holder { options };
        CellLeadership other { { .self = HostName("b"), .cell = CellName("whole") } };
    };

} // namespace

TEST_CASE_METHOD(LeaseReleaseFixture, "CellLeadership_releaseWithoutAnswer_endsWithinOutageTimeoutOfSuccession", "[lease]")
{
    this->now += milliseconds(100);
    this->holder.release();
    this->holder.renewImmediately();
    const WriteStoredRows release = this->holder.nextWrite(this->nextWrite++, {}, this->now);
    const RowsWriteEnded end = this->store.apply(release); // the answer is lost
    this->other.observe(std::get<CellLease>(release.puts.front().value), end.revision, this->now);
    REQUIRE(this->other.isWriteDue(this->now));
    this->write(this->other);
    REQUIRE(this->other.isLeader(this->now));
    CHECK_FALSE(this->holder.isLeader(this->now + options.storeOutageTimeout));
}

TEST_CASE_METHOD(LeaseReleaseFixture, "CellLeadership_releaseWithoutAnswer_ownLeaseEndsWithTheRelease", "[lease]")
{
    this->now += milliseconds(100);
    this->holder.release();
    this->holder.renewImmediately();
    (void)this->holder.nextWrite(this->nextWrite++, {}, this->now);
    CHECK(this->holder.leaseEndsAt() <= this->now);
    CHECK_FALSE(this->holder.holdsLease(this->now));
}

} // namespace dragonflytray
