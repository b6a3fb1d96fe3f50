// A message that is nested deeply, or holds a number that its field can't represent, must neither end the process nor
// become another value.

#include "json/json.h"

#include <catch2/catch.hpp>

namespace dragonflytray {

namespace {

    // DamagedMessageFixture builds messages as a faulty writer may leave them.
    struct DamagedMessageFixture {
        static std::string repeat(const std::string& text, std::size_t count)
        {
            std::string result;
            for (std::size_t i = 0; i < count; ++i)
                result += text;
            return result;
        }

        static std::string cborOf(const nlohmann::json& value)
        {
            std::string bytes;
            nlohmann::json::to_cbor(value, bytes);
            return bytes;
        }
    };

} // namespace

TEST_CASE_METHOD(DamagedMessageFixture, "ParseJson_deeplyNestedText_isDiscarded")
{
    const std::size_t depth = GENERATE(maxNestingDepth + 1, 100'000, 5'000'000);
    CHECK(parseJson(repeat("[", depth)).is_discarded());
    CHECK(parseJson(repeat(R"({"a":)", depth)).is_discarded());
    CHECK(parseJson(repeat("[", depth) + repeat("]", depth)).is_discarded());
    CHECK(parseJson(R"({"entry":)" + repeat(R"({"a":)", depth) + "1" + repeat("}", depth + 1)).is_discarded());
}

TEST_CASE_METHOD(DamagedMessageFixture, "ParseJson_bracketsWithinStrings_areNotNesting")
{
    const std::string brackets = repeat(R"([{\"\\)", 100);
    const nlohmann::json value = parseJson(R"({"a":")" + brackets + R"(","b":[[],[]]})");
    REQUIRE(value.is_object());
    CHECK(value["a"].get<std::string>() == repeat(R"([{"\)", 100));
    CHECK_FALSE(parseJson(repeat("[", maxNestingDepth) + repeat("]", maxNestingDepth)).is_discarded());
}

TEST_CASE_METHOD(DamagedMessageFixture, "ParseCbor_deeplyNestedBytes_areDiscarded")
{
    const std::size_t depth = GENERATE(maxNestingDepth + 1, 100'000, 10'000'000);
    for (const char* opening : { "\x81", "\xa1\x61\x61", "\x9f", "\xbf\x61\x61", "\x5f", "\x7f", "\xc1" }) {
        INFO("opening byte " << static_cast<int>(static_cast<unsigned char>(*opening)));
        CHECK(parseCbor(repeat(opening, depth)).is_discarded());
        CHECK(parseCbor(repeat(opening, depth) + "\x01").is_discarded());
    }
}

TEST_CASE_METHOD(DamagedMessageFixture, "ParseCbor_everyKindOfValue_isReadBack")
{
    const nlohmann::json value { { "text", "a" }, { "numbers", { 0, -1, 24, 70000, 1e300, -5000000000 } }, { "flags", { true, false, nullptr } }, { "map", { { "long", std::string(300, 'x') } } }, { "bytes", nlohmann::json::binary({ 1, 2 }) } };
    CHECK(parseCbor(cborOf(value)) == value);
}

// Guards against bytes that take many times their size once they are parsed.
TEST_CASE_METHOD(DamagedMessageFixture, "ParseCbor_moreItemsThanAllowed_areDiscarded")
{
    const std::string bytes = cborOf({ 1, { { "a", 2 } }, nlohmann::json::array() }); // an array, 1, a map, its key and value, an array
    CHECK_FALSE(parseCbor(bytes, 6).is_discarded());
    CHECK(parseCbor(bytes, 5).is_discarded());
}

TEST_CASE_METHOD(DamagedMessageFixture, "ParseCbor_truncatedOrTrailingBytes_areDiscarded")
{
    const std::string bytes = cborOf({ { "labels", { "a", "b" } }, { "count", 70000 } });
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK(parseCbor(bytes.substr(0, size)).is_discarded());
    CHECK(parseCbor(bytes + "\x01").is_discarded());
    CHECK(parseCbor(std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9)).is_discarded());
}

TEST_CASE_METHOD(DamagedMessageFixture, "NumberAs_valueOutsideTheType_isNothing")
{
    CHECK_FALSE(numberAs<std::int64_t>(1e20));
    CHECK_FALSE(numberAs<std::int64_t>(-1e20));
    CHECK_FALSE(numberAs<std::int64_t>(9223372036854775808.0));
    CHECK_FALSE(numberAs<std::int64_t>(std::uint64_t { 1 } << 63U));
    CHECK_FALSE(numberAs<std::uint64_t>(-1));
    CHECK_FALSE(numberAs<std::uint64_t>(18446744073709551616.0));
    CHECK_FALSE(numberAs<std::uint32_t>(std::uint64_t { 1 } << 32U));
    CHECK_FALSE(numberAs<std::uint16_t>(65536));
    CHECK_FALSE(numberAs<int>(3e9));
    CHECK_FALSE(numberAs<std::int64_t>(std::numeric_limits<double>::quiet_NaN()));
    CHECK_FALSE(numberAs<std::int64_t>("7"));
    CHECK_FALSE(numberAs<std::int64_t>(nullptr));
}

TEST_CASE_METHOD(DamagedMessageFixture, "NumberAs_valueWithinTheType_isKept")
{
    CHECK(numberAs<std::int64_t>(std::numeric_limits<std::int64_t>::min()) == std::numeric_limits<std::int64_t>::min());
    CHECK(numberAs<std::uint64_t>(std::numeric_limits<std::uint64_t>::max()) == std::numeric_limits<std::uint64_t>::max());
    CHECK(numberAs<std::uint32_t>(4294967295U) == 4294967295U);
    CHECK(numberAs<int>(-2147483648.0) == std::numeric_limits<int>::min());
    CHECK(numberAs<std::int64_t>(2.9) == 2);
    CHECK(numberAs<double>(3) == 3.0);
}

TEST_CASE_METHOD(DamagedMessageFixture, "SerializeJson_textIsNotUtf8_isReplaced")
{
    CHECK(serializeJson({ { "a\xe7", "\xff" } }) == "{\"a\xef\xbf\xbd\":\"\xef\xbf\xbd\"}");
    CHECK(serializeJson({ 1, "\xc3\xa7" }, 1) == "[\n 1,\n \"\xc3\xa7\"\n]");
}

} // namespace dragonflytray
