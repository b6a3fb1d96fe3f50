// The roster that is believed to be stored must never be larger than the one that is.

#include "scheduling/cell_roster.h"

#include <catch2/catch.hpp>

namespace dragonflytray {

namespace {

    // CellRosterFixture has the roster of one cell and two workers of one part.
    struct CellRosterFixture {
        CellRoster roster { CellName("whole") };
        WorkerId worker { "i-1" };
        std::uint32_t part { rosterPartOf(worker) };
        std::map<WorkerId, RosterEntry> wanted { { worker, { .endpoint = { "10.1.1.1", 80 }, .capacity = { 64000, 256000, 0 } } } };
    };

} // namespace

TEST_CASE_METHOD(CellRosterFixture, "CellRoster_reportStored_partIsWrittenOnce")
{
    REQUIRE(this->roster.compose(1, this->wanted).size() == 1);
    this->roster.reportStored(1, 7);
    CHECK(this->roster.workers() == this->wanted);
    CHECK(this->roster.compose(2, this->wanted).empty());
}

TEST_CASE_METHOD(CellRosterFixture, "CellRoster_reportNotKnownToBeStored_partIsWrittenAgain")
{
    REQUIRE(this->roster.compose(1, this->wanted).size() == 1);
    CHECK(this->roster.compose(2, this->wanted).size() == 1);
    CHECK(this->roster.compose(3, {}).size() == 1); // the first may be stored
    CHECK(this->roster.workers().empty());
    this->roster.reportStored(2, 7);
    CHECK(this->roster.workers() == this->wanted);
    CHECK(this->roster.compose(4, {}).size() == 1);
}

TEST_CASE_METHOD(CellRosterFixture, "CellRoster_olderRowRead_doesNotReplaceNewerOne")
{
    this->roster.apply(this->part, { this->wanted }, 5);
    this->roster.apply(this->part, {}, 4);
    CHECK(this->roster.workers() == this->wanted);
    this->roster.apply(this->part, {}, 6);
    CHECK(this->roster.workers().empty());
}

TEST_CASE_METHOD(CellRosterFixture, "CellRoster_leadershipAcquiredAgain_readRowsCountAsStored")
{
    (void)this->roster.compose(1, {});
    (void)this->roster.compose(2, this->wanted);
    this->roster.apply(this->part, { this->wanted }, 9);
    this->roster.beginReporting();
    CHECK(this->roster.compose(3, this->wanted).empty());
}

TEST_CASE("RosterKey_ofEachPart_isReadBack", "[roster]")
{
    for (std::uint32_t number = 0; number < rosterParts; ++number) {
        const auto part = parseRosterKey(rosterKey({ CellName("rs/poa"), number }));
        REQUIRE(part);
        CHECK(part->cell == CellName("rs/poa"));
        CHECK(part->number == number);
    }
}

TEST_CASE("RosterKey_ofOtherRows_isRejected", "[roster]")
{
    CHECK_FALSE(parseRosterKey({ StoredRowKind::WorkerRoster, "whole" }));
    CHECK_FALSE(parseRosterKey({ StoredRowKind::WorkerRoster, "whole/" }));
    CHECK_FALSE(parseRosterKey({ StoredRowKind::WorkerRoster, "whole/16" }));
    CHECK_FALSE(parseRosterKey({ StoredRowKind::WorkerRoster, "whole/1x" }));
    CHECK_FALSE(parseRosterKey({ StoredRowKind::CellLease, "whole/1" }));
}

} // namespace dragonflytray
