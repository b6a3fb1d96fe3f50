#include "declarations/declarations.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    struct DiffDeclarationsFixture {
        Declaration parse(const std::string& teams) const
        {
            auto declaration = parseDeclaration("customer: a\nregions: []\nteams: [" + teams + "]\n", "a.yaml");
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

} // namespace
} // namespace dragonflytray
