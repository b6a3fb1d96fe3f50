// Compares the interference policies in simulated time, for the objectives of both customers and averaged over several
// seeds. Usage: interference_benchmark [SEEDS]

#include "interference/interference_simulation.h"

#include <cstdio>
#include <cstdlib>

namespace dragonflytray {
namespace {

    struct NamedObjective {
        const char* name;
        Objective objective;
    };

    constexpr std::array<NamedObjective, 2> objectives { {
        { "serrano", { .tailLatency = 0.7, .throughput = 0.2, .evictions = 0.1 } },
        { "co-op", { .tailLatency = 0.2, .throughput = 0.5, .evictions = 0.3 } },
    } };

    void compare(const NamedObjective& named, int seeds)
    {
        for (const auto& policy : interferencePolicyNames) {
            InterferenceSimulationResult mean;
            double evictions = 0;
            double throttles = 0;
            for (int seed = 1; seed <= seeds; ++seed) {
                const InterferenceSimulationResult result = InterferenceSimulation({ .policy = policy.value, .objective = named.objective, .seed = static_cast<std::uint64_t>(seed) }).run();
                mean.p99Milliseconds += result.p99Milliseconds / seeds;
                mean.workPerHour += result.workPerHour / seeds;
                evictions += static_cast<double>(result.evictions) / seeds;
                throttles += static_cast<double>(result.throttles) / seeds;
            }
            std::printf("%-10s %-11s %9.1f %12.1f %10.1f %10.1f\n", named.name, policy.name.data(), mean.p99Milliseconds, mean.workPerHour, evictions, throttles);
            std::fflush(stdout);
        }
    }

} // namespace
} // namespace dragonflytray

int main(int argc, char** argv)
{
    const int seeds = argc > 1 ? std::atoi(argv[1]) : 5;
    std::printf("mean over %d seeds, two simulated hours each\n", seeds);
    std::printf("%-10s %-11s %9s %12s %10s %10s\n", "objective", "policy", "p99 ms", "work/hour", "evictions", "throttles");
    for (const auto& named : dragonflytray::objectives)
        dragonflytray::compare(named, seeds);
}
