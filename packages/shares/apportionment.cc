#include "shares/apportionment.h"

#include <numeric>

namespace dragonflytray {

std::vector<double> apportion(int slots, const std::vector<double>& weights)
{
    const auto count = static_cast<int>(weights.size());
    const int minimum = slots >= count ? 1 : 0;
    const double remaining = slots - minimum * count;
    const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
    std::vector<double> targets;
    targets.reserve(weights.size());
    for (double weight : weights) {
        require(weight > 0, "apportion: weights must be positive");
        targets.push_back(minimum + remaining * weight / total);
    }
    return targets;
}

int connectionShare(const Host& runner, int slots)
{
    return runner.slots <= 0 ? 0 : runner.connections * slots / runner.slots;
}

} // namespace dragonflytray
