#pragma once

// The public header of the `yaml` library: checked reading of YAML maps, used by settings and
// declarations alike.

#include "yaml/yaml_map.h"
