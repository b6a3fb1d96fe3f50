#pragma once

// Reading JSON and CBOR that other writers may have damaged, and writing JSON that holds text of theirs. No function throws,
// and neither parser accepts a value that is nested so deeply that its traversal could exhaust the stack of a thread. All
// functions are pure.
//
// Example:
//
//     const nlohmann::json body = parseJson(response.body);
//     const auto version = body.is_object() && body.contains("version") ? numberAs<std::uint64_t>(body["version"]) : std::nullopt;

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace dragonflytray {

inline constexpr std::size_t maxNestingDepth = 32; // arrays and objects within each other; no message needs ten

// parseJson() returns the value of a JSON text, or a discarded value if the text is invalid or nested too deeply.
nlohmann::json parseJson(std::string_view text);

// parseCbor() returns the value of CBOR bytes, or a discarded value if they are invalid, nested too deeply, have more than
// `maxItems` items, or contain tags or items of indefinite length, which to_cbor() does not write. An empty map takes one byte on
// the wire and 80 bytes of memory.
nlohmann::json parseCbor(std::string_view bytes, std::size_t maxItems = std::numeric_limits<std::size_t>::max());

// serializeJson() returns the JSON text of a value, on one line or, if `indent` is not negative, on indented lines. Bytes that
// are not UTF-8 are replaced by U+FFFD; nlohmann::json::dump() throws at them.
std::string serializeJson(const nlohmann::json& json, int indent = -1);

// numberAs() returns the value of a JSON number, or nothing if `json` is not a number or `Number` cannot represent it. A
// fraction is truncated if `Number` is an integer type.
template <typename Number>
std::optional<Number> numberAs(const nlohmann::json& json)
{
    static_assert(std::is_arithmetic_v<Number> && !std::is_same_v<Number, bool>);
    if (!json.is_number())
        return std::nullopt;
    if constexpr (std::is_floating_point_v<Number>) {
        return json.get<Number>();
    } else {
        using Limits = std::numeric_limits<Number>;
        if (json.is_number_float()) {
            const double value = std::trunc(json.get<double>());
            const double end = std::ldexp(1.0, Limits::digits); // the first value above the range; max() may round up to it
            const bool isInRange = value < end && value >= static_cast<double>(Limits::min());
            return isInRange ? std::optional(static_cast<Number>(value)) : std::nullopt;
        }
        if (json.is_number_unsigned()) {
            const auto value = json.get<std::uint64_t>();
            return std::in_range<Number>(value) ? std::optional(static_cast<Number>(value)) : std::nullopt;
        }
        const auto value = json.get<std::int64_t>();
        return std::in_range<Number>(value) ? std::optional(static_cast<Number>(value)) : std::nullopt;
    }
}

// fieldOr() returns the field `name`, or `fallback` if it is absent, of another JSON type, or outside the range of
// `Value`.
template <typename Value>
Value fieldOr(const nlohmann::json& json, const char* name, Value fallback)
{
    const auto found = json.find(name);
    if (found == json.end())
        return fallback;
    if constexpr (std::is_same_v<Value, std::string>)
        return found->is_string() ? found->get<std::string>() : fallback;
    else if constexpr (std::is_same_v<Value, bool>)
        return found->is_boolean() ? found->get<bool>() : fallback;
    else
        return numberAs<Value>(*found).value_or(fallback);
}

} // namespace dragonflytray
