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
    CHECK(schedulerOptions(*settings).dispatcher.fleet.maxLease == std::chrono::milliseconds(6000));
    CHECK(isEntrySettings(this->text, "entry.yaml"));
}

TEST_CASE_METHOD(EntrySettingsFixture, "EntrySettings_agentAndLink_areWhatTheHostSaysOfItself")
{
    const std::string entry = "entry:\n";
    std::string text = this->text;
    text.insert(text.find(entry) + entry.size(), "  agent: 127.0.0.1:7720\n  linkMegabits: 20\n");
    const auto settings = parseEntrySettings(text, "entry.yaml");
    REQUIRE(settings);
    const Scheduler::Options options = schedulerOptions(*settings);
    CHECK(options.ownEntry.agent.port == 7720);
    CHECK(options.ownEntry.dataCentre == DataCentreName("rs-poa"));
    CHECK(options.dispatcher.agents.self == HostName("a"));
    CHECK(options.dispatcher.agents.linkMegabits == 20);
    text.replace(text.find("linkMegabits: 20"), 16, "linkMegabits: -2");
    CHECK_FALSE(parseEntrySettings(text, "entry.yaml"));
}

TEST_CASE_METHOD(EntrySettingsFixture, "EntrySettings_severalFaults_areReportedTogether")
{
    const auto settings = parseEntrySettings("host: a\ndataCentre: b\nentry:\n  callers: nowhere\n  store: 127.0.0.1:1\n  sorte: 1\n", "entry.yaml");
    REQUIRE_FALSE(settings);
    CHECK(settings.error().all().size() >= 3);
}

TEST_CASE_METHOD(EntrySettingsFixture, "EntrySettings_limitsOfChanges_boundTheAgeOfViews")
{
    const std::string entry = "entry:\n";
    std::string text = this->text;
    text.insert(text.find(entry) + entry.size(), "  cancellationLimitMilliseconds: 4000\n  drainingLimitMilliseconds: 3000\n");
    const auto settings = parseEntrySettings(text, "entry.yaml");
    REQUIRE(settings);
    const Dispatcher::Options options = schedulerOptions(*settings).dispatcher;
    CHECK(options.maxJobsViewAge + options.startValidity == std::chrono::milliseconds(4000));
    CHECK(options.maxWorkersViewAge + options.startValidity == std::chrono::milliseconds(3000));
    text.replace(text.find("3000"), 4, "2999");
    CHECK_FALSE(parseEntrySettings(text, "entry.yaml"));
}

TEST_CASE_METHOD(EntrySettingsFixture, "EntrySettings_evacuationLimit_isOptional")
{
    const std::string entry = "entry:\n";
    std::string text = this->text;
    REQUIRE(parseEntrySettings(text, "entry.yaml"));
    CHECK(schedulerOptions(*parseEntrySettings(text, "entry.yaml")).dispatcher.maxEvacuationsViewAge == Duration(0));
    text.insert(text.find(entry) + entry.size(), "  evacuationLimitMilliseconds: 5000\n");
    const auto settings = parseEntrySettings(text, "entry.yaml");
    REQUIRE(settings);
    const Dispatcher::Options options = schedulerOptions(*settings).dispatcher;
    CHECK(options.maxEvacuationsViewAge + options.startValidity == std::chrono::milliseconds(5000));
    text.replace(text.find("5000"), 4, "2999");
    CHECK_FALSE(parseEntrySettings(text, "entry.yaml"));
}

TEST_CASE_METHOD(EntrySettingsFixture, "EntrySettings_cancellationLimit_leavesTimeToReadCancellationsTwice")
{
    constexpr Duration writeTimeout = std::chrono::seconds(1); // of the store duty
    for (const auto* limit : { "3000", "4000", "20000" }) {
        const std::string entry = "entry:\n";
        std::string text = this->text;
        text.insert(text.find(entry) + entry.size(), std::string("  cancellationLimitMilliseconds: ") + limit + "\n");
        const auto settings = parseEntrySettings(text, "entry.yaml");
        REQUIRE(settings);
        const CancellationCheck::Options options = schedulerOptions(*settings).cancellationCheck;
        CHECK(options.maxAge >= std::chrono::seconds(1)); // a leader that is up to date reads none
        CHECK(options.maxAge + options.interval + options.repeatInterval + options.interval + writeTimeout <= settings->cancellationLimit);
    }
}

