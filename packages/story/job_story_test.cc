#include "story/story.h"

#include <catch2/catch.hpp>

namespace dragonflytray {

namespace {

    constexpr const char* job = "0795a533e803f471";

    // Lines of two hosts about one job.
    struct JobStoryFixture {
        JobStory story { job };

        void line(const std::string& host, const std::string& second, const std::string& event, const std::string& id, const std::string& outcome, long age = 0)
        {
            this->story.add(host, R"({"time":"2026-05-17T20:53:)" + second + R"(","ageMs":")" + std::to_string(age) + R"(","event":")" + event + R"(","id":")" + id + R"(","outcome":")" + outcome + R"(","part":"scheduling"})");
        }

        void task(const std::string& second, const std::string& event, const std::string& outcome, long age = 0)
        {
            this->line("entry-1", second, event, std::string(job) + ".0.0.3#1", outcome, age);
        }
    };

} // namespace

TEST_CASE_METHOD(JobStoryFixture, "JobStory_refusedJob_saysSo")
{
    this->line("entry-1", "39.088", "job-refused", job, "store-unavailable");
    CHECK(this->story.cause() == StoryCause::Refused);
}

TEST_CASE_METHOD(JobStoryFixture, "JobStory_lateForRoom_saysSo")
{
    this->line("entry-2", "39.000", "job-accepted", job, "committed");
    this->task("41.500", "task-started", "placed", 2500);
    this->task("42.500", "task-ended", "done");
    this->line("entry-1", "42.510", "job-completed", job, "completed");
    CHECK(this->story.cause() == StoryCause::WaitedForRoom);
}

TEST_CASE_METHOD(JobStoryFixture, "JobStory_pacedRun_saysSlowed")
{
    this->task("39.100", "task-started", "placed");
    this->task("39.500", "task-paced", "5");
    this->task("42.500", "task-ended", "done");
    CHECK(this->story.cause() == StoryCause::Slowed);
}

TEST_CASE_METHOD(JobStoryFixture, "JobStory_writeRetriedAtTheEnd_saysNotRecorded")
{
    this->task("39.100", "task-started", "placed");
    this->line("entry-1", "40.000", "write-retried", "1743", "unavailable");
    this->line("entry-1", "41.000", "job-completed", job, "completed");
    CHECK(this->story.cause() == StoryCause::NotRecorded);
}

TEST_CASE_METHOD(JobStoryFixture, "JobStory_leaderLostInBetween_saysLeaderChanged")
{
    this->task("39.100", "task-started", "placed");
    this->line("entry-2", "40.000", "leadership-taken", "whole", "lease-recorded");
    this->line("entry-2", "41.000", "job-completed", job, "completed");
    CHECK(this->story.cause() == StoryCause::LeaderChanged);
    CHECK(this->story.lines().size() == 3);
}

TEST_CASE_METHOD(JobStoryFixture, "JobStory_linesOutOfOrder_areOrderedByTime")
{
    this->task("42.500", "task-ended", "done");
    this->task("39.100", "task-started", "placed");
    CHECK(this->story.lines().front().event == "task-started");
}

TEST_CASE_METHOD(JobStoryFixture, "JobStory_damagedInput_isExplainedAsFarAsItGoes")
{
    this->story.add("entry-1", R"({"time":"2026-05-17T20:53:39.088","event":"job-acc)");
    this->story.add("entry-1", "Segmentation of the log began here");
    this->story.add("entry-1", R"({"event":"task-started"})");
    this->line("entry-1", "39.100", "task-vanished", job, "unheard-of");
    this->line("entry-1", "39.200", "task-started", "", "summed");
    CHECK(this->story.cause() == StoryCause::NotKnown);
    CHECK(this->story.lines().size() == 1);
    CHECK(this->story.remarks().size() == 4);
}

TEST_CASE_METHOD(JobStoryFixture, "JobStory_clocksDiffer_isRemarked")
{
    this->task("36.100", "task-started", "placed");
    this->task("37.100", "task-ended", "done");
    this->line("entry-2", "39.000", "job-accepted", job, "committed");
    REQUIRE(this->story.remarks().size() == 1);
    CHECK(this->story.remarks().front().find("clocks") != std::string::npos);
}

TEST_CASE("ParseLogLine_collectorPrefix_namesTheHost")
{
    const auto line = parseLogLine("file", R"(  12.5 frontend-2 {"time":"2026-05-17T20:53:39.088","event":"job-accepted"})");
    REQUIRE(line);
    CHECK(line->host == "frontend-2");
}

TEST_CASE_METHOD(JobStoryFixture, "JobStory_lineIsNestedDeeply_countsAsCut")
{
    const std::string text = R"({"time":"2026-05-17T20:53:39.088","id":)" + std::string(200'000, '[') + std::string(200'000, ']') + "}";
    const auto line = parseLogLine("entry-1", text);
    REQUIRE_FALSE(line);
    CHECK(line.error() == LineFault::Cut);
}

} // namespace dragonflytray
