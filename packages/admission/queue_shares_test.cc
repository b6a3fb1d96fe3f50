// A burst in one queue must not take the capacity from the others, and no queue may save up credit or keep an old debt.

#include "admission/admission.h"

#include <catch2/catch.hpp>

namespace dragonflytray {

namespace {

    const QueueName bulk("bulk");
    const QueueName desk("desk");

    struct QueueSharesFixture {
        Instant now { std::chrono::hours(1) };
        QueueShares shares { { .weights = { { QueueName("double"), 2 } } } };

        void follow(const std::vector<QueueUse>& uses, int seconds = 0)
        {
            this->now += std::chrono::seconds(seconds);
            this->shares.follow(uses, this->now);
        }

        static QueueUse use(const QueueName& queue, double cores, bool isWaiting = true) { return { .queue = queue, .cores = cores, .expectedWork = cores, .isWaiting = isWaiting }; }
    };

} // namespace

TEST_CASE_METHOD(QueueSharesFixture, "QueueShares_burstOccupiesWorkers_otherQueueComesFirstUpToItsShare")
{
    this->follow({ use(bulk, 4), use(desk, 0) });
    CHECK(this->shares.debtOf(bulk) == 4);
    const std::vector<ShareClaim> claims { { &bulk, 2 }, { &bulk, 2 }, { &desk, 2 }, { &desk, 2 }, { &desk, 2 } };
    CHECK(this->shares.order(claims) == std::vector<std::size_t> { 2, 3, 0, 4, 1 });
}

TEST_CASE_METHOD(QueueSharesFixture, "QueueShares_noneHasTakenMore_queuesTakeTurnsFromEarliestClaim")
{
    const std::vector<ShareClaim> claims { { &bulk, 1 }, { &bulk, 1 }, { &bulk, 1 }, { &desk, 1 } };
    CHECK(this->shares.order(claims) == std::vector<std::size_t> { 0, 3, 1, 2 });
    const std::vector<ShareClaim> withoutWork { { &bulk, 0 }, { &bulk, 0 }, { &desk, 0 } };
    CHECK(this->shares.order(withoutWork) == std::vector<std::size_t> { 0, 2, 1 });
}

TEST_CASE_METHOD(QueueSharesFixture, "QueueShares_weightIsDouble_queueGetsTwoThirds")
{
    const QueueName heavy("double");
    const std::vector<ShareClaim> claims { { &desk, 1 }, { &desk, 1 }, { &heavy, 1 }, { &heavy, 1 }, { &heavy, 1 }, { &heavy, 1 } };
    CHECK(this->shares.order(claims) == std::vector<std::size_t> { 0, 2, 3, 1, 4, 5 });
    this->follow({ use(heavy, 10), use(desk, 0) });
    CHECK(this->shares.debtOf(heavy) == 5);
}

// A single slot is free at each decision, so that what is running says nothing.
TEST_CASE_METHOD(QueueSharesFixture, "QueueShares_slotIsFreeAgain_queueThatUsedItComesLater")
{
    this->follow({ use(bulk, 1), use(desk, 0) });
    this->follow({ use(bulk, 0), use(desk, 0) }, 2);
    CHECK(this->shares.debtOf(bulk) == 2);
    this->follow({ use(bulk, 0), use(desk, 1) });
    this->follow({ use(bulk, 0), use(desk, 0) }, 3);
    CHECK(this->shares.debtOf(bulk) == 0);
    CHECK(this->shares.debtOf(desk) == 1);
}

TEST_CASE_METHOD(QueueSharesFixture, "QueueShares_queueWasIdleForLong_hasNoCredit")
{
    this->follow({ use(bulk, 10), use(desk, 0, false) });
    this->follow({ use(bulk, 10) }, 100);
    this->follow({ use(bulk, 10), use(desk, 0) });
    CHECK(this->shares.debtOf(bulk) == 0);
    this->follow({ use(bulk, 10), use(desk, 0) }, 1);
    CHECK(this->shares.debtOf(bulk) == 10);
}

TEST_CASE_METHOD(QueueSharesFixture, "QueueShares_noQueueWaits_debtsAreVoid")
{
    this->follow({ use(bulk, 10), use(desk, 0) });
    this->follow({ use(bulk, 0, false), use(desk, 0, false) }, 5);
    CHECK(this->shares.debts().empty());
    this->follow({ use(bulk, 0), use(desk, 0) });
    CHECK(this->shares.debtOf(bulk) == 0);
}

TEST_CASE_METHOD(QueueSharesFixture, "QueueShares_queuesOfOtherPriorities_areNotCompared")
{
    QueueUse urgent = use(bulk, 10);
    urgent.priority = 1;
    this->follow({ urgent, use(desk, 0) });
    CHECK(this->shares.debtOf(bulk) == 0);
}

} // namespace dragonflytray