TEST_CASE_METHOD(EntrySettingsFixture, "CallerLimits_hostIsNotKnown_areThoseOfTheSettings")
{
    EntrySettings settings;
    settings.connections = 700;
    const CallerLimits limits = callerLimits(settings);
    CHECK(limits.connections == 700);
    CHECK(limits.receiveBudget == 32 << 20);
}

// Guards against callers that take the descriptors which workers, the store and files need.
TEST_CASE_METHOD(EntrySettingsFixture, "CallerLimits_descriptorsAreKnown_leaveRoomForOtherUsers")
{
    const std::string entry = "entry:\n";
    std::string text = this->text;
    text.insert(text.find(entry) + entry.size(), "  connections: 4100\n  descriptors: 4100\n  memoryMegabytes: 160\n");
    auto settings = parseEntrySettings(text, "entry.yaml");
    REQUIRE(settings);
    CHECK(callerLimits(*settings).connections == 1950);
    CHECK(callerLimits(*settings).receiveBudget == 20 << 20);
    settings->memoryMegabytes = 64;
    CHECK(callerLimits(*settings).connections == 1024);
    settings->descriptors = 150;
    CHECK(callerLimits(*settings).connections == 16);
}

TEST_CASE_METHOD(EntrySettingsFixture, "AgentConnections_descriptorsAreKnown_areAThirdOfThem")
{
    EntrySettings settings;
    settings.descriptors = 4100;
    CHECK(agentConnections(settings) == 1300);
    settings.descriptors = 150;
    CHECK(agentConnections(settings) == 16);
}

TEST_CASE_METHOD(EntrySettingsFixture, "EntrySettings_longestRetryAfter_isOffUnlessGivenWithinItsBounds")
{
    const auto withEntry = [&](const std::string& line) { return parseEntrySettings(std::string(this->text).insert(this->text.find("  callers"), line), "entry.yaml"); };
    CHECK(schedulerOptions(withEntry("").value()).clientRequests.longestRetryAfter == Duration(0));
    CHECK(schedulerOptions(withEntry("  longestRetryAfterMilliseconds: 8000\n").value()).clientRequests.longestRetryAfter == std::chrono::seconds(8));
    CHECK_FALSE(withEntry("  longestRetryAfterMilliseconds: 999\n"));
    CHECK_FALSE(withEntry("  longestRetryAfterMilliseconds: 60001\n"));
}

TEST_CASE_METHOD(EntrySettingsFixture, "EntrySettings_observationOfRuns_isOffUnlessAskedFor")
{
    CHECK_FALSE(schedulerOptions(*parseEntrySettings(this->text, "entry.yaml")).dispatcher.learnsRunTimes);
    CHECK_FALSE(schedulerOptions(*parseEntrySettings(this->text, "entry.yaml")).dispatcher.judgesWorkers);
    this->text.insert(this->text.find("  callers:"), "  learnsRunTimes: true\n  judgesWorkers: true\n");
    const auto settings = parseEntrySettings(this->text, "entry.yaml");
    REQUIRE(settings);
    CHECK(schedulerOptions(*settings).dispatcher.learnsRunTimes);
    CHECK(schedulerOptions(*settings).dispatcher.judgesWorkers);
}

TEST_CASE_METHOD(EntrySettingsFixture, "EntrySettings_admission_isOffUnlessAsked")
{
    const Scheduler::Options former = schedulerOptions(parseEntrySettings(this->text, "entry.yaml").value());
    CHECK_FALSE((former.dispatcher.sharesCapacity || former.dispatcher.publishesForecast || former.refusesHopeless));
    const std::string entry = "entry:\n";
    std::string text = this->text;
    text.insert(text.find(entry) + entry.size(), "  admission: { shares: true, refusesHopeless: true }\n");
    const Scheduler::Options options = schedulerOptions(parseEntrySettings(text, "entry.yaml").value());
    CHECK((options.dispatcher.sharesCapacity && options.dispatcher.publishesForecast && options.refusesHopeless));
    text.replace(text.find("shares: true"), 12, "share: true");
    CHECK_FALSE(parseEntrySettings(text, "entry.yaml"));
}

TEST_CASE_METHOD(EntrySettingsFixture, "EntrySettings_textOfTheOtherDaemon_isToldApart")
{
    CHECK_FALSE(isEntrySettings("host: a\ncallers: 127.0.0.1:1\n", "daemon.yaml"));
}

} // namespace dragonflytray
