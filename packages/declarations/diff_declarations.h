#pragma once

// What differs between two declarations in meaning, whatever their files look like.
//
// Example:
//
//     for (const DeclarationChange& change : diffDeclarations(inForce, wanted))
//         std::cout << describeChange(change) << "\n";

#include "declarations/declaration.h"
#include <string>
#include <vector>

namespace dragonflytray {

// DeclarationChangeKind says what became of one value.
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

// DeclarationChange is one value that differs. Items of lists are named, so their order does not count.
struct DeclarationChange {
    DeclarationChangeKind kind { DeclarationChangeKind::Changed };
    std::string path; // such as `teams/desk/weight`
    std::string before; // empty when added
    std::string after; // empty when removed

    bool operator==(const DeclarationChange&) const = default;
};

// diffDeclarations() lists the values that differ, by path. Pure; n log n in the size of both.
std::vector<DeclarationChange> diffDeclarations(const Declaration& before, const Declaration& after);

// describeChange() is one line: `changed teams/desk/weight: 1 -> 3`.
std::string describeChange(const DeclarationChange& change);

// canonicalForm() has one line `path: value` for each value, defaults included, in the order of paths. Two
// declarations mean the same exactly when their canonical forms are equal. Pure.
std::string canonicalForm(const Declaration& declaration);

} // namespace dragonflytray
