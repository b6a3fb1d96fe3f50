#include "base/findings.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    struct FindingsFixture {
        Findings findings;
    };

    TEST_CASE_METHOD(FindingsFixture, "Findings_addedOutOfOrder_areListedByPlace")
    {
        this->findings.add({ "a.yaml", 7, 1 }, "second");
        this->findings.add({ "a.yaml", 2, 4 }, "first", "a hint");

        CHECK(this->findings.text() == "a.yaml:2:4: first (a hint)\na.yaml:7:1: second\n");
    }

} // namespace
} // namespace dragonflytray
