#include "daemon/settings.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    struct SettingsFixture {
        std::string text = R"(host: entry-1
dataCentre: rs-poa
region: sul-rs
callers: 127.0.0.1:8080
peers: 127.0.0.1:8081
platform: 127.0.0.1:9000
)";
    };

    TEST_CASE_METHOD(SettingsFixture, "ParseSettings_wellFormedFile_isRead")
    {
        auto settings = parseSettings(this->text, "a.yaml");

        REQUIRE(settings);
        CHECK(settings->callers == Endpoint { "127.0.0.1", 8080 });
    }

    TEST_CASE_METHOD(SettingsFixture, "ParseSettings_fiveFaults_reportsFiveFindingsWithPlaces")
    {
        auto settings = parseSettings("host: entry-1\ndataCenter: rs-poa\nregion: sul-rs\ncallers: nowhere\npeers: 127.0.0.1:8081\nplatform: 127.0.0.1:9000\nlimits: { bodyBytes: -1 }\nlog: { level: loud }\n", "a.yaml");

        REQUIRE_FALSE(settings);
        CHECK(settings.error().text() == "a.yaml:1:1: the key `dataCentre` is missing\n"
                                         "a.yaml:2:1: unknown key `dataCenter` (did you mean `dataCentre`?)\n"
                                         "a.yaml:4:10: `callers` must be an IP address and a port (for example 127.0.0.1:8080)\n"
                                         "a.yaml:7:22: `bodyBytes` is out of range (at least 1, at most 1000000000)\n"
                                         "a.yaml:8:15: `loud` is not a known value of `level` (one of: error warning info debug)\n");
    }

} // namespace
} // namespace dragonflytray
