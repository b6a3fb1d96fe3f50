#include "routing/routing_simulation.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    double percentile99(std::vector<double> samples)
    {
        REQUIRE(!samples.empty());
        const auto rank = samples.begin() + static_cast<std::ptrdiff_t>(samples.size() * 99 / 100);
        std::nth_element(samples.begin(), rank, samples.end());
        return *rank;
    }

    // One class gets a load of ten times the capacity; the others get a fraction of their floors.
    struct FloodFixture {
        static constexpr Duration duration = std::chrono::seconds(20);
        static constexpr double floodFactor = 10;
        Routing::Options routing { .self = HostName("e1"), .dataCentre = DataCentreName("dc1") };

        RoutingSimulation makeSimulation() const { return RoutingSimulation({ .routing = this->routing, .seed = 7 }); }

        // runLoads() returns the results in the order of Priority. Unless `isFlooding`, there is no load in the class
        // `floodingClass`.
        std::vector<SimulatedLoad> runLoads(RoutingSimulation& simulation, double fractionOfFloor, Priority floodingClass, bool isFlooding)
        {
            std::vector<SimulatedLoad> loads;
            for (const auto& priority : priorityNames) {
                const double floor = this->routing.floors[indexOf(priority.value)] * simulation.capacity();
                if (priority.value != floodingClass)
                    loads.push_back({ .priority = priority.value, .requestsPerSecond = floor * fractionOfFloor });
                else if (isFlooding)
                    loads.push_back({ .priority = priority.value, .requestsPerSecond = simulation.capacity() * floodFactor });
            }
            return simulation.run(duration, std::move(loads));
        }

        void checkFloors(Priority floodingClass)
        {
            RoutingSimulation simulation = this->makeSimulation();
            std::uint64_t answered = 0;
            for (const SimulatedLoad& load : this->runLoads(simulation, 1, floodingClass, true)) {
                answered += load.answeredBeforeEnd;
                const double floor = this->routing.floors[indexOf(load.priority)] * simulation.capacity() * toSeconds(duration);
                INFO(priorityNames.nameOf(load.priority) << " kept " << static_cast<double>(load.answeredBeforeEnd) / floor << " of its floor");
                CHECK(static_cast<double>(load.answeredBeforeEnd) >= 0.95 * floor);
            }
            CHECK(static_cast<double>(answered) >= 0.95 * simulation.capacity() * toSeconds(duration));
        }

        void checkLatency(Priority floodingClass)
        {
            RoutingSimulation withoutFlood = this->makeSimulation();
            RoutingSimulation withFlood = this->makeSimulation();
            const auto baselines = this->runLoads(withoutFlood, 0.7, floodingClass, false);
            std::size_t compared = 0;
            for (const SimulatedLoad& load : this->runLoads(withFlood, 0.7, floodingClass, true)) {
                if (load.priority == floodingClass)
                    continue;
                const double baseline = percentile99(baselines.at(compared++).latencies);
                INFO(priorityNames.nameOf(load.priority) << " p99 " << percentile99(load.latencies) << " s, without a flood " << baseline << " s");
                CHECK(percentile99(load.latencies) <= 1.5 * baseline);
            }
        }
    };

    TEST_CASE_METHOD(FloodFixture, "Flood_lowTenTimesCapacity_othersKeepTheirFloors") { this->checkFloors(Priority::Low); }
    TEST_CASE_METHOD(FloodFixture, "Flood_urgentTenTimesCapacity_othersKeepTheirFloors") { this->checkFloors(Priority::Urgent); }
    TEST_CASE_METHOD(FloodFixture, "Flood_lowTenTimesCapacity_othersKeepTheirLatency") { this->checkLatency(Priority::Low); }
    TEST_CASE_METHOD(FloodFixture, "Flood_urgentTenTimesCapacity_othersKeepTheirLatency") { this->checkLatency(Priority::Urgent); }

    TEST_CASE("Retry_thirdOfRunnersFails_staysWithinTheBudget")
    {
        RoutingSimulation simulation({ .routing = { .self = HostName("e1"), .dataCentre = DataCentreName("dc1") }, .runners = 9, .failingFraction = 1.0 / 3, .seed = 11 });
        constexpr double seconds = 20;

        const auto loads = simulation.run(std::chrono::seconds(20), { { .requestsPerSecond = 0.5 * simulation.capacity() } });

        const auto summary = simulation.summary();
        const std::uint64_t retries = simulation.sentAttempts() - loads[0].sent;
        INFO("sent " << loads[0].sent << ", answered " << loads[0].answered << ", retries " << retries);
        CHECK(static_cast<double>(retries) <= 0.1 * static_cast<double>(summary.answered) + seconds + 10);
        CHECK(static_cast<double>(loads[0].answered) >= 0.95 * static_cast<double>(loads[0].sent));
    }

} // namespace
} // namespace dragonflytray
