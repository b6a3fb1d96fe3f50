#pragma once

// Prints JSON bodies in the form that the user asked for.

#include "cli/context.h"
#include <nlohmann/json.hpp>
#include <ostream>

namespace dragonflytray {

// render() writes `value` as indented JSON, as YAML, or as a table: an array of objects becomes rows, an
// object becomes one line for each member.
void render(std::ostream& stream, const nlohmann::json& value, OutputForm form);

} // namespace dragonflytray
