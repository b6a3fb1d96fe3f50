// A request to evacuate a data centre must neither be lost nor come back by reads that are late, overlap or have lost their history.

#include "evacuation/evacuation.h"

#include <catch2/catch.hpp>

namespace dragonflytray {

namespace {

    const DataCentreName first("dc-1");
    const DataCentreName second("dc-2");

    struct EvacuationsFixture {
        Instant now { std::chrono::hours(1) };
        DataCentreEvacuations evacuations { { .refillTime = std::chrono::seconds(4), .minFillShare = 0.25 } };

        std::size_t follow(std::vector<EvacuationChange> changes, RowVersion revision = 0, bool isWhole = false)
        {
            return this->evacuations.follow({ std::move(changes), isWhole, revision }, this->now).size();
        }

        void passTime(int milliseconds) { this->now += std::chrono::milliseconds(milliseconds); }
    };

} // namespace

TEST_CASE_METHOD(EvacuationsFixture, "Evacuations_requestForOneDataCentre_leavesOthersAlone", "[evacuation]")
{
    CHECK(this->follow({ { first, true, 5 } }) == 1);
    CHECK(this->evacuations.isEvacuated(first));
    CHECK(this->evacuations.fillShare(first, this->now) == 0);
    CHECK_FALSE(this->evacuations.isEvacuated(second));
    CHECK(this->evacuations.fillShare(second, this->now) == 1);
    CHECK(this->evacuations.count() == 1);
}

TEST_CASE_METHOD(EvacuationsFixture, "Evacuations_requestIsDeliveredTwice_changesOnce", "[evacuation]")
{
    this->follow({ { first, true, 5 } });
    CHECK(this->follow({ { first, true, 5 } }) == 0);
    CHECK(this->follow({ { first, true, 8 } }) == 0); // written again
}

TEST_CASE_METHOD(EvacuationsFixture, "Evacuations_lateReadOfWithdrawnRequest_doesNotBringItBack", "[evacuation]")
{
    this->follow({ { first, true, 5 } });
    this->follow({ { first, false, 9 } });
    CHECK(this->follow({ { first, true, 5 } }) == 0);
    CHECK_FALSE(this->evacuations.isEvacuated(first));
}

TEST_CASE_METHOD(EvacuationsFixture, "Evacuations_historyIsLostMeanwhile_scanWithdrawsWhatIsMissing", "[evacuation]")
{
    this->follow({ { first, true, 5 }, { second, true, 6 } });
    CHECK(this->follow({ { second, true, 6 } }, 20, true) == 1);
    CHECK_FALSE(this->evacuations.isEvacuated(first));
    CHECK(this->evacuations.isEvacuated(second));
}

TEST_CASE_METHOD(EvacuationsFixture, "Evacuations_scanIsOlderThanRequest_requestStays", "[evacuation]")
{
    this->follow({ { first, true, 25 } });
    this->follow({}, 20, true);
    CHECK(this->evacuations.isEvacuated(first));
}

TEST_CASE_METHOD(EvacuationsFixture, "Evacuations_requestIsWithdrawn_dataCentreFillsUpSlowly", "[evacuation]")
{
    this->follow({ { first, true, 5 } });
    this->passTime(1500);
    const auto transitions = this->evacuations.follow({ { { first, false, 9 } }, false, 9 }, this->now);
    REQUIRE(transitions.size() == 1);
    CHECK(transitions.front().duration == std::chrono::milliseconds(1500));
    CHECK(this->evacuations.fillShare(first, this->now) == 0.25);
    this->passTime(2000);
    CHECK(this->evacuations.fillShare(first, this->now) == 0.5);
    CHECK(this->evacuations.restrictsStarts(this->now));
    this->passTime(2000);
    CHECK(this->evacuations.fillShare(first, this->now) == 1);
    CHECK_FALSE(this->evacuations.restrictsStarts(this->now));
}

} // namespace dragonflytray
