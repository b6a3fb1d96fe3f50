#include "load/load_stream.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    struct LoadStreamFixture {
        Findings findings;
    };

    TEST_CASE_METHOD(LoadStreamFixture, "ParseLoadStream_wholeLine_isRead")
    {
        LoadStream stream = parseLoadStream("name=flood,team=a,service=s,priority=urgent,rate=250.5,from=2,seconds=3", this->findings);

        CHECK(this->findings.isEmpty());
        CHECK(stream.priority == Priority::Urgent);
        CHECK(stream.rate == 250.5);
        CHECK(stream.from == std::chrono::seconds(2));
    }

    TEST_CASE_METHOD(LoadStreamFixture, "ParseLoadStream_threeFaults_reportsEachWithItsColumn")
    {
        parseLoadStream("name=a,rate=fast,sped=3,priority=high", this->findings);

        CHECK(this->findings.text() == "--stream:1:8: `fast` is not a usable value of `rate`\n"
                                       "--stream:1:18: unknown key `sped`\n"
                                       "--stream:1:25: `high` is not a usable value of `priority`\n");
    }

} // namespace
} // namespace dragonflytray
