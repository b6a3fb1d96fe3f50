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

    TEST_CASE_METHOD(ParseDeclarationFixture, "ParseDeclaration_wellFormedFile_isRead")
    {
        auto declaration = parseDeclaration(this->text, "a.yaml");

        REQUIRE(declaration);
        CHECK(declaration->findTeam(TeamName("desk"))->weight == 3);
        CHECK(declaration->findService(ServiceName("loan-desk"))->idempotency == Idempotency::Idempotent);
        CHECK(declaration->findRegionOf(DataCentreName("rs-cxs"))->name == RegionName("sul-rs"));
    }

    TEST_CASE_METHOD(ParseDeclarationFixture, "ParseDeclaration_fiveFaults_reportsFiveFindingsWithPlaces")
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
                                            "a.yaml:6:13: the name `desk` stands twice in this list\n"
                                            "a.yaml:7:1: unknown key `servces` (did you mean `services`?)\n"
                                            "a.yaml:9:5: the key `memoryGigabytes` is missing\n"
                                            "a.yaml:11:19: the data centre `nowhere` belongs to no region\n");
    }

} // namespace
} // namespace dragonflytray
