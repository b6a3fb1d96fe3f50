#include "capacity/capacity.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    struct LedgerFixture {
        Ledger ledger;
        HostName worker { "w1" };

        LedgerFixture() { this->ledger.setWorker(this->worker, { .processors = 8, .memoryGigabytes = 16, .accelerators = 1 }); }
    };

    TEST_CASE_METHOD(LedgerFixture, "Ledger_needOverWhatIsLeft_isRefused")
    {
        REQUIRE(this->ledger.reserve(this->worker, JobId("a"), { 6, 4, 0 }));

        CHECK_FALSE(this->ledger.reserve(this->worker, JobId("b"), { 3, 4, 0 }));
        CHECK(this->ledger.free(this->worker) == Capacity { 2, 12, 1 });
    }

    TEST_CASE_METHOD(LedgerFixture, "Ledger_sameJobTwice_isRefused")
    {
        REQUIRE(this->ledger.reserve(this->worker, JobId("a"), { 1, 1, 0 }));

        CHECK_FALSE(this->ledger.reserve(this->worker, JobId("a"), { 1, 1, 0 }));
    }

    TEST_CASE_METHOD(LedgerFixture, "Ledger_released_givesBackEverything")
    {
        REQUIRE(this->ledger.reserve(this->worker, JobId("a"), { 6, 4, 1 }));

        this->ledger.release(JobId("a"));

        CHECK(this->ledger.free(this->worker) == Capacity { 8, 16, 1 });
        CHECK(this->ledger.size() == 0);
        CHECK(this->ledger.isIdle(this->worker));
    }

} // namespace
} // namespace dragonflytray
