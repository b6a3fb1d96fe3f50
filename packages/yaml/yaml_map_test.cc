#include "yaml/yaml.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    struct YamlMapFixture {
        Findings findings;

        YamlMap parse(const std::string& text) { return YamlMap::parse(text, "a.yaml", this->findings); }
    };

    TEST_CASE_METHOD(YamlMapFixture, "YamlMap_unknownKey_isFoundWithPlaceAndHint")
    {
        YamlMap map = this->parse("name: x\nprot: 7\n");
        map.text("name");
        map.number("port", { .fallback = 1 });
        map.finish();

        CHECK(this->findings.text() == "a.yaml:2:1: unknown key `prot` (did you mean `port`?)\n");
    }

    TEST_CASE_METHOD(YamlMapFixture, "YamlMap_numberOutOfRange_isFoundWithBounds")
    {
        YamlMap map = this->parse("port: 70000\n");
        map.number("port", { .minimum = 1, .maximum = 65535 });

        CHECK(this->findings.text() == "a.yaml:1:7: `port` is out of range (at least 1, at most 65535)\n");
    }

    TEST_CASE_METHOD(YamlMapFixture, "YamlMap_malformedText_isOneFinding")
    {
        this->parse("a: [1\nb: }");

        CHECK(this->findings.all().size() == 1);
    }

} // namespace
} // namespace dragonflytray
