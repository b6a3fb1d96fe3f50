#include "gateway/gateway.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    struct CallerDecodingFixture {
        Instant now { std::chrono::seconds(100) };

        tl::expected<CallerCall, HttpResponse> decode(HttpRequest request) const { return decodeCall(std::move(request), ReplyToken(1), this->now); }
    };

    TEST_CASE_METHOD(CallerDecodingFixture, "DecodeCall_wholeRequest_carriesDeadlineOnOwnClock")
    {
        auto call = this->decode({ .method = HttpMethod::Post, .target = "/v1/services/checks/requests", .headers = { { "request-id", "r1" }, { "team", "desk" }, { "deadline-milliseconds", "250" } }, .body = "x" });

        REQUIRE(call);
        const Request& request = std::get<SubmitRequest>(*call).request;
        CHECK(request.deadline == this->now + std::chrono::milliseconds(250));
        CHECK(*request.body == "x");
    }

    TEST_CASE_METHOD(CallerDecodingFixture, "DecodeCall_missingRequestId_answers400WithReason")
    {
        auto call = this->decode({ .method = HttpMethod::Post, .target = "/v1/services/checks/requests", .headers = {}, .body = "x" });

        REQUIRE_FALSE(call);
        CHECK(call.error().status == 400);
        CHECK(call.error().body.find("malformed") != std::string::npos);
    }

    TEST_CASE_METHOD(CallerDecodingFixture, "DecodeCall_jobWithWrongType_answers400")
    {
        auto call = this->decode({ .method = HttpMethod::Post, .target = "/v1/jobs", .headers = {}, .body = R"({"id":"j","processors":"many"})" });

        REQUIRE_FALSE(call);
        CHECK(call.error().status == 400);
    }

    TEST_CASE_METHOD(CallerDecodingFixture, "DecodeCall_unknownPath_answers404")
    {
        auto call = this->decode({ .target = "/v2/everything", .headers = {}, .body = {} });

        REQUIRE_FALSE(call);
        CHECK(call.error().status == 404);
    }

} // namespace
} // namespace dragonflytray
