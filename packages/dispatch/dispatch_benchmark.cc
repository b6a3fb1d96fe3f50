// Prints the goodput of a link over the offered load, with and without a DeliveryWindow, as a table in Markdown.
//
//     build/bin/dispatch_benchmark

#include "dispatch/simulation/simulated_link.h"
#include <cstdio>

int main()
{
    using namespace dragonflytray;
    std::puts("| offered load | goodput without window | late | goodput with window | late | longest delay, ms |");
    std::puts("| --- | --- | --- | --- | --- | --- |");
    for (const double offeredLoad : { 0.5, 0.8, 1.0, 1.2, 1.5, 2.0, 3.0, 5.0 }) {
        const SimulatedLinkOptions options { .offeredLoad = offeredLoad };
        const SimulatedLinkResult without = simulateLink(options, std::nullopt);
        const SimulatedLinkResult with = simulateLink(options, DeliveryWindow({}));
        std::printf("| %.1f | %.2f | %zu | %.2f | %zu | %lld |\n", offeredLoad, without.goodput, without.late, with.goodput, with.late, static_cast<long long>(toMilliseconds(with.worstDelay)));
    }
    return 0;
}
