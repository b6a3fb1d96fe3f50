#include "declarations/declarations.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    struct DiffDeclarationsFixture {
        Declaration parse(const std::string& teams, const std::string& evacuated = "") const
        {
            auto declaration = parseDeclaration("customer: a\nregions: []\nteams: [" + teams + "]\nevacuatedDataCentres: [" + evacuated + "]\n", "a.yaml");
            REQUIRE(declaration);
            return *declaration;
        }
    };

    TEST_CASE_METHOD(DiffDeclarationsFixture, "DiffDeclarations_otherOrderAndExplicitDefaults_isEmpty")
    {
        const Declaration before = this->parse("{ name: a }, { name: b, weight: 2 }");
        const Declaration after = this->parse("{ name: b, weight: 2.0, processors: 0 }, { name: a, weight: 1 }");

        CHECK(diffDeclarations(before, after).empty());
        CHECK(canonicalForm(before) == canonicalForm(after));
    }

    TEST_CASE_METHOD(DiffDeclarationsFixture, "DiffDeclarations_teamChangedAndTeamReplaced_listsEachValue")
    {
        const auto changes = diffDeclarations(this->parse("{ name: a }, { name: b }"), this->parse("{ name: a, weight: 3 }, { name: c }"));

        REQUIRE(changes.size() == 7);
        CHECK(describeChange(changes[0]) == "changed teams/a/weight: 1 -> 3");
        CHECK(changes[1].kind == DeclarationChangeKind::Removed);
        CHECK(changes[6] == DeclarationChange { DeclarationChangeKind::Added, "teams/c/weight", "", "1" });
    }

    // Guards against an operator being shown a whole list instead of the data centre that joins or leaves it.
    TEST_CASE_METHOD(DiffDeclarationsFixture, "DiffDeclarations_evacuatedDataCentreReplaced_namesBoth")
    {
        const auto changes = diffDeclarations(this->parse("", "dc1, dc2"), this->parse("", "dc3, dc2"));

        REQUIRE(changes.size() == 2);
        CHECK(describeChange(changes[0]) == "removed evacuatedDataCentres/dc1: evacuated");
        CHECK(describeChange(changes[1]) == "added evacuatedDataCentres/dc3: evacuated");
        CHECK(diffDeclarations(this->parse("", "dc1, dc2"), this->parse("", "dc2, dc1")).empty());
    }

} // namespace
} // namespace dragonflytray
