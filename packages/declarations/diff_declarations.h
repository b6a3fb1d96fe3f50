#pragma once

// Semantic comparison of two declarations: the order of named items, the layout of the files and written-out
// defaults make no difference.
//
// Example:
//
//     for (const DeclarationChange& change : diffDeclarations(active, proposed))
//         std::cout << describeChange(change) << "\n";

#include "declarations/declaration.h"
#include <string>
#include <vector>

namespace dragonflytray {

// DeclarationChangeKind says whether a value was added, removed or changed.
enum class DeclarationChangeKind {
    Added,
    Removed,
    Changed,
};

inline constexpr NameTable declarationChangeKindNames { std::to_array<NameEntry<DeclarationChangeKind>>({
    { DeclarationChangeKind::Added, "added" },
    { DeclarationChangeKind::Removed, "removed" },
    { DeclarationChangeKind::Changed, "changed" },
}) };
static_assert(declarationChangeKindNames.isWhole(DeclarationChangeKind::Changed));

// DeclarationChange is one value that differs. Items of lists are identified by name, not by position.
struct DeclarationChange {
    DeclarationChangeKind kind { DeclarationChangeKind::Changed };
    std::string path; // such as `teams/desk/weight`
    std::string before; // empty when added
    std::string after; // empty when removed

    bool operator==(const DeclarationChange&) const = default;
};

// diffDeclarations() lists the values that differ, sorted by path. Pure; O(n log n) in the total number of
// values.
std::vector<DeclarationChange> diffDeclarations(const Declaration& before, const Declaration& after);

// describeChange() formats `change` as one line such as `changed teams/desk/weight: 1 -> 3`.
std::string describeChange(const DeclarationChange& change);

// canonicalForm() writes a line `path: value` for each value, including defaults, sorted by path. Two
// declarations are equivalent if and only if their canonical forms are equal. Pure.
std::string canonicalForm(const Declaration& declaration);

} // namespace dragonflytray
