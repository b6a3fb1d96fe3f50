#include "routing/routing_fixture.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    // The teams `desk` (weight 1), `lab` (weight 3) and `small` (at most two requests in flight). Four slots; a queue of
    // eight.
    struct AdmissionFixture : RoutingFixture {
        AdmissionFixture()
        {
            Declaration declaration;
            declaration.teams = { { .name = TeamName("desk") }, { .name = TeamName("lab"), .weight = 3 }, { .name = TeamName("small"), .maxRequestsInFlight = 2 } };
            declaration.services = { { .name = ServiceName("checks"), .queueLimit = 8 } };
            this->routing.handle(ChangeConfiguration { { 2, std::make_shared<Declaration>(declaration) } }, this->now);
        }

        Outcome outcomeOf(const RoutingEffects& effects) { return std::get<ReplyToCaller>(effects.at(0)).outcome; }

        RoutingEffects submitAs(const std::string& team, const std::string& id, Priority priority = Priority::Normal)
        {
            Request request = this->makeRequest(id, Idempotency::Idempotent);
            request.team = TeamName(team);
            request.priority = priority;
            return this->submit(request);
        }

        // drain() answers the first `attempts` attempts in order, and returns the ids of the requests sent meanwhile.
        std::vector<std::string> drain(std::uint64_t attempts)
        {
            std::vector<std::string> sent;
            for (std::uint64_t attempt = 1; attempt <= attempts; ++attempt) {
                for (const RoutingEffect& effect : this->routing.handle(RunnerAnswered { AttemptId(attempt), {} }, this->now)) {
                    if (const auto* send = std::get_if<SendToRunner>(&effect))
                        sent.push_back(send->request.id.value());
                }
            }
            return sent;
        }

        void fillSlots()
        {
            for (int i = 0; i < 4; ++i)
                this->submitAs("desk", "slot" + std::to_string(i));
        }
    };

    TEST_CASE_METHOD(AdmissionFixture, "FairQueue_teamsOfWeightsOneAndThree_areServedOneToThree")
    {
        this->fillSlots();
        for (int i = 0; i < 4; ++i) {
            this->submitAs("desk", "desk");
            this->submitAs("lab", "lab");
        }

        const auto sent = this->drain(4);

        CHECK(std::count(sent.begin(), sent.end(), "lab") == 3);
        CHECK(std::count(sent.begin(), sent.end(), "desk") == 1);
    }

    TEST_CASE_METHOD(AdmissionFixture, "FairQueue_urgentFlood_leavesTheOtherClassesTheirFloors")
    {
        this->fillSlots();
        this->submitAs("desk", "low", Priority::Low);
        this->submitAs("desk", "normal", Priority::Normal);
        for (int i = 0; i < 6; ++i)
            this->submitAs("desk", "urgent", Priority::Urgent);

        const auto sent = this->drain(4);

        CHECK(std::count(sent.begin(), sent.end(), "low") == 1);
        CHECK(std::count(sent.begin(), sent.end(), "normal") == 1);
    }

    TEST_CASE_METHOD(AdmissionFixture, "SubmitRequest_queueFilledByOneTeam_thatTeamsLastIsRefused")
    {
        this->fillSlots();
        for (int i = 0; i < 8; ++i)
            this->submitAs("desk", "desk" + std::to_string(i));

        RoutingEffects effects = this->submitAs("lab", "lab");

        REQUIRE(effects.size() == 1);
        CHECK(std::get<ReplyToCaller>(effects[0]).request == RequestId("desk7"));
        CHECK(this->outcomeOf(effects).reason == RefusalReason::QueueFull);
        CHECK(this->outcomeOf(effects).retryAfter > Duration(0));
    }

    TEST_CASE_METHOD(AdmissionFixture, "SubmitRequest_teamAtItsLocalQuota_refusesWithTeamQuota")
    {
        this->submitAs("small", "a");
        this->submitAs("small", "b");

        CHECK(this->outcomeOf(this->submitAs("small", "c")).reason == RefusalReason::TeamQuota);
        CHECK(std::holds_alternative<SendToRunner>(this->submitAs("desk", "d").at(0)));
    }

    TEST_CASE_METHOD(AdmissionFixture, "SubmitRequest_queueLongerThanItsDeadline_refusesAtOnceWithRetryAfter")
    {
        this->fillSlots();
        this->now += std::chrono::milliseconds(400);
        this->routing.handle(RunnerAnswered { AttemptId(1), {} }, this->now); // four slots of 0.4 s: ten requests per second
        this->submitAs("desk", "next");
        for (int i = 0; i < 6; ++i)
            this->submitAs("desk", "wait" + std::to_string(i));

        // Seventh in the queue: 0.7 s of queueing and 0.4 s until the answer, with 1 s until the deadline.
        const Outcome outcome = this->outcomeOf(this->submitAs("desk", "late"));

        CHECK(outcome.reason == RefusalReason::DeadlineTooShort);
        CHECK(toMilliseconds(outcome.retryAfter) == 100);
    }

    TEST_CASE_METHOD(AdmissionFixture, "SubmitRequest_serviceWithoutAnyRunner_refusesWithNoRunner")
    {
        this->setRunners({});

        CHECK(this->outcomeOf(this->submitAs("desk", "a")).reason == RefusalReason::NoRunner);
    }

} // namespace
} // namespace dragonflytray
