#pragma once

// The public header of the `declarations` library, which parses, validates and compares the declaration
// files of operators.

#include "declarations/declaration.h"
#include "declarations/diff_declarations.h"
#include "declarations/environment_commands.h"
#include "declarations/parse_declaration.h"
