// Every logged line is one JSON object, whatever bytes other processes sent: a line that could not be composed would end the
// process.

#include "telemetry/captured_log.h"

#include "json/message_mutator.h"
#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    constexpr std::uint64_t messages = 3000;
    constexpr std::uint64_t firstSeed = 20261207;

    struct LogFixture {
        CapturedLog log;
    };

    TEST_CASE_METHOD(LogFixture, "LogFields_valueIsNotUtf8_lineIsJson")
    {
        logFields(LogPart::Scheduling, "job-refused", { { "id", "/abc/\xe7" }, { "worker", std::string("\0\x80", 2) }, { "outcome", "unknown-route" } });
        const nlohmann::json line = this->log.takeLine();
        CHECK(line["id"] == "/abc/\xef\xbf\xbd");
        CHECK(line["worker"] == std::string("\0\xef\xbf\xbd", 4));
        CHECK(line["outcome"] == "unknown-route");
        CHECK(line["part"] == "scheduling");
    }

    TEST_CASE_METHOD(LogFixture, "LogSentence_textIsNotUtf8_lineIsJson")
    {
        logError(LogPart::Daemon, "The file \xff\xfe cannot be read.");
        CHECK(this->log.takeLine()["message"] == "The file \xef\xbf\xbd\xef\xbf\xbd cannot be read.");
    }

    TEST_CASE_METHOD(LogFixture, "LogFields_textIsUtf8_textIsKept")
    {
        const std::string text = "/a\xc3\xa7\xc3\xa3o \"%msg\" %level\n\t\\\x7f";
        logFields(LogPart::Scheduling, "job-refused", { { "id", text } });
        CHECK(this->log.takeLine()["id"] == text);
    }

    TEST_CASE_METHOD(LogFixture, "LogFields_randomBytes_lineIsJson")
    {
        for (std::uint64_t seed = firstSeed; seed < firstSeed + messages; ++seed) {
            INFO("seed " << seed);
            MessageMutator mutator(seed);
            std::string text = "text";
            for (std::size_t count = mutator.randomBelow(20); count > 0; --count)
                text += static_cast<char>(mutator.randomBelow(256));
            REQUIRE_NOTHROW(logFields(LogPart::Scheduling, "job-refused", { { "id", text }, { "outcome", mutator.damageBytes(text) } }));
            CHECK(this->log.takeLine()["event"] == "job-refused");
            REQUIRE_NOTHROW(logInfo(LogPart::Daemon, text));
            CHECK(this->log.takeLine()["level"] == "info");
            CHECK(this->log.takeLine().is_null());
        }
    }

} // namespace
} // namespace dragonflytray
