#pragma once

// Tables that map enumerators to the names used in logs, metric labels, YAML and JSON, and back.
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

// indexOf() converts an enumerator to an array index. The enumeration must count up from 0.
template <typename Enum>
constexpr std::size_t indexOf(Enum value)
{
    return static_cast<std::size_t>(value);
}

// NameTable holds the name of every enumerator, in the order of declaration. Immutable, thus thread-safe.
template <typename Enum, std::size_t Count>
class NameTable {
public:
    constexpr explicit NameTable(std::array<NameEntry<Enum>, Count> entries)
        : entries(entries)
    {
    }

    // size() is the number of enumerators.
    static constexpr std::size_t size() { return Count; }

    // isWhole() says whether the entries are all enumerators from the first to `last`, in order.
    constexpr bool isWhole(Enum last) const
    {
        for (std::size_t i = 0; i < Count; ++i) {
            if (indexOf(this->entries[i].value) != i)
                return false;
        }
        return Count == indexOf(last) + 1;
    }

    // nameOf() returns the name of `value`, which must be in the table. Constant time.
    constexpr std::string_view nameOf(Enum value) const { return this->entries[indexOf(value)].name; }

    // parse() returns the enumerator with exactly this name, or nullopt. Linear in the size of the table.
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

// EnumArray is an array of `Count` values that is indexed by enumerator.
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
