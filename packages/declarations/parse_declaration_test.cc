#include "declarations/declarations.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    struct ParseDeclarationFixture {
        std::string text = R"(customer: serrano
regions:
  - { name: sul-rs, dataCentres: [rs-poa, rs-cxs] }
teams:
  - { name: desk, weight: 3 }
services:
  - { name: loan-desk, idempotency: idempotent }
batchClasses:
  - { name: underwriting, processors: 4, memoryGigabytes: 8 }
)";
    };

    TEST_CASE_METHOD(ParseDeclarationFixture, "ParseDeclaration_validFile_returnsDeclaration")
    {
        auto declaration = parseDeclaration(this->text, "a.yaml");

        REQUIRE(declaration);
        CHECK(declaration->findTeam(TeamName("desk"))->weight == 3);
        CHECK(declaration->findService(ServiceName("loan-desk"))->defaultIdempotency == Idempotency::Idempotent);
        CHECK(declaration->findRegionOf(DataCentreName("rs-cxs"))->name == RegionName("sul-rs"));
    }

    TEST_CASE_METHOD(ParseDeclarationFixture, "ParseDeclaration_fiveErrors_reportsFiveFindingsWithPlaces")
    {
        const std::string faulty = R"(customer: serrano
regions:
  - { name: sul-rs, dataCentres: [rs-poa] }
teams:
  - { name: desk, weight: heavy }
  - { name: desk }
servces: []
batchClasses:
  - { name: underwriting, processors: 4 }
workers:
  - { dataCentre: nowhere }
)";

        auto declaration = parseDeclaration(faulty, "a.yaml");

        REQUIRE_FALSE(declaration);
        CHECK(declaration.error().text() == "a.yaml:5:27: `weight` must be a number\n"
                                            "a.yaml:6:13: the name `desk` appears twice in this list\n"
                                            "a.yaml:7:1: unknown key `servces` (did you mean `services`?)\n"
                                            "a.yaml:9:5: the key `memoryGigabytes` is missing\n"
                                            "a.yaml:11:19: the data centre `nowhere` belongs to no region\n");
    }

    TEST_CASE_METHOD(ParseDeclarationFixture, "ParseDeclaration_inconsistentValues_areAllReported")
    {
        auto declaration = parseDeclaration(R"(customer: a
objective: { tailLatency: 0, throughput: 0, evictions: 0 }
regions:
  - { name: r1, dataCentres: [d1] }
  - { name: r2, dataCentres: [d1] }
teams:
  - { name: a/b }
customer: b
)",
            "a.yaml");

        REQUIRE_FALSE(declaration);
        CHECK(declaration.error().text() == "a.yaml:2:12: the weights of `objective` are all zero (give at least one weight above zero)\n"
                                            "a.yaml:5:30: the data centre `d1` appears twice (each data centre belongs to one region)\n"
                                            "a.yaml:7:13: the name `a/b` is not allowed (up to 64 letters, digits, `.`, `_` and `-`)\n"
                                            "a.yaml:8:1: the key `customer` stands twice\n");
    }

    // Guards against a file that keeps a data centre evacuated being refused once its region no longer lists it.
    TEST_CASE_METHOD(ParseDeclarationFixture, "ParseDeclaration_evacuatedDataCentres_mayBeInNoRegion")
    {
        auto declaration = parseDeclaration(this->text + "evacuatedDataCentres: [rs-cxs, elsewhere]\n", "a.yaml");

        REQUIRE(declaration);
        CHECK(declaration->isEvacuated(DataCentreName("rs-cxs")));
        CHECK(declaration->isEvacuated(DataCentreName("elsewhere")));
        CHECK_FALSE(declaration->isEvacuated(DataCentreName("rs-poa")));
        CHECK(parseDeclaration(this->text, "a.yaml")->evacuatedDataCentres.empty());
    }

    // Guards against a mistyped list being applied in part, which would leave a data centre in use.
    TEST_CASE_METHOD(ParseDeclarationFixture, "ParseDeclaration_evacuatedDataCentresFaulty_reportsEachFinding")
    {
        auto declaration = parseDeclaration(this->text + "evacuatedDataCentres: [rs-poa, a/b, rs-poa, '', {}]\n", "a.yaml");

        REQUIRE_FALSE(declaration);
        CHECK(declaration.error().text() == "a.yaml:10:23: the name `a/b` is not allowed (up to 64 letters, digits, `.`, `_` and `-`)\n"
                                            "a.yaml:10:23: the data centre `rs-poa` appears twice in this list\n"
                                            "a.yaml:10:23: a name in `evacuatedDataCentres` is empty\n"
                                            "a.yaml:10:49: each item of `evacuatedDataCentres` must be text\n");
    }

    TEST_CASE_METHOD(ParseDeclarationFixture, "ParseDeclaration_aliasBombDeepNestingOrLargeFile_isRejectedWithItsPlace")
    {
        const auto firstFinding = [](const std::string& faulty) { return parseDeclaration(faulty, "a.yaml").error().text(); };

        CHECK(firstFinding("a: &a [x, x]\nb: &b [*a, *a]\n") == "a.yaml:1:4: not well-formed YAML: anchors are not allowed\n");
        CHECK(firstFinding("a: " + std::string(100, '[') + std::string(100, ']')) == "a.yaml:1:19: not well-formed YAML: the file is nested too deeply\n");
        CHECK(firstFinding(std::string(250000, '[')) == "a.yaml:1:1: not well-formed YAML: the file is nested too deeply\n");
        CHECK(firstFinding(std::string(300000, '#')) == "a.yaml:1:1: the file is larger than 256 KB\n");
    }

} // namespace
} // namespace dragonflytray
