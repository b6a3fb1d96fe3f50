// Orders that are decided faster than they can be sent must not expire behind each other.

#include "dispatch/dispatch.h"

#include "dispatch/simulation/simulated_link.h"
#include <catch2/catch.hpp>
#include <string>

namespace dragonflytray {

namespace {

    constexpr std::size_t orderBytes = 1000;
    constexpr Duration inTime = std::chrono::milliseconds(50);
    constexpr Duration tooSlow = std::chrono::milliseconds(600);

    struct DeliveryWindowFixture {
        DeliveryWindow window { {} };

        // round() fills the window, and ends the orders with these outcomes in turn after `delay`.
        void round(std::initializer_list<DeliveryOutcome> outcomes, Duration delay)
        {
            std::size_t orders = 0;
            for (; this->window.hasRoom(); ++orders)
                this->window.sent(orderBytes);
            for (std::size_t order = 0; order < orders; ++order)
                this->window.ended(orderBytes, *(outcomes.begin() + order % outcomes.size()), delay);
        }
    };

    struct SimulatedLinkFixture {
        static SimulatedLinkResult play(double offeredLoad) { return simulateLink({ .offeredLoad = offeredLoad }, DeliveryWindow({})); }
    };

    using Lane = CallLane<int, std::string>;

    struct CallLaneFixture {
        Lane lane { { .maxInFlight = 2, .maxWaiting = 3 } };

        std::string sendNext()
        {
            const auto call = this->lane.next();
            return call ? *call : std::string();
        }
    };

} // namespace

TEST_CASE_METHOD(DeliveryWindowFixture, "DeliveryWindow_ordersDeliveredInTime_grows", "[dispatch]")
{
    const std::size_t before = this->window.bytes();
    this->round({ DeliveryOutcome::Delivered }, inTime);
    this->round({ DeliveryOutcome::Delivered }, inTime);
    CHECK(this->window.bytes() > before);
    CHECK(this->window.bytesUnderWay() == 0);
}

TEST_CASE_METHOD(DeliveryWindowFixture, "DeliveryWindow_ordersDeliveredTooSlowly_shrinks", "[dispatch]")
{
    const std::size_t before = this->window.bytes();
    this->round({ DeliveryOutcome::Delivered }, tooSlow);
    this->round({ DeliveryOutcome::Delivered }, tooSlow);
    CHECK(this->window.bytes() < before);
}

TEST_CASE_METHOD(DeliveryWindowFixture, "DeliveryWindow_someWorkersSilent_doesNotShrink", "[dispatch]")
{
    const std::size_t before = this->window.bytes();
    this->round({ DeliveryOutcome::Unknown, DeliveryOutcome::Delivered }, inTime);
    this->round({ DeliveryOutcome::Unknown, DeliveryOutcome::Delivered }, inTime);
    CHECK(this->window.bytes() >= before);
}

TEST_CASE_METHOD(DeliveryWindowFixture, "DeliveryWindow_everyOrderLate_keepsRoomForSome", "[dispatch]")
{
    for (int count = 0; count < 50; ++count)
        this->round({ DeliveryOutcome::Late }, tooSlow);
    CHECK(this->window.hasRoom());
    this->round({ DeliveryOutcome::Delivered }, inTime);
    this->round({ DeliveryOutcome::Delivered }, inTime);
    CHECK(this->window.bytes() > 8192);
}

TEST_CASE_METHOD(DeliveryWindowFixture, "DeliveryWindow_fewOrdersOffered_doesNotGrowWithoutEvidence", "[dispatch]")
{
    const std::size_t before = this->window.bytes();
    for (int count = 0; count < 20; ++count) {
        this->window.sent(orderBytes);
        this->window.ended(orderBytes, DeliveryOutcome::Delivered, inTime);
    }
    CHECK(this->window.bytes() == before);
}

TEST_CASE_METHOD(SimulatedLinkFixture, "DeliveryWindow_offeredLoadAboveLinkCapacity_goodputStaysFlat", "[dispatch]")
{
    const double saturated = play(1).goodput;
    CHECK(saturated > 0.8);
    for (const double offeredLoad : { 1.5, 2.0, 3.0, 5.0 }) {
        const SimulatedLinkResult result = play(offeredLoad);
        CHECK(result.goodput > 0.8);
        CHECK(result.late == 0);
    }
}

TEST_CASE_METHOD(SimulatedLinkFixture, "DeliveryWindow_roundTripTakesThirdOfValidity_goodputStaysFlat", "[dispatch]")
{
    const SimulatedLinkResult result = simulateLink({ .propagation = std::chrono::milliseconds(150), .offeredLoad = 2 }, DeliveryWindow({}));
    CHECK(result.goodput > 0.8);
    CHECK(result.late == 0);
}

TEST_CASE_METHOD(CallLaneFixture, "CallLane_stopBehindStartsAndSpeeds_isSentFirst", "[dispatch]")
{
    CHECK_FALSE(this->lane.push(CallImportance::Speed, 1, "speed").has_value());
    CHECK_FALSE(this->lane.push(CallImportance::Start, 2, "start").has_value());
    CHECK_FALSE(this->lane.push(CallImportance::Stop, 3, "stop").has_value());
    CHECK(this->sendNext() == "stop");
    CHECK(this->sendNext() == "start");
    CHECK(this->sendNext().empty());
    this->lane.ended();
    CHECK(this->sendNext() == "speed");
}

TEST_CASE_METHOD(CallLaneFixture, "CallLane_newerSpeedOfRun_replacesWaitingOne", "[dispatch]")
{
    CHECK_FALSE(this->lane.push(CallImportance::Speed, 1, "slow").has_value());
    CHECK(this->lane.push(CallImportance::Speed, 1, "fast") == std::optional<std::string>("slow"));
    CHECK(this->sendNext() == "fast");
    CHECK(this->sendNext().empty());
}

TEST_CASE_METHOD(CallLaneFixture, "CallLane_full_returnsTheCall", "[dispatch]")
{
    for (int run = 0; run < 3; ++run)
        CHECK_FALSE(this->lane.push(CallImportance::Start, run, "start").has_value());
    CHECK(this->lane.push(CallImportance::Start, 4, "dropped") == std::optional<std::string>("dropped"));
    CHECK_FALSE(this->lane.push(CallImportance::Stop, 5, "stop").has_value());
    CHECK(this->sendNext() == "stop");
}

} // namespace dragonflytray
