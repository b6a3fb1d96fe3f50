#include "entry/entry_settings.h"

#include <catch2/catch.hpp>

namespace dragonflytray {

namespace {

    // EntrySettingsFixture has the text of whole settings.
    class EntrySettingsFixture {
    protected:
        std::string text = "host: a\ndataCentre: rs-poa\nentry:\n  callers: 127.0.0.1:8161\n  readiness: 127.0.0.1:8167\n  store: 127.0.0.1:8169\n  processorShare: 0.1\n  leaseLimitMilliseconds: 6000\n  dataCentres:\n    - { name: rs-poa, region: sul-rs }\nlog:\n  format: json\n";
    };

} // namespace

TEST_CASE_METHOD(EntrySettingsFixture, "EntrySettings_wholeText_isRead")
{
    const auto settings = parseEntrySettings(this->text, "entry.yaml");
    REQUIRE(settings);
    CHECK(settings->callers.port == 8161);
    CHECK(settings->dataCentres.size() == 1);
    CHECK(settings->leadershipScope == LeadershipScope::Whole);
    CHECK(schedulerOptions(*settings).dispatcher.fleet.lease == std::chrono::milliseconds(4500));
    CHECK(isEntrySettings(this->text, "entry.yaml"));
}

TEST_CASE_METHOD(EntrySettingsFixture, "EntrySettings_severalFaults_areReportedTogether")
{
    const auto settings = parseEntrySettings("host: a\ndataCentre: b\nentry:\n  callers: nowhere\n  store: 127.0.0.1:1\n  sorte: 1\n", "entry.yaml");
    REQUIRE_FALSE(settings);
    CHECK(settings.error().all().size() >= 3);
}

TEST_CASE_METHOD(EntrySettingsFixture, "EntrySettings_textOfTheOtherDaemon_isToldApart")
{
    CHECK_FALSE(isEntrySettings("host: a\ncallers: 127.0.0.1:1\n", "daemon.yaml"));
}

} // namespace dragonflytray
