#pragma once

// Parsing and validation of declaration files. All errors of a file are reported at once.
//
// Example:
//
//     auto declaration = parseDeclaration(text, "serrano.yaml");
//     if (!declaration)
//         std::cerr << declaration.error().text();

#include "declarations/declaration.h"
#include <string>
#include <tl/expected.hpp>

namespace dragonflytray {

// parseDeclaration() returns the declaration in `text`, or all errors found. `file` is the name that the
// findings give as their place; it isn't opened. Pure; linear in the text except for the checks for
// duplicates, which add a logarithmic factor.
tl::expected<Declaration, Findings> parseDeclaration(const std::string& text, const std::string& file);

} // namespace dragonflytray
