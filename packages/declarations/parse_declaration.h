#pragma once

// Reads a declaration file as a whole and reports everything that is wrong with it.
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

// parseDeclaration() is the checked declaration of `text`, or every finding with its place in `file`.
// Pure; linear in the text but for duplicate checks.
tl::expected<Declaration, Findings> parseDeclaration(const std::string& text, const std::string& file);

} // namespace dragonflytray
