#pragma once

// Reading JSON and CBOR that other writers may have damaged. No function throws, and neither parser accepts a value
// that is nested so deeply that its traversal could exhaust the stack of a thread. All functions are pure.
//
// Example:
//
//     const nlohmann::json body = parseJson(response.body);
//     if (!body.is_object())
//         return std::nullopt;

#include <nlohmann/json.hpp>
#include <string_view>

namespace dragonflytray {

inline constexpr std::size_t maxNestingDepth = 32; // arrays and objects within each other; no message needs ten

// parseJson() returns the value of a JSON text, or a discarded value if the text is invalid or nested too deeply.
nlohmann::json parseJson(std::string_view text);

// parseCbor() returns the value of CBOR bytes, or a discarded value if they are invalid, nested too deeply, or contain
// tags or items of indefinite length, which to_cbor() does not write.
nlohmann::json parseCbor(std::string_view bytes);

} // namespace dragonflytray
