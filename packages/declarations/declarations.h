#pragma once

// The public header of the `declarations` library: from an operator's file to a checked value.

#include "declarations/declaration.h"
#include "declarations/diff_declarations.h"
#include "declarations/environment_commands.h"
#include "declarations/parse_declaration.h"
