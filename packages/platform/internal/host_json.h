#pragma once

// The JSON of the host list; for this library's own sources and for the stand-ins.

#include "model/model.h"
#include <nlohmann/json.hpp>

namespace dragonflytray::internal {

// decodeHost() reads one entry of the list; nothing when it is not well-formed.
std::optional<Host> decodeHost(const nlohmann::json& json);

// encodeHost() is one entry of the list.
nlohmann::json encodeHost(const Host& host);

} // namespace dragonflytray::internal
