#pragma once

// Tables of names for enumerations. One list gives the names to logs, metric labels, YAML and JSON.
//
// Example:
//
//     enum class Colour { Red, Green };
//     inline constexpr NameTable colourNames { std::to_array<NameEntry<Colour>>({
//         { Colour::Red, "red" }, { Colour::Green, "green" } }) };
//     static_assert(colourNames.isWhole(Colour::Green));

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace dragonflytray {

// NameEntry pairs one enumerator with its name.
template <typename Enum>
struct NameEntry {
    Enum value;
    std::string_view name;
};

// indexOf() is the position of an enumerator in its enumeration.
template <typename Enum>
constexpr std::size_t indexOf(Enum value)
{
    return static_cast<std::size_t>(value);
}

// NameTable holds the name of every enumerator, in the order of the enumeration. Immutable.
template <typename Enum, std::size_t Count>
class NameTable {
public:
    constexpr explicit NameTable(std::array<NameEntry<Enum>, Count> entries)
        : entries(entries)
    {
    }

    // size() is the number of enumerators.
    static constexpr std::size_t size() { return Count; }

    // isWhole() says whether the entries run from the first enumerator to `last` without a gap.
    constexpr bool isWhole(Enum last) const
    {
        for (std::size_t i = 0; i < Count; ++i) {
            if (indexOf(this->entries[i].value) != i)
                return false;
        }
        return Count == indexOf(last) + 1;
    }

    // nameOf() is the name of `value`. Constant time.
    constexpr std::string_view nameOf(Enum value) const { return this->entries[indexOf(value)].name; }

    // parse() finds the enumerator called `name`, or nothing. Linear in the table's size.
    constexpr std::optional<Enum> parse(std::string_view name) const
    {
        for (const auto& entry : this->entries) {
            if (entry.name == name)
                return entry.value;
        }
        return std::nullopt;
    }

    constexpr auto begin() const { return this->entries.begin(); }
    constexpr auto end() const { return this->entries.end(); }

private:
    std::array<NameEntry<Enum>, Count> entries;
};

// EnumArray holds one `Value` for each enumerator up to the table's size.
template <typename Enum, typename Value, std::size_t Count>
class EnumArray {
public:
    constexpr Value& operator[](Enum key) { return this->values[indexOf(key)]; }
    constexpr const Value& operator[](Enum key) const { return this->values[indexOf(key)]; }
    constexpr auto begin() const { return this->values.begin(); }
    constexpr auto end() const { return this->values.end(); }

    bool operator==(const EnumArray&) const = default;

private:
    std::array<Value, Count> values {};
};

} // namespace dragonflytray
