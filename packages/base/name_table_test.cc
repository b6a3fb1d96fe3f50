#include "base/name_table.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    enum class Colour {
        Red,
        Green,
    };

    constexpr NameTable colourNames { std::to_array<NameEntry<Colour>>({
        { Colour::Red, "red" },
        { Colour::Green, "green" },
    }) };
    static_assert(colourNames.isWhole(Colour::Green));
    static_assert(!colourNames.isWhole(Colour::Red));

    struct NameTableFixture {
    };

    TEST_CASE_METHOD(NameTableFixture, "NameTable_knownName_parsesToEnumerator")
    {
        CHECK(colourNames.parse("green") == Colour::Green);
        CHECK(colourNames.nameOf(Colour::Red) == "red");
    }

    TEST_CASE_METHOD(NameTableFixture, "NameTable_unknownName_parsesToNullopt")
    {
        CHECK_FALSE(colourNames.parse("blue").has_value());
    }

} // namespace
} // namespace dragonflytray
