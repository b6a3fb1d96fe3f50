#pragma once

// Divides the slots of one runner among entry hosts in proportion to their demand.
//
// Example:
//
//     std::vector<double> targets = apportion(8, { 1.0, 3.0 }); // 2.5 and 5.5

#include "model/model.h"
#include <vector>

namespace dragonflytray {

// apportion() divides `slots` in proportion to `weights`. If there are at least as many slots as weights, each target
// includes one slot before the rest is divided. The targets are fractional and add up to `slots`. Every weight must
// be positive. Pure. Takes time linear in the number of weights.
std::vector<double> apportion(int slots, const std::vector<double>& weights);

// connectionShare() returns the number of connections to `runner` that an entry host with `slots` of its slots may
// open. It is proportional and rounded down, so that the connections of all entry hosts stay within the runner's limit
// whenever their slots do. Pure.
int connectionShare(const Host& runner, int slots);

} // namespace dragonflytray
